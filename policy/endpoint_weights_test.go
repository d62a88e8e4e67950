package policy

import "testing"

// Olive's quiet day: with a price on crossing, the own zone was given half of what it
// could serve. It gets more while it answers as fast as the rest, and gives it back.
func TestLocalZoneGetsMoreWhileItIsQuick(t *testing.T) {
	set := testSettings()
	set.Prices.CrossZone = 0.08
	r := newRig(t, set, 6)
	play := func(homeMs float64) float64 {
		own := 0
		for range 400 {
			r.now += 50
			id, server := r.sent(0, r.b.rng.Uint64())
			rtt := 20.0
			if r.b.endpoints.byAddr[server].zone == 0 {
				own++
				rtt = homeMs
			}
			r.outcome(id, 0, server, StatusOK, rtt)
		}
		return float64(own) / 400
	}
	play(20)
	if quick := play(20); quick < 0.8 {
		t.Errorf("the own zone is as fast as the rest and got %.2f", quick)
	}
	play(40)
	if slow := play(40); slow > 0.7 {
		t.Errorf("the own zone is twice as slow as the rest and got %.2f", slow)
	}
}

// Machines 2.5 times apart got equal shares, and the small ones choked. Where
// the list tells no weights a kind's answer times do.
func TestSlowMachineKindGetsLess(t *testing.T) {
	for _, weights := range []string{"off", "nominal"} {
		set := testSettings()
		set.Weights = weights
		r := newRig(t, set, 0)
		var entries []Entry
		for i := range 8 {
			entries = append(entries, Entry{Server: addr(i), Health: HealthReady, Weight: 1, MachineKind: i % 2})
		}
		r.list(ListFull, entries...)
		slow := 0
		for i := range 1200 {
			r.now += 50
			id, server := r.sent(0, r.b.rng.Uint64())
			rtt := 20.0
			if r.b.endpoints.byAddr[server].machineKind == 1 {
				rtt = 50
				if i >= 600 {
					slow++
				}
			}
			r.outcome(id, 0, server, StatusOK, rtt)
		}
		if slow > 250 {
			t.Errorf("weights %q: the slow half of the fleet got %d of 600 requests", weights, slow)
		}
		// Where the list tells weights, only an endpoint's own answers count against it.
		if w := r.b.selector.kinds.kind[1].weight; (w == 1) != (weights == "nominal") {
			t.Errorf("weights %q: the slow kind weighs %.2f", weights, w)
		}
	}
}

// Weights stay within their bounds however long one side is slower.
func TestWeightsStayWithinTheirBounds(t *testing.T) {
	zones, kinds := newZoneWeights(), newMachineKindWeights()
	slow, fast := &endpoint{machineKind: 1}, &endpoint{machineKind: 2}
	for range 1000 {
		zones.observe(true, 0.1, 0.05)
		zones.observe(false, 0.4, 0.05)
		kinds.observe(slow, 0.4)
		kinds.observe(fast, 0.1)
	}
	if zones.weight != zonePriceFactor*0.05 {
		t.Errorf("a quick local zone weighs %v, want %v", zones.weight, zonePriceFactor*0.05)
	}
	if kinds.of(slow) != minMachineKindWeight || kinds.of(fast) != 1 {
		t.Errorf("kinds weigh %v and %v, want %v and 1", kinds.of(slow), kinds.of(fast), minMachineKindWeight)
	}
	for range 1000 {
		zones.observe(true, 0.9, 0.05)
	}
	if zones.weight != minLocalZoneWeight {
		t.Errorf("a slow local zone weighs %v, want %v", zones.weight, minLocalZoneWeight)
	}
}
