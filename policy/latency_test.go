package policy

import (
	"math"
	"testing"
)

// A single agent must raise its estimate of the uncontended answer time from its own attempts. When
// the first answers were quick, as those for a few hot keys, slower ones must not indicate
// congestion for good.
func TestLatencyTrackerRaisesUncontendedLatencyOfASingleAgent(t *testing.T) {
	for _, agents := range []int{1, 5} {
		set := testSettings()
		set.Replicas = agents
		h := newHarness(t, set, 4)
		for i := range 2500 {
			latencyMs := 20.0
			if i > 100 {
				latencyMs = 60
			}
			h.serve(idempotentClass, h.randomKey(), latencyMs)
		}
		if got := h.b.latency.uncontended; (got > 0.15) != (agents == 1) {
			t.Errorf("%d agents: after 2400 answers in 0.2 of the objective got %.3f of it as uncontended, want above 0.15: %v",
				agents, got, agents == 1)
		}
	}
}

// With few agents, each of which sees most of the load, an endpoint that answers well within the
// latency objective is not congested, however low the uncontended estimate is. Warming endpoints
// have a higher threshold because they are slow before they are congested.
func TestLatencyTrackerCongestionThresholdFallsWithReplicas(t *testing.T) {
	threshold := func(agents int, uncontended float64) float64 {
		set := testSettings()
		set.Replicas = agents
		h := newHarness(t, set, 1)
		h.b.latency.uncontended = uncontended
		return h.b.latency.congestionThreshold(h.endpoint(0))
	}
	if one, many := threshold(1, 0.01), threshold(20, 0.01); one < 0.3 || many > 0.1 {
		t.Errorf("got %.2f for one agent and %.2f for twenty, want 0.3 at least and 0.1 at most", one, many)
	}
	if got := threshold(1, 0.9); got != congestedFraction {
		t.Errorf("got %.2f with a high uncontended latency, want %.2f", got, congestedFraction)
	}
	h := newHarness(t, testSettings(), 1)
	h.updateEndpoints(ListDelta, startedAt(ready(1), h.now))
	h.b.latency.uncontended = 0.2
	warm, warming := h.b.latency.congestionThreshold(h.endpoint(0)), h.b.latency.congestionThreshold(h.endpoint(1))
	if warming < 2*warm {
		t.Errorf("got %.2f for a warming endpoint, want twice the %.2f of a warm one", warming, warm)
	}
}

// Agents that restart one by one may start while the fleet is congested. The answer times at the
// start must not become the uncontended estimate.
func TestLatencyTrackerCapsTheFirstUncontendedEstimate(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for range minUncontendedSamples {
		h.serve(idempotentClass, h.randomKey(), 270)
	}
	if got := h.b.latency.uncontended; got > congestedFraction/2 {
		t.Errorf("after answers in 0.9 of the objective got %.2f as uncontended, want %.2f at most", got, congestedFraction/2)
	}
}

func TestLatencyTrackerShrinksTheWindowOfACongestedEndpoint(t *testing.T) {
	set := testSettings()
	set.Replicas = 20 // many agents: each sees little of the load
	h := newHarness(t, set, 1)
	h.liftLimit()
	target := h.endpoint(0)
	for range 300 { // enough answers for the uncontended estimate
		h.serve(idempotentClass, 1, 20)
	}
	grown := target.window.size
	for range 200 {
		if id, actions := h.arrive(idempotentClass, 1); findAction(actions, ActionSendAttempt) != nil {
			h.now += 140
			h.endAttempt(id, 0, target.id, StatusOK, 140)
		}
		h.now += 10
	}
	if target.window.size >= grown {
		t.Errorf("after answers that took seven times as long got a window of %.2f, want less than %.2f", target.window.size, grown)
	}
	// With many agents, one attempt of each would still keep an overloaded endpoint busy.
	if target.window.size >= 1 {
		t.Errorf("at an overloaded endpoint got a window of %.2f, want less than 1", target.window.size)
	}
}

// No window may grow before the uncontended answer time is known. Otherwise the agent would congest
// the endpoints, and the answer times of congested endpoints would become the estimate.
func TestLatencyTrackerGrowsNoWindowBeforeUncontendedLatencyIsKnown(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for range minUncontendedSamples - 1 {
		server := h.serve(idempotentClass, h.randomKey(), 20)
		if size := h.endpointAt(server).window.size; size > initialWindow {
			t.Fatalf("after %.0f answers got a window of %.2f, want %.2f", h.b.latency.samples, size, initialWindow)
		}
	}
	for range 40 {
		sent := map[RequestID]Addr{}
		var ids []RequestID
		for range 3 {
			id, actions := h.arrive(idempotentClass, h.randomKey())
			if send := findAction(actions, ActionSendAttempt); send != nil {
				ids, sent[id] = append(ids, id), send.Server
			}
		}
		h.now += 20
		for _, id := range ids {
			h.endAttempt(id, 0, sent[id], StatusOK, 20)
		}
	}
	if size := max(h.endpoint(0).window.size, h.endpoint(1).window.size); size <= initialWindow {
		t.Errorf("once the uncontended latency is known got a window of %.2f, want more than %.2f", size, initialWindow)
	}
}

// The regression finds the line through exact samples. It predicts nothing before it has
// minHintSamples of them.
func TestHintRegressionFindsTheLine(t *testing.T) {
	hints := hintRegression{}
	for i := range 400 {
		hint := float64(10 + i%7*10)
		if i == minHintSamples-1 {
			if got := hints.expectedMs(&request{workHintMs: hint}); got != 0 {
				t.Errorf("after %d answers got %v ms, want 0", i, got)
			}
		}
		hints.observeAnswer(&request{workHintMs: hint}, 5+2*hint)
	}
	for _, hint := range []float64{10, 40, 100} {
		if got := hints.expectedMs(&request{workHintMs: hint}); math.Abs(got-5-2*hint) > 0.5 {
			t.Errorf("hint %v: got %.2f ms, want %v", hint, got, 5+2*hint)
		}
	}
	if got := hints.expectedMs(&request{}); got != 0 {
		t.Errorf("no hint: got %.2f ms, want 0", got)
	}
}

// A request whose hint is a multiple of the mean must cost the same multiple of an allowance.
// Otherwise a burst of such requests would overload an endpoint that is warming up.
func TestHintRegressionCostFollowsTheHint(t *testing.T) {
	hints := hintRegression{meanHint: 50}
	for _, test := range []struct{ hint, want float64 }{{1, 1}, {200, 4}} {
		if got := hints.cost(&request{workHintMs: test.hint}); got != test.want {
			t.Errorf("hint %v with a mean of 50: got a cost of %.2f, want %v", test.hint, got, test.want)
		}
	}
}
