package policy

import "testing"

// A repeat that is held up for 0.15 s between its decision and its first byte, or as long as it
// may begin and then so, still goes out within the window in which repeats are dropped. Where the
// window is shorter than that, none goes out.
func TestRepeatsLeaveRoomForAHoldUp(t *testing.T) {
	const heldUp = 150
	for _, ttl := range []float64{100, 150, 160, 200, 400, 4000} {
		repeated := false
		for after := 1.0; after < ttl+10; after++ {
			set := testSettings()
			set.Classes[2].IdempotencyWindowMs, set.Classes[2].LatencyObjectiveMs, set.Classes[2].DeadlineMs = ttl, 20000, 30000
			r := newRig(t, set, 6)
			r.id++
			first := find(r.do(Event{Kind: EventRequest, Request: r.id, Class: 2, Key: 5, TimeLeftMs: 30000}), ActionSend)
			sent := r.now
			r.now += after
			a := find(r.outcome(r.id, 0, first.Server, StatusServerError, after), ActionSend)
			if a == nil {
				continue
			}
			repeated = true
			if a.WithinMs <= 0 || r.now+a.WithinMs+heldUp > sent+ttl {
				t.Fatalf("a window of %v ms: a repeat after %v ms may begin within %v ms", ttl, after, a.WithinMs)
			}
		}
		if want := ttl > heldUp+2*testSettings().RoundMs+1; repeated != want {
			t.Errorf("a window of %v ms: repeated %v, want %v", ttl, repeated, want)
		}
	}
}
