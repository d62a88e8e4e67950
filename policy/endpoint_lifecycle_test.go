package policy

import "testing"

func TestBalancerSendsNothingToDrainingOrUnlistedEndpoints(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.liftLimit()
	h.updateEndpoints(ListDelta, Entry{Server: addr(0), Health: HealthDraining, Weight: 1})
	for key := range uint64(20) {
		if server := h.serveAtOnce(idempotentClass, key+1, 20); server == addr(0) {
			t.Fatal("got a request sent to the draining server, want the other")
		}
	}
	h.updateEndpoints(ListFull, ready(0))
	for key := range uint64(20) {
		if server := h.serveAtOnce(idempotentClass, key+1, 20); server == addr(1) {
			t.Fatal("got a request sent to the server that is no longer listed, want the other")
		}
	}
}

// A hung endpoint returns no failure. It is ejected because it has not answered for several expected
// answer times.
func TestBalancerEjectsAHungEndpoint(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for range 200 { // so that the agent expects answers after 10 ms
		h.serve(idempotentClass, h.randomKey(), 10)
	}
	_, server := h.mustSend(idempotentClass, 9)
	for range 30 {
		if h.tick(10); h.endpointAt(server).health.state == StateUnhealthy {
			return
		}
	}
	t.Errorf("after 300 ms without an answer got state %d, want it ejected", h.endpointAt(server).health.state)
}

// stalledAttempts counts the stalled attempts in flight at each server.
func stalledAttempts(b *Balancer) map[Addr]int {
	stalled := map[Addr]int{}
	for _, endpoint := range b.endpoints.all {
		for _, attempt := range endpoint.traffic.inFlight {
			if attempt.stalled {
				stalled[endpoint.id]++
			}
		}
	}
	return stalled
}

// Attempts at endpoints that stopped answering must not use up the agent's concurrency limit until
// their deadlines, even if the settings allow no cancellation. Otherwise the endpoints that are alive
// get no requests.
func TestLimiterReleasesStalledAttempts(t *testing.T) {
	set := testSettings()
	set.Limits.Cancellation = false
	h := newTrainedHarness(t, set, 3)
	h.mustSend(nonIdempotentClass, 5)
	stalled, server := h.mustSend(nonIdempotentClass, 6)
	queued, actions := h.arrive(idempotentClass, 7)
	if action := findAction(actions, ActionSendAttempt); action != nil {
		t.Fatalf("got %+v, want nothing sent, as the agent is at its limit", action)
	}
	var send *Action
	for waited := 0; send == nil && waited < 200; waited += 10 {
		if send = findAction(h.tick(10), ActionSendAttempt); send != nil && waited < 50 {
			t.Fatalf("got an attempt sent after %d ms, want it only after several expected answer times", waited)
		}
	}
	if send == nil || send.Request != queued {
		t.Fatalf("got %+v, want request %d sent to the server that is alive", send, queued)
	}
	if h.b.limiter.stalled != 2 || h.b.limiter.inFlight != 3 {
		t.Fatalf("got %d stalled of %d in flight, want 2 of 3", h.b.limiter.stalled, h.b.limiter.inFlight)
	}
	h.endAttempt(stalled, 0, server, StatusOK, 150)
	left := stalledAttempts(h.b)
	if left[server] > 0 {
		t.Fatalf("got %d stalled at the server that has answered, want none", left[server])
	}
	all := 0
	for _, n := range left {
		all += n
	}
	if h.b.limiter.stalled != all {
		t.Fatalf("got %d counted as stalled, want %d", h.b.limiter.stalled, all)
	}
}

// An idempotent request is cancelled at a silent endpoint and sent to another one while there is time.
func TestBalancerRetriesIdempotentRequestsOfSilentEndpoints(t *testing.T) {
	h := newTrainedHarness(t, testSettings(), 6)
	id, server := h.mustSend(idempotentClass, 5)
	var cancel *Action
	for waited := 0; cancel == nil && waited < 200; waited += 10 {
		cancel = findAction(h.tick(10), ActionCancelAttempt)
	}
	if cancel == nil || cancel.Request != id || cancel.Attempt != 0 {
		t.Fatalf("got %+v, want attempt 0 of request %d cancelled", cancel, id)
	}
	for range 5 {
		if actions := h.tick(10); findAction(actions, ActionCancelAttempt) != nil || findAction(actions, ActionSendAttempt) != nil {
			t.Fatalf("before the first attempt has ended got %+v, want nothing", actions)
		}
	}
	actions := h.endAttempt(id, 0, server, StatusCancelled, 150)
	if send := findAction(actions, ActionSendAttempt); send == nil || send.Request != id || send.Server == server {
		t.Fatalf("got %+v, want request %d sent elsewhere", actions, id)
	}
}

// A non-idempotent request stays at a silent endpoint until its latency objective, after which an
// answer is worth nothing. Then it is answered with a failure at once.
func TestBalancerFailsNonIdempotentRequestsOfSilentEndpointsAtTheirObjective(t *testing.T) {
	h := newTrainedHarness(t, testSettings(), 6)
	id, server := h.mustSend(nonIdempotentClass, 5)
	arrived := h.now
	var fail *Action
	for fail == nil {
		actions := h.tick(10)
		if findAction(actions, ActionSendAttempt) != nil || findAction(actions, ActionRejectRequest) != nil {
			t.Fatalf("got %+v, want neither an attempt nor a rejection, as the request may have run", actions)
		}
		fail = findAction(actions, ActionFailRequest)
		if fail == nil && (findAction(actions, ActionCancelAttempt) != nil || h.now-arrived > 400) {
			t.Fatalf("after %v ms got %+v, want a failure at 300 ms", h.now-arrived, actions)
		}
	}
	if waited := h.now - arrived; fail.Request != id || waited < 300 || waited > 320 {
		t.Fatalf("got request %d failed after %v ms, want %d after 300 to 320 ms", fail.Request, waited, id)
	}
	h.endAttempt(id, 0, server, StatusCancelled, 310)
	if h.b.limiter.stalled != 0 || h.b.limiter.inFlight != 0 || len(h.b.queue.open) != 0 {
		t.Fatalf("got %d stalled, %d in flight and %d open requests, want none", h.b.limiter.stalled, h.b.limiter.inFlight,
			len(h.b.queue.open))
	}
}
