package policy

import (
	"math"
	"testing"
)

// A lone agent learns from its own attempts how long uncontended answers take: where the first ones
// were quick, as of a few hot keys, what comes after must not count as crowded for good.
func TestLoneAgentLearnsTheUncontendedLatency(t *testing.T) {
	for _, agents := range []int{1, 5} {
		set := testSettings()
		set.Replicas = agents
		r := newRig(t, set, 4)
		for i := range 2500 {
			rtt := 20.0
			if i > 100 {
				rtt = 60
			}
			id, server := r.sent(0, uint64(r.b.rng.Int64()))
			r.now += rtt
			r.outcome(id, 0, server, StatusOK, rtt)
		}
		if grown := r.b.latency.uncontended > 0.15; grown != (agents == 1) {
			t.Errorf("%d agents: after 2400 answers in 0.2 of the aim, one at a time, calm is %.3f", agents, r.b.latency.uncontended)
		}
	}
}

// Few agents see most of the load: what answers well within the latency objective is not crowded,
// however low the uncontended time was taken. Warming endpoints are slower before they are.
func TestCrowdedThresholdFallsWithTheAgents(t *testing.T) {
	limit := func(agents int, calm float64) float64 {
		set := testSettings()
		set.Replicas = agents
		r := newRig(t, set, 1)
		r.b.latency.uncontended = calm
		return r.b.latency.crowdedThreshold(r.b.endpoints.byAddr[addr(0)])
	}
	if one, many := limit(1, 0.01), limit(20, 0.01); one < 0.3 || many > 0.1 {
		t.Errorf("least limits: %.2f for one agent, want about a third; %.2f for twenty, want little", one, many)
	}
	if l := limit(1, 0.9); l != crowdedFraction {
		t.Errorf("limit %.2f with a high calm, want %.2f", l, crowdedFraction)
	}
	r := newRig(t, testSettings(), 1)
	r.list(ListDelta, Entry{Server: addr(1), Health: HealthReady, Weight: 1, StartedMs: r.now})
	r.b.latency.uncontended = 0.2
	if cold, warm := r.b.latency.crowdedThreshold(r.b.endpoints.byAddr[addr(1)]), r.b.latency.crowdedThreshold(r.b.endpoints.byAddr[addr(0)]); cold < 2*warm {
		t.Errorf("limit %.2f of a cold server, %.2f of a warm one", cold, warm)
	}
}

// Agents restarted one by one while the fleet was crowded.
func TestACrowdAtTheStartIsNotTakenForUncontended(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range uncontendedSamples {
		id, server := r.sent(0, uint64(r.b.rng.Int64()))
		r.now += 270
		r.outcome(id, 0, server, StatusOK, 270)
	}
	if r.b.latency.uncontended > crowdedFraction/2 {
		t.Errorf("answers in 0.9 of the aim were taken for calm: %.2f", r.b.latency.uncontended)
	}
}

func TestCrowdedWindowShrinks(t *testing.T) {
	set := testSettings()
	set.Replicas = 20 // many: each sees little of the load
	r := newRig(t, set, 1)
	r.b.limiter.scale = 1e6 // the agent's own limit is not at issue
	target := r.b.endpoints.all[0]
	for range 300 { // long enough to know the uncontended answer time
		id, server := r.sent(0, 1)
		r.now += 20
		r.outcome(id, 0, server, StatusOK, 20)
	}
	grown := target.window.size
	for range 200 {
		if id, actions := r.ask(0, 1); find(actions, ActionSendAttempt) != nil {
			r.now += 140
			r.outcome(id, 0, target.id, StatusOK, 140)
		}
		r.now += 10
	}
	if target.window.size >= grown {
		t.Errorf("answers took seven times as long and the window went from %.2f to %.2f", grown, target.window.size)
	}
	// With many agents one attempt of each keeps an overloaded endpoint busy.
	if target.window.size >= 1 {
		t.Errorf("a tipped server is not left to rest: window %.2f", target.window.size)
	}
}

// No window grows before the uncontended answer time is known: what crowded the endpoints would
// become the measure.
func TestNoWindowGrowsBeforeTheUncontendedLatencyIsKnown(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	for range uncontendedSamples - 1 {
		id, server := r.sent(0, r.b.rng.Uint64())
		r.now += 20
		r.outcome(id, 0, server, StatusOK, 20)
		if w := r.b.endpoints.byAddr[server].window.size; w > initialWindow {
			t.Fatalf("window %.2f after %.0f answers", w, r.b.latency.answers)
		}
	}
	var ids []RequestID
	var tos []Addr
	for range 40 {
		ids, tos = ids[:0], tos[:0]
		for range 3 {
			if id, actions := r.ask(0, r.b.rng.Uint64()); find(actions, ActionSendAttempt) != nil {
				ids, tos = append(ids, id), append(tos, find(actions, ActionSendAttempt).Server)
			}
		}
		r.now += 20
		for i := range ids {
			r.outcome(ids[i], 0, tos[i], StatusOK, 20)
		}
	}
	if w := max(r.b.endpoints.all[0].window.size, r.b.endpoints.all[1].window.size); w <= initialWindow {
		t.Errorf("no window grew once calm was known: %.2f", w)
	}
}

// The regression finds a line from its points, and tells nothing before it has seen enough.
func TestHintRegressionFindsTheLine(t *testing.T) {
	hints := hintRegression{}
	for i := range 400 {
		hint := float64(10 + i%7*10)
		if i == minHintAnswers-1 && hints.expectedMs(&request{hint: hint}) != 0 {
			t.Errorf("tells a time after %d answers", i)
		}
		hints.learn(&request{hint: hint}, 5+2*hint)
	}
	for _, hint := range []float64{10, 40, 100} {
		if got := hints.expectedMs(&request{hint: hint}); math.Abs(got-5-2*hint) > 0.5 {
			t.Errorf("%.2f ms for a hint of %v, want %v", got, hint, 5+2*hint)
		}
	}
	if got := hints.expectedMs(&request{}); got != 0 {
		t.Errorf("%.2f ms without a hint", got)
	}
}
