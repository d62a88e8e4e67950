package policy

import (
	"math"
	"testing"
)

// Where clients don't mark their retries, a request like an unserved one is not counted as
// one more that the fleet has to bear: in a burst of retries every agent's part of what may be
// out grew with them.
func TestUnmarkedRetriesAreNotForeseen(t *testing.T) {
	for _, marks := range []bool{false, true} {
		set := testSettings()
		set.Clients.MarksRetry = marks
		r := newRig(t, set, 0) // nobody to send to: each is rejected at its deadline
		rate := func(key uint64) float64 {
			before := r.b.traffic.recent
			id, _ := r.ask(0, key)
			r.do(&ClientDisconnected{Request: id})
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

// Requests that come evenly are measured at their rate, from soon after the start on; retries
// count for the lifetime alone.
func TestRequestRateMeasuresAnEvenRate(t *testing.T) {
	env := &environment{now: 1000, set: Settings{Limits: Limits{KeepaliveMs: 10000}}}
	rate := newRequestRate(env)
	rate.start()
	for i := range 60000 {
		env.now += 0.5
		rate.count(i%2 == 1)
		if i > 10000 && math.Abs(rate.perMs()-1) > 0.05 {
			t.Fatalf("%.3f requests a ms after %.0f ms, want 1", rate.perMs(), env.now-1000)
		}
	}
	if got := rate.lifetimePerMs(); math.Abs(got-2) > 1e-9 {
		t.Errorf("%.3f requests a ms with the retries, want 2", got)
	}
	env.now += 100000
	if got := rate.perMs(); got > 0.001 {
		t.Errorf("%.3f requests a ms after ten spans without any", got)
	}
}
