// This file holds the weights that are not in the endpoint list: by zone and by kind of machine.

package policy

const (
	// minLocalZoneWeight is the smallest weight of the agent's own zone, by which the weights of its
	// endpoints are multiplied. maxZoneWeightPerPrice times the price of an attempt that crosses
	// zones is the largest.
	minLocalZoneWeight, maxZoneWeightPerPrice = 1.5, 100.0
	// minMachineKindWeight is the smallest weight of a slow kind of machine; 1 is the largest.
	minMachineKindWeight = 0.25
	// weightStep is the relative change of a weight with each answer, and the smoothing factor of
	// the answer times that weights are based on.
	weightStep = 0.05
)

// zoneWeights holds the weight of an endpoint of the local zone, relative to one of another zone.
// Latencies are moving averages, as fractions of the latency objective.
type zoneWeights struct {
	weight        float64
	localLatency  float64
	remoteLatency float64
}

// newZoneWeights returns the smallest weight for the local zone.
func newZoneWeights() zoneWeights { return zoneWeights{weight: minLocalZoneWeight} }

// observe updates the weight with an answer time, as a fraction of the latency objective. The weight
// of the local zone rises while the zone answers no slower than the others. A relative difference of
// up to the price of crossing zones is tolerated, and the upper bound of the weight is in proportion
// to that price. The weight falls while the local zone is slower, because then it has more traffic
// than it can serve.
func (z *zoneWeights) observe(local bool, fraction, crossZonePrice float64) {
	latency := &z.remoteLatency
	if local {
		latency = &z.localLatency
	}
	*latency = ewma(*latency, fraction, weightStep)
	maxWeight := max(maxZoneWeightPerPrice*crossZonePrice, minLocalZoneWeight)
	slower := z.localLatency > z.remoteLatency*(1+crossZonePrice)
	z.weight = stepWeight(z.weight, slower, minLocalZoneWeight, maxWeight)
}

// machineKindWeights holds a weight for each kind of machine. Latencies are moving averages, as
// fractions of the latency objective. A kind that answers more slowly than the mean of all kinds
// gets a lower weight: equal shares would overload the small machines. Kinds whose indexes have the
// same lowest 8 bits share a weight.
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

// weightOf returns the weight of the endpoint's machine kind.
func (m *machineKindWeights) weightOf(endpoint *endpoint) float64 {
	return m.kinds[endpoint.machineKind&255].weight
}

// observe updates the weight of the endpoint's machine kind with an answer time, as a fraction of
// the latency objective.
func (m *machineKindWeights) observe(endpoint *endpoint, fraction float64) {
	m.meanLatency = ewma(m.meanLatency, fraction, weightStep)
	kind := &m.kinds[endpoint.machineKind&255]
	kind.latency = ewma(kind.latency, fraction, weightStep)
	kind.weight = stepWeight(kind.weight, kind.latency > m.meanLatency, minMachineKindWeight, 1)
}

// stepWeight returns the weight after a decrease or an increase by weightStep within its bounds.
func stepWeight(weight float64, down bool, minWeight, maxWeight float64) float64 {
	if down {
		return max(weight/(1+weightStep), minWeight)
	}
	return min(weight*(1+weightStep), maxWeight)
}
