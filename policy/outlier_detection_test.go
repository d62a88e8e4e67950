package policy

import (
	"fmt"
	"testing"
)

// ejectionTime returns the current ejection time of an endpoint, in ms.
func (h *harness) ejectionTime(endpoint *endpoint) float64 {
	return h.b.outliers.ejectionTime(endpoint, h.b.queue.outOfCapacity)
}

func TestOutlierDetectorStateTransitions(t *testing.T) {
	set := testSettings()
	set.Replicas = 0 // so that the key is not split
	h := newHarness(t, set, 4)
	id, server := h.mustSend(idempotentClass, 7)
	target := h.endpointAt(server)
	checkState := func(after string, want State) {
		t.Helper()
		if target.health.state != want {
			t.Fatalf("%s: got state %d, want %d", after, target.health.state, want)
		}
	}
	checkState("listed", StateUnknown)
	h.now += 50
	h.endAttempt(id, 0, server, StatusOK, 50)
	checkState("served", StateConnected)
	id, again := h.mustSend(idempotentClass, 7)
	if again != server {
		t.Fatalf("got the key sent to %v, want %v as before", again, server)
	}
	actions := h.endAttempt(id, 0, server, StatusServerError, 5)
	checkState("failed", StateUnhealthy)
	if findAction(actions, ActionFetchEndpoints) == nil {
		t.Errorf("after an ejection got %+v, want the list fetched", actions)
	}
	if send := findAction(actions, ActionSendAttempt); send == nil || send.Server == server {
		t.Errorf("after a failure got %+v, want the request sent to another server", actions)
	}
	// While the endpoint is ejected, requests with its key are sent to others. After the ejection time
	// the next request validates it.
	if _, other := h.mustSend(idempotentClass, 7); other == server {
		t.Error("while ejected got a request sent to it, want it sent to the better tier")
	}
	h.now += h.ejectionTime(target) + 1
	id, validated := h.mustSend(idempotentClass, 7)
	checkState("after its ejection time", StateUnhealthyPending)
	if validated != server {
		t.Fatalf("after its ejection time got a request sent to %v, want it to validate %v", validated, server)
	}
	h.now += 50
	h.endAttempt(id, 0, server, StatusOK, 50)
	checkState("validated", StateConnected)
}

func TestOutlierDetectorEjectsNoEndpointThatRejects(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	id, server := h.mustSend(nonIdempotentClass, 7)
	actions := h.endAttempt(id, 0, server, StatusRejected, 1)
	if got := h.endpointAt(server).health.state; got == StateUnhealthy {
		t.Errorf("after a rejection got state %d, want it not ejected", got)
	}
	if send := findAction(actions, ActionSendAttempt); send == nil || send.Server == server {
		t.Errorf("after a rejection got %+v, want the request sent to another server", actions)
	}
}

func TestOutlierDetectorValidatesByHealthChecks(t *testing.T) {
	set := testSettings()
	set.Limits.HealthChecks = true
	h := newHarness(t, set, 3)
	id, server := h.mustSend(idempotentClass, 7)
	target := h.endpointAt(server)
	h.endAttempt(id, 0, server, StatusServerError, 5)
	h.now += 2 * h.ejectionTime(target)
	_, actions := h.arrive(idempotentClass, 7)
	if check := findAction(actions, ActionCheckHealth); check == nil || check.Server != server {
		t.Fatalf("got %+v, want a health check of %v", actions, server)
	}
	if send := findAction(actions, ActionSendAttempt); send == nil || send.Server == server {
		t.Errorf("got %+v, want a request sent to another server before the check has ended", actions)
	}
	h.handle(&HealthCheckEnded{Server: server, Status: StatusTimeout, LatencyMs: 100})
	if target.health.state != StateUnhealthy {
		t.Errorf("after a failed check got state %d, want %d", target.health.state, StateUnhealthy)
	}
	h.now += 10 * h.ejectionTime(target)
	h.arrive(idempotentClass, 8)
	h.handle(&HealthCheckEnded{Server: server, Status: StatusOK, LatencyMs: 5})
	if target.health.state != StateConnected {
		t.Errorf("after a good check got state %d, want %d", target.health.state, StateConnected)
	}
}

