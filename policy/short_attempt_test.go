package policy

import "testing"

// Guards against a client whose requests have hardly any time: their attempts end before an endpoint can
// answer, and must not eject it, or other clients' requests find no endpoint.
func TestAttemptsWithoutTimeForAnAnswerEjectNoEndpoint(t *testing.T) {
	for _, status := range []Status{StatusTimeout, StatusCancelled} {
		h := newTrainedHarness(t, testSettings(), 3)
		for range 50 {
			h.id++
			sent := findAction(h.handle(&RequestArrived{Request: h.id, Class: idempotentClass, Key: h.randomKey(), TimeLeftMs: 4}),
				ActionSendAttempt)
			if sent == nil {
				t.Fatalf("status %d: got a request not sent, want all endpoints usable", status)
			}
			h.now += 4
			h.endAttempt(h.id, 0, sent.Server, status, 4)
			h.now += 20
		}
		for i := range 3 {
			if state := h.endpoint(i).health.state; state != StateConnected {
				t.Errorf("status %d: got endpoint %d in state %d, want %d", status, i, state, StateConnected)
			}
		}
		if share := h.b.outliers.unansweredShare; share != 0 {
			t.Errorf("status %d: got a share of unanswered attempts of %v, want 0", status, share)
		}
	}
}

// An attempt that had the time of a usual answer, or a part of the latency objective, still ejects an
// endpoint that did not answer.
func TestAttemptWithTimeForAnAnswerEjectsSilentEndpoint(t *testing.T) {
	for _, trained := range []bool{false, true} {
		h := newHarness(t, testSettings(), 3)
		if trained {
			h = newTrainedHarness(t, testSettings(), 3)
		}
		id, server := h.mustSend(idempotentClass, 5)
		waitedMs := minWaitFraction * h.b.settings.Classes[idempotentClass].LatencyObjectiveMs
		h.now += waitedMs
		h.endAttempt(id, 0, server, StatusTimeout, waitedMs)
		if state := h.endpointAt(server).health.state; state != StateUnhealthy {
			t.Errorf("trained %v: got state %d after a timeout, want %d", trained, state, StateUnhealthy)
		}
	}
}
