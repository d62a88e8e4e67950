// This file holds the weights that the endpoint list does not tell: by zone and machine kind.

package policy

const (
	// minLocalZoneWeight is how much more an endpoint of the agent's own zone weighs in a key's
	// order at the least; maxZoneWeightPerPrice times the price of crossing is the most.
	minLocalZoneWeight, maxZoneWeightPerPrice = 1.5, 100.0
	// minMachineKindWeight is what a slow kind of machine keeps.
	minMachineKindWeight = 0.25
	// weightStep is how fast weights follow answer times.
	weightStep = 0.05
)

// zoneWeights is how much more an endpoint of the local zone weighs than one of another zone.
// Latencies are means, as parts of the latency objective.
type zoneWeights struct {
	weight        float64
	localLatency  float64
	remoteLatency float64
}

// newZoneWeights returns weights with the least one for the local zone.
func newZoneWeights() zoneWeights { return zoneWeights{weight: minLocalZoneWeight} }

// observe takes an answer time, as a part of the objective. Where crossing has a price the local
// zone gets more in proportion, as long as it answers no slower than the others: what has more
// traffic than it can carry gets slower.
func (z *zoneWeights) observe(local bool, fraction, crossZonePrice float64) {
	latency := &z.remoteLatency
	if local {
		latency = &z.localLatency
	}
	*latency = ewma(*latency, fraction, weightStep)
	most := max(maxZoneWeightPerPrice*crossZonePrice, minLocalZoneWeight)
	slower := z.localLatency > z.remoteLatency*(1+crossZonePrice)
	z.weight = stepWeight(z.weight, slower, minLocalZoneWeight, most)
}

// machineKindWeights holds a weight for each kind of machine. Latencies are means, as parts of
// the latency objective. A kind that answers later than all gets less: equal shares would
// overload the small ones.
type machineKindWeights struct {
	meanLatency float64 // of all kinds
	kinds       [256]struct{ latency, weight float64 }
}

// newMachineKindWeights returns weights of 1 for all kinds.
func newMachineKindWeights() machineKindWeights {
	weights := machineKindWeights{}
	for i := range weights.kinds {
		weights.kinds[i].weight = 1
	}
	return weights
}

// of returns the weight of the endpoint's machine kind.
func (m *machineKindWeights) weightOf(endpoint *endpoint) float64 {
	return m.kinds[endpoint.machineKind&255].weight
}

// observe takes an answer time, as a part of the objective.
func (m *machineKindWeights) observe(endpoint *endpoint, fraction float64) {
	m.meanLatency = ewma(m.meanLatency, fraction, weightStep)
	kind := &m.kinds[endpoint.machineKind&255]
	kind.latency = ewma(kind.latency, fraction, weightStep)
	kind.weight = stepWeight(kind.weight, kind.latency > m.meanLatency, minMachineKindWeight, 1)
}

// stepWeight moves a weight a step down or up within its bounds.
func stepWeight(weight float64, down bool, least, most float64) float64 {
	if down {
		return max(weight/(1+weightStep), least)
	}
	return min(weight*(1+weightStep), most)
}