// An endpoint that failed several times stays ejected for long while others have capacity. While they
// have none, it is validated at once.
func TestOutlierDetectorShortensEjectionsWhileCapacityIsScarce(t *testing.T) {
	for _, scarce := range []bool{false, true} {
		h := newHarness(t, testSettings(), 4)
		h.b.limiter.scale = 1000 // so that only the endpoints' windows limit attempts
		failing := h.endpoint(0)
		for range 3 {
			h.b.outliers.setState(failing, StateConnected)
			h.b.outliers.eject(failing, false)
		}
		if scarce {
			for range 40 { // more than the windows of the others allow
				h.arrive(idempotentClass, 0)
			}
		}
		h.now += h.b.classes.shortestObjectiveMs + 1
		h.arrive(idempotentClass, 0)
		if validated := failing.health.state == StateUnhealthyPending; validated != scarce {
			t.Errorf("capacity scarce %v: after one objective got validated %v, want %v", scarce, validated, scarce)
		}
	}
}

// Failures that all endpoints have in common, for example because a network breaks connections, neither
// eject an endpoint nor reduce its window. An endpoint that fails more often than the others is
// ejected.
func TestOutlierDetectorIgnoresCommonFailures(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	send := func(status Status) Addr {
		id, server := h.mustSend(nonIdempotentClass, 0)
		h.now += 20
		h.endAttempt(id, 0, server, status, 20)
		return server
	}
	failed := map[Addr]int{}
	for i := range 600 {
		if i%12 == 0 {
			failed[send(StatusReset)]++
		} else {
			send(StatusOK)
		}
	}
	if len(failed) < 6 {
		t.Fatalf("got failures of %d endpoints, want all 6", len(failed))
	}
	id, server := h.mustSend(nonIdempotentClass, 0)
	target := h.endpointAt(server)
	ejections, window := target.health.ejectionCount, target.window.size
	h.now += 20
	h.endAttempt(id, 0, server, StatusReset, 20)
	if target.health.state != StateUnhealthyPending || target.health.ejectionCount != ejections || target.window.size != window {
		t.Fatalf("after a common failure got state %d, %d ejections and a window of %v, want %d, %d and %v", target.health.state,
			target.health.ejectionCount, target.window.size, StateUnhealthyPending, ejections, window)
	}
	target.health.failureRate = 0.5
	h.b.outliers.setState(target, StateConnected)
	h.b.recordOutcome(&attempt{endpoint: target}, StatusReset, 20)
	if target.health.state != StateUnhealthy || target.health.ejectionCount != ejections+1 {
		t.Fatalf("with a failure rate of one half got state %d and %d ejections, want %d and %d", target.health.state,
			target.health.ejectionCount, StateUnhealthy, ejections+1)
	}
}

// On an agent with few requests an ejection lasts longer than one latency objective. Otherwise it would
// spend a request on each slow endpoint after that time. The same holds with health checks, because a
// health check can succeed at an endpoint that fails requests.
func TestOutlierDetectorEjectsForLongerOnAQuietAgent(t *testing.T) {
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprintf("health checks %v", checks), func(t *testing.T) {
			set := testSettings()
			set.Limits.KeepaliveMs, set.Limits.HealthChecks = 10000, checks
			h := newHarness(t, set, 20)
			var server Addr
			for range 60 {
				h.now += 500
				server = h.serveAtOnce(idempotentClass, h.randomKey(), 20)
			}
			target := h.endpointAt(server)
			h.b.outliers.eject(target, true)
			if got := h.ejectionTime(target); got < 1000 {
				t.Errorf("two requests a second over 20 endpoints: got an ejection time of %.0f ms, want 1000 at least", got)
			}
			target.health.ejectionCount = maxEjectionCount
			h.b.requestRate.recentCount = 0.1
			if got := h.ejectionTime(target); got > maxEjectionMs {
				t.Errorf("after many ejections: got an ejection time of %.0f ms, want %.0f at most", got, maxEjectionMs)
			}
		})
	}
}
