// This file holds the slow start of endpoints whose process has just started: which endpoints are
// warming up, and how much work they may be sent.

package policy

import (
	"math"
	"slices"
)

const (
	// allowanceBurst is the burst of an endpoint's allowance, which is a token bucket, in mean
	// requests. It is small because all agents may spend theirs at once.
	allowanceBurst = 1.0
	// slowStartMargin divides the share of an endpoint that is warming up, see share. Without it,
	// the work of a share in proportion to the endpoint's present capacity could be up to this
	// multiple of that capacity. The share is one of the load of warm endpoints. These may be
	// overloaded by half, and their warm keys save them two thirds of the work.
	slowStartMargin = 5.0
	// maxCapacityOverestimate bounds the ratio of the estimated capacity of an endpoint that is
	// warming up to the actual one, if the known age of its process is wrong. It is the overload by
	// half that slowStartMargin allows for.
	maxCapacityOverestimate = 1.5
)

// StartToleranceMs returns by how much the age of an endpoint that is warming up may be
// overestimated, in ms. Such an error weighs most at the start of the process, where it makes the
// endpoint's capacity seem maxCapacityOverestimate times what it is.
func (c *Contract) StartToleranceMs() float64 {
	if c.InitialCapacity >= 1 {
		return c.SlowStartMs
	}
	return min((maxCapacityOverestimate-1)*c.InitialCapacity/(1-c.InitialCapacity)*c.SlowStartMs,
		c.SlowStartMs)
}

// capacityFraction returns the fraction of its full capacity that an endpoint has by the contract.
// It grows linearly with the age of its process, from InitialCapacity to 1 at SlowStartMs.
func (env *environment) capacityFraction(endpoint *endpoint) float64 {
	contract, start := &env.settings.Contract, &endpoint.slowStart
	age := env.now - start.startedAt
	if start.startedAt <= 0 || age >= contract.SlowStartMs ||
		start.startedAt != start.listedStartAt && age > contract.MaxListAgeMs {
		// It started long ago, or its restart was assumed and a list that is recent enough to show
		// it has not confirmed it.
		return 1
	}
	return contract.InitialCapacity + (1-contract.InitialCapacity)*max(age, 0)/contract.SlowStartMs
}

// slowStart limits the work that is sent to endpoints that are warming up. Each has an allowance, a
// token bucket in units of the work of a mean request. Work that warm endpoints serve refills it,
// and each attempt at the endpoint takes its cost from it.
type slowStart struct {
	*environment
	endpoints *endpointSet
	warming   []*endpoint // endpoints that may not have their full capacity yet

	// Total weight of the warm endpoints of the best tier, computed at warmWeightAt (ms) for the
	// epoch warmWeightEpoch of the endpoint set.
	cachedWarmWeight float64
	warmWeightAt     float64
	warmWeightEpoch  uint64
	stale            bool // an endpoint has begun or ended its slow start since warmWeightAt

	// Work that warm endpoints have served, per unit of their weight. It decays exponentially, with
	// the slow start time as time constant, and is as of workAt (ms).
	workPerWeight float64
	workAt        float64

	cachedCapacity float64 // result of fleetCapacity at capacityAt
	capacityAt     float64 // ms
}

// newSlowStart returns a slowStart without any endpoint that is warming up.
func newSlowStart(env *environment, endpoints *endpointSet) slowStart {
	return slowStart{environment: env, endpoints: endpoints}
}

// start begins to measure the work that warm endpoints serve.
func (w *slowStart) start() { w.workAt = w.now }

// listChanged invalidates the cached capacity of the fleet after a change of the endpoint list.
func (w *slowStart) listChanged() { w.capacityAt = never }

// rescale adapts workPerWeight to a reload of the settings that changed its time constant, the slow
// start time, from oldSlowStartMs. The measured rate remains the same.
func (w *slowStart) rescale(oldSlowStartMs float64) {
	if oldSlowStartMs > 0 {
		w.workPerWeight *= w.settings.Contract.SlowStartMs / oldSlowStartMs
	}
}

// restart records that an endpoint is a new process that started at startedAt by the endpoint list.
// Its allowance starts at a random fraction of a request. Each of many agents may refill it by only
// a part of one request until the endpoint is warm. With random starts, about as many agents send a
// request as these parts add up to. If all started at 0, no agent would send one in that time.
func (w *slowStart) restart(endpoint *endpoint, startedAt float64) {
	endpoint.slowStart.listedStartAt, endpoint.slowStart.startedAt = startedAt, startedAt
	w.markWarming(endpoint)
	endpoint.slowStart.allowance = w.rng.Float64()
}

// assumeRestart treats an endpoint as a process that started now, until the list says otherwise.
func (w *slowStart) assumeRestart(endpoint *endpoint) {
	endpoint.slowStart.startedAt, endpoint.slowStart.allowance = w.now, w.rng.Float64()
	w.markWarming(endpoint)
}

// charge takes the cost of an attempt that is sent from its endpoint's allowance, if the endpoint is
// warming up.
func (w *slowStart) charge(sent *attempt) {
	if w.capacityFraction(sent.endpoint) < 1 {
		sent.endpoint.slowStart.allowance -= sent.cost
		sent.charged = true
	}
}

