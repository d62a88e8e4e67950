package policy

import "testing"

// When crossing zones has a price, the local zone gets more than its part of the requests while it
// answers as fast as the other zone, and loses this when it answers more slowly.
func TestZoneWeightsFavourAQuickLocalZone(t *testing.T) {
	set := testSettings()
	set.Prices.CrossZone = 0.08
	h := newHarness(t, set, 6)
	localShare := func(localMs float64) float64 {
		local := 0
		for range 400 {
			h.now += 50
			id, server := h.mustSend(idempotentClass, h.randomKey())
			latencyMs := 20.0
			if h.endpointAt(server).zone == 0 {
				local++
				latencyMs = localMs
			}
			h.endAttempt(id, 0, server, StatusOK, latencyMs)
		}
		return float64(local) / 400
	}
	localShare(20)
	if share := localShare(20); share < 0.8 {
		t.Errorf("as fast as the rest: got a share of %.2f, want 0.8 at least", share)
	}
	localShare(40)
	if share := localShare(40); share > 0.7 {
		t.Errorf("twice as slow as the rest: got a share of %.2f, want 0.7 at most", share)
	}
}

// When the list contains no weights, they follow the answer times of each kind of machine. Equal
// shares would overload the small machines.
func TestMachineKindWeightsReduceASlowKind(t *testing.T) {
	for _, weights := range []string{"off", "nominal"} {
		t.Run(weights, func(t *testing.T) {
			set := testSettings()
			set.Weights = weights
			h := newHarness(t, set, 0)
			entries := startedEntries(8, 0)
			for i := range entries {
				entries[i].MachineKind = i % 2
			}
			h.updateEndpoints(ListFull, entries...)
			slow := 0
			for i := range 1200 {
				h.now += 50
				id, server := h.mustSend(idempotentClass, h.randomKey())
				latencyMs := 20.0
				if h.endpointAt(server).machineKind == 1 {
					latencyMs = 50
					if i >= 600 {
						slow++
					}
				}
				h.endAttempt(id, 0, server, StatusOK, latencyMs)
			}
			if slow > 250 {
				t.Errorf("got %d of 600 requests at the slow half, want 250 at most", slow)
			}
			// When the list contains weights, only an endpoint's own answers reduce its share.
			if weight := h.b.selector.kinds.kinds[1].weight; (weight == 1) != (weights == "nominal") {
				t.Errorf("got a weight of %.2f for the slow kind, want 1: %v", weight, weights == "nominal")
			}
		})
	}
}

// Weights stay within their bounds, however long one zone or kind of machine is slower.
func TestEndpointWeightsStayWithinBounds(t *testing.T) {
	zones, kinds := newZoneWeights(), newMachineKindWeights()
	slow, fast := &endpoint{machineKind: 1}, &endpoint{machineKind: 2}
	for range 1000 {
		zones.observe(true, 0.1, 0.05)
		zones.observe(false, 0.4, 0.05)
		kinds.observe(slow, 0.4)
		kinds.observe(fast, 0.1)
	}
	if want := maxZoneWeightPerPrice * 0.05; zones.weight != want {
		t.Errorf("quick local zone: got a weight of %v, want %v", zones.weight, want)
	}
	if kinds.weightOf(slow) != minMachineKindWeight || kinds.weightOf(fast) != 1 {
		t.Errorf("got weights of %v for the slow kind and %v for the fast one, want %v and 1", kinds.weightOf(slow), kinds.weightOf(fast),
			minMachineKindWeight)
	}
	for range 1000 {
		zones.observe(true, 0.9, 0.05)
	}
	if zones.weight != minLocalZoneWeight {
		t.Errorf("slow local zone: got a weight of %v, want %v", zones.weight, minLocalZoneWeight)
	}
}
