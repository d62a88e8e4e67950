package policy

import "testing"

// An agent with a low limit on open requests immediately rejects those that it can't queue. It rejects
// the lowest priority first, and never a request in flight.
func TestBalancerRejectsBeyondMaxOpenRequests(t *testing.T) {
	set := testSettings()
	set.Limits.MaxOpenRequests = 4
	h := newHarness(t, set, 1)
	sent, rejected := 0, 0
	for range 10 {
		_, actions := h.arrive(idempotentClass, 0)
		for _, action := range actions {
			switch action.Kind {
			case ActionSendAttempt:
				sent++
			case ActionRejectRequest:
				rejected++
			case ActionFailRequest:
				t.Error("got a failure of a request that never ran, want a rejection")
			}
		}
	}
	if sent == 0 || sent >= 4 || rejected != 6 {
		t.Errorf("got %d sent and %d rejected of 10, want some sent and 6 rejected", sent, rejected)
	}
}

// newLateHarness returns a harness whose agent is at its limit of one attempt in flight, with another
// request queued. The attempt is about to miss its latency objective.
func newLateHarness(t *testing.T, set Settings, class int) (h *harness, inFlight, queued RequestID) {
	t.Helper()
	set.Replicas = 2
	set.Limits.MaxAttempts = 1
	h = newTrainedHarness(t, set, 1)
	inFlight, _ = h.mustSend(class, 5)
	h.now += 290
	h.endpoint(0).traffic.lastResponseAt = h.now // otherwise the endpoint would be ejected as silent
	queued, actions := h.arrive(idempotentClass, 6)
	if findAction(actions, ActionSendAttempt) != nil {
		t.Fatal("got a second attempt sent, want the agent at its limit")
	}
	return h, inFlight, queued
}

// If the agent is at its concurrency limit, a late attempt whose answer is worth nothing any more is
// cancelled and its request rejected. A queued request is sent in its place.
func TestBalancerCancelsLateAttemptsAtTheLimit(t *testing.T) {
	h, inFlight, queued := newLateHarness(t, testSettings(), idempotentClass)
	actions := h.tick(20)
	if action := findAction(actions, ActionRejectRequest); action == nil || action.Request != inFlight {
		t.Fatalf("got %+v, want request %d rejected", actions, inFlight)
	}
	if action := findAction(actions, ActionCancelAttempt); action == nil || action.Request != inFlight {
		t.Fatalf("got %+v, want the attempt of request %d cancelled", actions, inFlight)
	}
	actions = h.endAttempt(inFlight, 0, addr(0), StatusCancelled, 310)
	if action := findAction(actions, ActionSendAttempt); action == nil || action.Request != queued {
		t.Errorf("got %+v, want request %d sent", actions, queued)
	}
}

// The agent waits for late attempts of requests that must not be repeated, and of requests whose late
// answers are worth something.
func TestBalancerWaitsForLateAttemptsItMayNotCancel(t *testing.T) {
	worthLate := testSettings()
	worthLate.Classes[idempotentClass].LateShare = 0.5
	noCancellation := testSettings()
	noCancellation.Limits.Cancellation = false
	for _, test := range []struct {
		name  string
		set   Settings
		class int
	}{
		{"non-idempotent", testSettings(), nonIdempotentClass},
		{"key known in a cell", testSettings(), keyedClass},
		{"worth something when late", worthLate, idempotentClass},
		{"no cancellation", noCancellation, idempotentClass},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, inFlight, _ := newLateHarness(t, test.set, test.class)
			for _, action := range h.tick(20) {
				if action.Request == inFlight && action.Kind != ActionSetTimer {
					t.Errorf("got %+v for the late request, want nothing", action)
				}
			}
		})
	}
}

func TestBalancerKeepsLateAttemptsWithNothingQueued(t *testing.T) {
	h, _, queued := newLateHarness(t, testSettings(), idempotentClass)
	h.handle(&ClientDisconnected{Request: queued})
	if action := findAction(h.tick(20), ActionCancelAttempt); action != nil {
		t.Errorf("got %+v with nothing queued, want no attempt cancelled", action)
	}
}

func TestBalancerRejectsWithAnEmptyList(t *testing.T) {
	h := newHarness(t, testSettings(), 0)
	id, actions := h.arrive(nonIdempotentClass, 1)
	for range 130 {
		if action := findAction(actions, ActionRejectRequest); action != nil {
			if action.Request != id {
				t.Fatalf("got request %d rejected, want %d", action.Request, id)
			}
			return
		}
		actions = h.tick(10)
	}
	t.Error("got no answer within 1.3 s, want a rejection")
}

// A request with a key may arrive before the first endpoint list.
func TestBalancerSendsOnceTheFirstListArrives(t *testing.T) {
	b := newBalancer(t, testSettings(), 1)
	b.Start(0, nil)
	b.Handle(1, &RequestArrived{Request: 1, Class: idempotentClass, Key: 5, TimeLeftMs: 600}, nil)
	b.Handle(2, &TimerFired{Token: timerTick}, nil)
	actions := b.Handle(3, &EndpointsUpdated{Kind: ListFull, Entries: []Entry{ready(1)}}, nil)
	if action := findAction(actions, ActionSendAttempt); action == nil || action.Request != 1 {
		t.Errorf("got %+v, want request 1 sent", actions)
	}
}
