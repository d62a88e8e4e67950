package policy

import (
	"slices"
	"testing"
)

// checkSets compares the subsets of endpoints with the whole list. Each subset must contain exactly
// the endpoints that belong to it, in the order of the list, and the cached weight of the warm
// endpoints must equal a new count.
func checkSets(t *testing.T, b *Balancer) {
	t.Helper()
	checkSet(t, b, "ejected", b.endpoints.ejected, func(listed *endpoint) bool { return listed.health.state > StateUnknown })
	checkSet(t, b, "busy", b.endpoints.busy, func(listed *endpoint) bool { return len(listed.traffic.inFlight) > 0 })
	warm, known := 0.0, b.slowStart.warmWeightEpoch == b.endpoints.epoch && !b.slowStart.stale
	for _, listed := range b.endpoints.all {
		if b.capacityFraction(listed) < 1 && !slices.Contains(b.slowStart.warming, listed) {
			t.Fatalf("warming: got no endpoint %v, want it among them", listed.id)
		}
		if listed.usable && listed.health.state <= StateUnknown && b.capacityFraction(listed) == 1 {
			warm += listed.weight
		}
	}
	for _, warming := range b.slowStart.warming {
		if b.endpoints.byAddr[warming.id] != warming {
			t.Fatalf("warming: got %v, want none that is no longer listed", warming.id)
		}
		known = known && b.capacityFraction(warming) != 1
	}
	if known && b.slowStart.cachedWarmWeight != warm {
		t.Fatalf("got a warm weight of %v, want %v", b.slowStart.cachedWarmWeight, warm)
	}
}

// checkSet compares one set with the listed endpoints that belong to it.
func checkSet(t *testing.T, b *Balancer, name string, set orderedEndpoints, belongs func(*endpoint) bool) {
	t.Helper()
	want := slices.DeleteFunc(slices.Clone(b.endpoints.all), func(listed *endpoint) bool { return !belongs(listed) })
	if !slices.Equal(set, want) {
		t.Fatalf("%s: got %d endpoints, want %d in the list's order", name, len(set), len(want))
	}
}

// If new settings give a longer slow start time, endpoints that were warm may be warming up again.
func TestEndpointSetsFollowALongerSlowStart(t *testing.T) {
	set := testSettings()
	set.Contract.SlowStartMs = 500
	h := newHarness(t, set, 3)
	warming := func() int { return len(h.b.slowStart.warming) }
	h.updateEndpoints(ListDelta, startedAt(ready(1), h.now))
	h.now += 600
	if h.arrive(idempotentClass, 0); h.b.slowStart.warmWeight() != 3 || warming() != 0 {
		t.Fatalf("got a warm weight of %v and %d warming, want 3 and none", h.b.slowStart.warmWeight(), warming())
	}
	set.Contract.SlowStartMs = 5000
	if err := h.b.Reconfigure(set); err != nil {
		t.Fatal(err)
	}
	checkSets(t, h.b)
	h.now++ // the cached weight is valid only for the time of its event
	h.arrive(idempotentClass, 0)
	if got := h.b.slowStart.warmWeight(); got != 2 || warming() != 1 {
		t.Errorf("got a warm weight of %v and %d warming, want 2 and 1", got, warming())
	}
}

// The set stays sorted and contains each endpoint once. The removal of an endpoint that it does not
// contain has no effect.
func TestOrderedEndpointsStayInOrder(t *testing.T) {
	var set orderedEndpoints
	first, second, third := &endpoint{sortKey: 1}, &endpoint{sortKey: 2}, &endpoint{sortKey: 3}
	for _, endpoint := range []*endpoint{third, first, second, first, third} {
		set.insert(endpoint)
	}
	if !slices.Equal(set, orderedEndpoints{first, second, third}) {
		t.Fatalf("got %d endpoints, want the three in order", len(set))
	}
	set.remove(second)
	set.remove(second)
	if !slices.Equal(set, orderedEndpoints{first, third}) {
		t.Errorf("got %d endpoints, want the first and the third", len(set))
	}
}