// refund returns the charged cost of an attempt that was never sent.
func (w *slowStart) refund(attempt *attempt) {
	if attempt.charged {
		attempt.endpoint.slowStart.allowance += attempt.cost
	}
}

// markWarming records that the start time of an endpoint's process has changed, so that it may be
// warming up.
func (w *slowStart) markWarming(endpoint *endpoint) {
	w.stale = true
	if !endpoint.slowStart.warming && endpoint.slowStart.startedAt > 0 {
		endpoint.slowStart.warming = true
		w.warming = append(w.warming, endpoint)
	}
}

// remove drops an endpoint that is no longer listed.
func (w *slowStart) remove(removed *endpoint) {
	if removed.slowStart.warming {
		w.warming = slices.DeleteFunc(w.warming, func(other *endpoint) bool { return other == removed })
	}
}

// removeWarm removes the endpoints that have become warm from those that are warming up.
func (w *slowStart) removeWarm() {
	w.countWork(w.warming)
	w.warming = slices.DeleteFunc(w.warming, func(endpoint *endpoint) bool {
		endpoint.slowStart.warming = w.capacityFraction(endpoint) != 1
		w.stale = w.stale || !endpoint.slowStart.warming
		return !endpoint.slowStart.warming
	})
}

// warmWeight returns the total weight of the endpoints of the best tier that are not warming up. It
// is recomputed only after a change of a tier, of the list or of the endpoints that are warming up.
func (w *slowStart) warmWeight() float64 {
	if w.warmWeightAt == w.now && w.warmWeightEpoch == w.endpoints.epoch {
		return w.cachedWarmWeight
	}
	w.removeWarm()
	if w.warmWeightEpoch == w.endpoints.epoch && !w.stale {
		w.warmWeightAt = w.now
		return w.cachedWarmWeight
	}
	w.cachedWarmWeight, w.warmWeightAt, w.warmWeightEpoch, w.stale = 0, w.now, w.endpoints.epoch, false
	w.countWork(w.endpoints.all)
	for _, endpoint := range w.endpoints.all {
		if endpoint.usable && endpoint.health.state <= StateUnknown && w.capacityFraction(endpoint) == 1 {
			w.cachedWarmWeight += endpoint.weight
		}
	}
	return w.cachedWarmWeight
}

// fleetCapacity returns the capacity of the usable endpoints, in units of one warm endpoint. An
// endpoint that is warming up counts in proportion to its capacity while there are warm ones: its
// allowance limits what it is sent, and the rest of an even share would go to the warm ones. If no
// endpoint is warm, each counts in full.
func (w *slowStart) fleetCapacity() float64 {
	if w.capacityAt == w.now {
		return w.cachedCapacity
	}
	w.cachedCapacity, w.capacityAt = float64(w.endpoints.ready), w.now
	if w.warmWeight() == 0 {
		return w.cachedCapacity
	}
	w.countWork(w.warming)
	for _, endpoint := range w.warming {
		if endpoint.usable {
			w.cachedCapacity -= 1 - w.capacityFraction(endpoint)
		}
	}
	return w.cachedCapacity
}

// share returns the fraction of an even share of the load that an endpoint with the given fraction
// of its capacity may be sent. While it is warming up this stays below the overload that the
// contract defines, and rises with its capacity, so that its keys move to it as it warms up.
func (w *slowStart) share(fraction float64) float64 {
	if fraction < 1 {
		return fraction * w.settings.Contract.OverloadMultiple / slowStartMargin
	}
	return 1
}

// refillAllowances raises the allowances after an endpoint has served a request of the given cost,
// in mean requests. If that endpoint is warm, the allowance of each endpoint that is warming up rises
// by its share of the cost, by weight and capacity. This keeps the shares of all agents together in
// proportion to the capacities, without any coordination. Rejected requests refill nothing:
// rejections come fast, and under overload they would multiply the allowances. subset is the number
// of endpoints that the agent sends to.
func (w *slowStart) refillAllowances(server *endpoint, cost float64, subset int) {
	if w.capacityFraction(server) < 1 {
		return
	}
	warm := w.warmWeight() * float64(subset) / float64(len(w.endpoints.all)) // in the agent's subset
	if warm > 0 {
		w.workPerWeight = w.workPerWeight*math.Exp((w.workAt-w.now)/w.settings.Contract.SlowStartMs) +
			cost/warm
		w.workAt = w.now
	}
	w.countWork(w.warming)
	for _, endpoint := range w.warming {
		if fraction := w.capacityFraction(endpoint); fraction < 1 && warm > 0 {
			start := &endpoint.slowStart
			start.allowance = min(start.allowance+cost*w.share(fraction)*endpoint.weight/warm, allowanceBurst)
		}
	}
}

// pauseElapsed reports whether an endpoint may be sent another request of the given cost while no
// endpoint is warm. The endpoint accrues its share of the work that a warm endpoint served before, at
// the rate of that time. It may be sent a request once the work accrued since its last attempt covers
// the cost.
func (w *slowStart) pauseElapsed(endpoint *endpoint, cost float64) bool {
	share := w.share(w.capacityFraction(endpoint))
	accrued := (w.now - endpoint.traffic.lastSentAt) * w.workPerWeight * endpoint.weight * share
	return accrued >= cost*w.settings.Contract.SlowStartMs
}
