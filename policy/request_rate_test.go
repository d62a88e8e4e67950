package policy

import "testing"

// Where clients don't mark their retries, a request like an unserved one is not counted as
// one more that the fleet has to bear: in a storm of retries every agent's part of what may be
// out grew with them.
func TestUnmarkedRetriesAreNotForeseen(t *testing.T) {
	for _, marks := range []bool{false, true} {
		set := testSettings()
		set.Clients.MarksRetry = marks
		r := newRig(t, set, 0) // nobody to send to: each is refused at its deadline
		rate := func(key uint64) float64 {
			before := r.b.traffic.recent
			id, _ := r.ask(0, key)
			r.do(Event{Kind: EventClientGone, Request: id})
			return r.b.traffic.recent - before
		}
		if got := rate(7); got != 1 {
			t.Fatalf("the first counts %v", got)
		}
		if got, want := rate(7), map[bool]float64{false: 0, true: 1}[marks]; got != want {
			t.Errorf("clients mark retries %v: the second with the key counts %v, want %v", marks, got, want)
		}
		if got := rate(8); got != 1 {
			t.Errorf("another key counts %v", got)
		}
		if got := rate(0); got != 1 {
			t.Errorf("no key counts %v", got)
		}
		if got := rate(0); got != 1 {
			t.Errorf("no key again counts %v", got)
		}
	}
}
