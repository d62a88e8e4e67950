package policy

import "testing"

// The pause for a window below 1 depends on the last answer time. A pause from the mean would stay
// long after an overload has ended, and nothing would show that the endpoint is idle.
func TestEndpointWindowPauseFollowsTheLastAnswer(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	target := h.endpoint(0)
	for _, latencyMs := range []float64{900, 900, 900, 900, 30} {
		target.window.size = 0.5
		h.now += 5000
		h.serve(idempotentClass, 0, latencyMs)
	}
	target.window.size = 0.5
	hasCapacityAfter := func(ms float64) bool {
		h.b.now = target.traffic.lastSentAt + ms
		return h.b.eligibility.hasCapacity(target, &request{class: h.b.classes.all[idempotentClass]})
	}
	if hasCapacityAfter(59) {
		t.Error("before twice the last answer time: got capacity, want a pause")
	}
	if !hasCapacityAfter(61) {
		t.Error("after twice the last answer time: got no capacity, want the pause over")
	}
}

func TestEndpointWindowBounds(t *testing.T) {
	window := endpointWindow{size: 4}
	window.decrease(100, 0.5, 1)
	if window.size != 2 || window.decreasedAt != 100 {
		t.Errorf("decreased by half: got %+v, want a size of 2, decreased at 100", window)
	}
	window.decrease(200, 0.1, 1)
	if window.size != 1 {
		t.Errorf("decreased to less than minSize: got a size of %v, want 1", window.size)
	}
	window.increase()
	if window.size != 2 {
		t.Errorf("increased by one attempt a round trip: got a size of %v, want 2", window.size)
	}
	window.size = 0.25
	if window.increase(); window.size != 0.5 {
		t.Errorf("increased from below one: got a size of %v, want it doubled to 0.5", window.size)
	}
	window.size = 1.5
	if window.halve(); window.size != 1 {
		t.Errorf("halved: got a size of %v, want 1 at least", window.size)
	}
}

func TestEndpointUpdateAppliesTheEntry(t *testing.T) {
	target := endpoint{weight: 3, usable: true}
	target.update(&Entry{Zone: 1, Cell: 2, MachineKind: 3, Health: HealthDraining, Weight: -1})
	if target.zone != 1 || target.cell != 2 || target.machineKind != 3 {
		t.Errorf("got zone %d, cell %d and kind %d, want 1, 2 and 3", target.zone, target.cell, target.machineKind)
	}
	if target.usable || target.weight != 1 {
		t.Errorf("draining with a negative weight: got usable %v and a weight of %v, want false and 1", target.usable, target.weight)
	}
	if target.update(&Entry{Health: HealthReady, Weight: 2}); !target.usable || target.weight != 2 {
		t.Errorf("ready: got usable %v and a weight of %v, want true and 2", target.usable, target.weight)
	}
}
