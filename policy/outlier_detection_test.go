package policy

import "testing"

func TestStateTransitions(t *testing.T) {
	set := testSettings()
	set.Replicas = 0 // the key stays whole
	r := newRig(t, set, 4)
	id, server := r.sent(0, 7)
	target := r.b.endpoints.byAddr[server]
	if target.health.state != StateUnknown {
		t.Fatalf("a listed server starts in state %d, want Unknown", target.health.state)
	}
	r.now += 50
	r.outcome(id, 0, server, StatusOK, 50)
	if target.health.state != StateConnected {
		t.Fatalf("served: state %d, want Connected", target.health.state)
	}
	id, s2 := r.sent(0, 7)
	if s2 != server {
		t.Fatalf("key moved from %v to %v without a cause", server, s2)
	}
	actions := r.outcome(id, 0, server, StatusServerError, 5)
	if target.health.state != StateUnhealthy {
		t.Fatalf("error: state %d, want Unhealthy", target.health.state)
	}
	if find(actions, ActionFetchEndpoints) == nil {
		t.Error("a demotion did not force a refresh of the list")
	}
	if action := find(actions, ActionSendAttempt); action == nil || action.Server == server {
		t.Errorf("the free request did not go on to another server: %+v", actions)
	}
	// While it is unhealthy its key goes elsewhere; after its hold the next
	// request makes it pending, and a served answer Connected.
	if _, s3 := r.sent(0, 7); s3 == server {
		t.Error("an Unhealthy server was chosen before the better tier")
	}
	r.now += r.b.outliers.ejectionTime(target, r.b.queue.scarce) + 1
	id, s4 := r.sent(0, 7)
	if target.health.state != StateUnhealthyPending || s4 != server {
		t.Fatalf("after the hold: state %d, sent to %v; want pending and the first send to check it", target.health.state, s4)
	}
	r.now += 50
	r.outcome(id, 0, server, StatusOK, 50)
	if target.health.state != StateConnected {
		t.Fatalf("validated: state %d, want Connected", target.health.state)
	}
}

func TestRejectionEjectsNobody(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	id, server := r.sent(1, 7)
	actions := r.outcome(id, 0, server, StatusRejected, 1)
	if got := r.b.endpoints.byAddr[server].health.state; got == StateUnhealthy {
		t.Error("full demoted the server")
	}
	if action := find(actions, ActionSendAttempt); action == nil || action.Server == server {
		t.Errorf("a request that was turned away did not go elsewhere: %+v", actions)
	}
}

func TestHealthChecksValidateWhereAllowed(t *testing.T) {
	set := testSettings()
	set.Limits.HealthChecks = true
	r := newRig(t, set, 3)
	id, server := r.sent(0, 7)
	r.outcome(id, 0, server, StatusServerError, 5)
	r.now += 2 * r.b.outliers.ejectionTime(r.b.endpoints.byAddr[server], r.b.queue.scarce)
	_, actions := r.ask(0, 7)
	if p := find(actions, ActionCheckHealth); p == nil || p.Server != server {
		t.Fatalf("no probe of the pending server: %+v", actions)
	}
	if action := find(actions, ActionSendAttempt); action == nil || action.Server == server {
		t.Error("a request went to a pending server before its probe")
	}
	r.do(&HealthCheckEnded{Server: server, Status: StatusTimeout, LatencyMs: 100})
	if r.b.endpoints.byAddr[server].health.state != StateUnhealthy {
		t.Error("a failed probe did not demote")
	}
	r.now += 10 * r.b.outliers.ejectionTime(r.b.endpoints.byAddr[server], r.b.queue.scarce)
	r.ask(0, 8)
	r.do(&HealthCheckEnded{Server: server, Status: StatusOK, LatencyMs: 5})
	if r.b.endpoints.byAddr[server].health.state != StateConnected {
		t.Error("a good probe did not set Connected")
	}
}

