package policy

import "testing"

// A non-idempotent request can't be retried, so it would be lost if an endpoint that is being validated
// failed it.
func TestEligibilityKeepsNonIdempotentRequestsFromPendingEndpoints(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	pending := h.endpoint(0)
	h.b.outliers.setState(pending, StateUnhealthyPending)
	validations := map[int]int{} // by class
	for range 200 {
		h.now += 10
		for _, class := range []int{idempotentClass, nonIdempotentClass} {
			if server := h.serveAtOnce(class, h.randomKey(), 5); server == pending.id {
				validations[class]++
			}
			h.b.outliers.setState(pending, StateUnhealthyPending)
		}
	}
	if validations[idempotentClass] == 0 || validations[nonIdempotentClass] > 0 {
		t.Errorf("got %d idempotent and %d non-idempotent requests at the pending endpoint, want some and none",
			validations[idempotentClass], validations[nonIdempotentClass])
	}
}

func TestEligibilityTiersByHealth(t *testing.T) {
	set := testSettings()
	set.Limits.HealthChecks = true
	h := newHarness(t, set, 1)
	target := h.endpoint(0)
	idempotent, once := &request{class: h.b.classes.all[idempotentClass]}, &request{class: h.b.classes.all[nonIdempotentClass]}
	for _, test := range []struct {
		name    string
		state   State
		sinceMs float64
		request *request
		want    int
	}{
		{"connected", StateConnected, 0, idempotent, 0},
		{"unknown", StateUnknown, 0, once, 0},
		{"pending, being checked", StateUnhealthyPending, 0, idempotent, 1},
		{"pending, unchecked for long", StateUnhealthyPending, 1000, idempotent, 0},
		{"pending, non-idempotent request", StateUnhealthyPending, 1000, once, 1},
		{"ejected", StateUnhealthy, 1000, idempotent, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			target.health.state, target.health.since = test.state, h.b.now-test.sinceMs
			if got := h.b.eligibility.tierOf(target, test.request); got != test.want {
				t.Errorf("got tier %d, want %d", got, test.want)
			}
			sendable := h.sendableRequest(test.request.class)
			if !h.b.eligibility.maySend(sendable, target) {
				t.Error("got a request that may not be sent to the endpoint, want it allowed in any tier")
			}
			sendable.closed = true
			if h.b.eligibility.maySend(sendable, target) {
				t.Error("closed request: got it allowed to be sent, want it not")
			}
		})
	}
}

// sendableRequest returns a request that may be sent to any usable endpoint.
func (h *harness) sendableRequest(class *class) *request {
	return &request{class: class, timing: requestTiming{deadline: h.now + 600}, attempts: requestAttempts{limit: 1}}
}

func TestEligibilityBoundsAttemptsAtAnEndpoint(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	target, request := h.endpoint(0), h.sendableRequest(h.b.classes.all[idempotentClass])
	h.b.now = h.now
	if !h.b.eligibility.hasCapacity(target, request) {
		t.Error("nothing in flight: got no capacity, want some")
	}
	target.traffic.inFlight = []*attempt{{}}
	if !h.b.eligibility.hasCapacity(target, request) {
		t.Errorf("one in flight of a window of %v: got no capacity, want some", target.window.size)
	}
	target.health.state = StateUnhealthyPending
	if h.b.eligibility.hasCapacity(target, request) {
		t.Error("one in flight while it is validated: got capacity, want none")
	}
	target.health.state = StateConnected
	target.traffic.inFlight = []*attempt{{}, {}}
	if h.b.eligibility.hasCapacity(target, request) {
		t.Errorf("two in flight of a window of %v: got capacity, want none", target.window.size)
	}
}
