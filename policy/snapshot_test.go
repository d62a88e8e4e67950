package policy

import "testing"

// A snapshot tells what is out and held, how attempts ended and where there is room, and
// changes no decision.
func TestSnapshotTellsTheState(t *testing.T) {
	play := func(look bool) (Snapshot, []Action) {
		r := newRig(t, testSettings(), 4)
		id, server := r.sent(0, 7)
		if look {
			r.b.Snapshot(r.now)
		}
		r.now += 10
		r.outcome(id, 0, server, StatusServerError, 10)
		r.sent(1, 8)
		_, last := r.ask(0, 9)
		return r.b.Snapshot(r.now), last
	}
	s, last := play(true)
	if s.Inflight != 3 || s.Outcomes != (OutcomeCounts{ServerError: 1}) || s.Tiers[0].Endpoints != 3 || s.Tiers[2].Endpoints != 1 {
		t.Errorf("unexpected: %+v", s)
	}
	if want := (ClassCounts{Requests: 2, Attempts: 3}); s.Classes[0].Counts != want {
		t.Errorf("class %+v, want %+v", s.Classes[0].Counts, want)
	}
	if _, unseen := play(false); len(unseen) != len(last) || unseen[0] != last[0] {
		t.Errorf("a look changed %+v to %+v", unseen, last)
	}
}