// An endpoint that failed often rests long while others can take
// its requests, but is tried again at once while they are full.
func TestFailingEndpointIsTriedAgainWhileOthersAreFull(t *testing.T) {
	for _, full := range []bool{false, true} {
		r := newRig(t, testSettings(), 4)
		r.b.limiter.scale = 1000 // the endpoints' windows are at issue, not the agent's limit
		bad := r.b.endpoints.byAddr[addr(0)]
		for range 3 {
			r.b.outliers.enter(bad, StateConnected)
			r.b.outliers.eject(bad, false)
		}
		if full {
			for range 40 { // more than the other windows hold
				r.ask(0, 0)
			}
		}
		r.now += r.b.classes.shortestObjectiveMs + 1
		r.ask(0, 0)
		if tried := bad.health.state == StateUnhealthyPending; tried != full {
			t.Errorf("others full: %v; failing server tried after one aim: %v", full, tried)
		}
	}
}

// Failures that all endpoints share, as of a network that breaks connections, cost none of
// them an ejection or its window; one that fails more than the others is demoted.
func TestFailuresOfTheWholeFleetCostNoEjection(t *testing.T) {
	r := newRig(t, testSettings(), 6)
	end := func(id RequestID, server Addr, status Status) {
		r.now += 20
		r.outcome(id, 0, server, status, 20)
	}
	failed := map[Addr]int{}
	for i := range 600 {
		id, server := r.sent(1, 0)
		if i%12 == 0 {
			end(id, server, StatusReset)
			failed[server]++
		} else {
			end(id, server, StatusOK)
		}
	}
	if len(failed) < 6 {
		t.Fatalf("only %d of the servers failed", len(failed))
	}
	id, server := r.sent(1, 0)
	target := r.b.endpoints.byAddr[server]
	ejections, window := target.health.consecutiveEjections, target.window.size
	end(id, server, StatusReset)
	if target.health.state != StateUnhealthyPending || target.health.consecutiveEjections != ejections || target.window.size != window {
		t.Fatalf("state %d, ejections %d to %d, window %v to %v", target.health.state, ejections, target.health.consecutiveEjections, window, target.window.size)
	}
	target.health.failureRate = 0.5
	r.b.outliers.enter(target, StateConnected)
	r.b.recordOutcome(&attempt{endpoint: target}, StatusReset, 20)
	if target.health.state != StateUnhealthy || target.health.consecutiveEjections != ejections+1 {
		t.Fatalf("fails half of all: state %d, ejections %d to %d", target.health.state, ejections, target.health.consecutiveEjections)
	}
}

// A quiet agent checked each slow endpoint again after one latency objective, with a request; and
// a health check clears an endpoint that fails its requests, so it must not come sooner either.
func TestQuietAgentEjectsForLonger(t *testing.T) {
	for _, probing := range []bool{false, true} {
		set := testSettings()
		set.Limits.KeepaliveMs, set.Limits.HealthChecks = 10000, probing
		r := newRig(t, set, 20)
		var server Addr
		for range 60 {
			r.now += 500
			var id RequestID
			id, server = r.sent(0, r.b.rng.Uint64())
			r.outcome(id, 0, server, StatusOK, 20)
		}
		r.b.outliers.eject(r.b.endpoints.byAddr[server], true)
		if hold := r.b.outliers.ejectionTime(r.b.endpoints.byAddr[server], r.b.queue.scarce); hold < 1000 {
			t.Errorf("probing %v: held for %.0f ms, two requests a second over 20 servers", probing, hold)
		}
		r.b.endpoints.byAddr[server].health.consecutiveEjections = maxConsecutiveEjections
		r.b.traffic.recent = 0.1
		if hold := r.b.outliers.ejectionTime(r.b.endpoints.byAddr[server], r.b.queue.scarce); hold > maxEjectionMs {
			t.Errorf("probing %v: held for %.0f ms, longer than a minute", probing, hold)
		}
	}
}
