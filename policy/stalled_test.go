package policy

import "testing"

// A hung endpoint gives no outcome that would eject it; its silence does.
func TestHungEndpointIsEjected(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range 200 { // learn what an answer takes
		id, server := r.sent(0, uint64(r.b.rng.Int64()))
		r.now += 10
		r.outcome(id, 0, server, StatusOK, 10)
	}
	_, server := r.sent(0, 9)
	for range 30 {
		if r.tick(10); r.b.endpoints.byAddr[server].health.state == StateUnhealthy {
			return
		}
	}
	t.Error("a server that answers nothing for 300 ms was not demoted")
}

// Attempts at endpoints that fell silent must not take the agent's whole limit up to their
// deadlines, where the settings allow no cancelling either: the endpoints that live idle then.
func TestStalledAttemptsLeaveTheLimit(t *testing.T) {
	set := testSettings()
	set.Limits.Cancellation = false
	r := quick(t, set, 3)
	r.sent(1, 5)
	stuck, server := r.sent(1, 6)
	waits, actions := r.ask(0, 7)
	if action := find(actions, ActionSendAttempt); action != nil {
		t.Fatalf("not at its limit: %+v", action)
	}
	var sent *Action
	for waited := 0; sent == nil && waited < 200; waited += 10 {
		if sent = find(r.tick(10), ActionSendAttempt); sent != nil && waited < 50 {
			t.Fatalf("sent after %d ms: the servers were hardly late", waited)
		}
	}
	if sent == nil || sent.Request != waits {
		t.Fatal("nothing was sent to the server that lives")
	}
	if r.b.limiter.stalled != 2 || r.b.limiter.inFlight != 3 {
		t.Fatalf("%d stuck of %d out, want 2 of 3", r.b.limiter.stalled, r.b.limiter.inFlight)
	}
	r.outcome(stuck, 0, server, StatusOK, 150)
	left := 0
	for _, o := range r.b.endpoints.all {
		for _, a := range o.traffic.inFlight {
			if a.stalled && o.id == server {
				t.Fatal("stuck on a server that answers")
			} else if a.stalled {
				left++
			}
		}
	}
	if r.b.limiter.stalled != left {
		t.Fatalf("%d counted as stuck, %d are", r.b.limiter.stalled, left)
	}
}

// What may be repeated is cancelled at a silent endpoint and goes elsewhere while there is
// time; what may not is waited for as long as its answer is worth anything, and then answered
// at once.
func TestAttemptsAtSilentEndpoints(t *testing.T) {
	r := quick(t, testSettings(), 6)
	id, server := r.sent(0, 5)
	var off *Action
	for waited := 0; off == nil && waited < 200; waited += 10 {
		off = find(r.tick(10), ActionCancelAttempt)
	}
	if off == nil || off.Request != id || off.Attempt != 0 {
		t.Fatalf("called off: %+v", off)
	}
	for range 5 {
		if again := r.tick(10); find(again, ActionCancelAttempt) != nil || find(again, ActionSendAttempt) != nil {
			t.Fatalf("before the first has ended: %+v", again)
		}
	}
	if action := find(r.outcome(id, 0, server, StatusCancelled, 150), ActionSendAttempt); action == nil || action.Request != id || action.Server == server {
		t.Fatalf("sent elsewhere: %+v", action)
	}

	r = quick(t, testSettings(), 6)
	id, server = r.sent(1, 5)
	asked := r.now
	for {
		actions := r.tick(10)
		if find(actions, ActionSendAttempt) != nil || find(actions, ActionRejectRequest) != nil {
			t.Fatalf("what may not run twice: %+v", actions)
		}
		if fail := find(actions, ActionFailRequest); fail != nil {
			if waited := r.now - asked; fail.Request != id || waited < 300 || waited > 320 {
				t.Fatalf("given up after %v ms", waited)
			}
			break
		}
		if find(actions, ActionCancelAttempt) != nil || r.now-asked > 400 {
			t.Fatalf("after %v ms: %+v", r.now-asked, actions)
		}
	}
	if r.outcome(id, 0, server, StatusCancelled, 310); r.b.limiter.stalled != 0 || r.b.limiter.inFlight != 0 || len(r.b.queue.open) != 0 {
		t.Fatalf("left behind: %d stuck, %d out, %d requests", r.b.limiter.stalled, r.b.limiter.inFlight, len(r.b.queue.open))
	}
}
