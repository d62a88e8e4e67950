// This file holds which endpoints are warming up, and how much they may be sent.

package policy

import (
	"math"
	"slices"
)

const (
	// maxAllowance bounds what an endpoint's allowance saves up, in mean requests: all agents may
	// spend it at once.
	maxAllowance = 1.0
	// slowStartMargin is what an even share may cost an endpoint that is warming up, in its present
	// capacity: warm ones may be crowded by half and save two thirds by their warm keys.
	slowStartMargin = 5.0
	// ageErrorFactor is how many times its capacity an endpoint that is warming up may be taken to
	// have, for an error in its age: warm ones may be crowded by half, which slowStartMargin
	// allows for.
	ageErrorFactor = 1.5
)

// StartToleranceMs returns how much older than it is an endpoint that is warming up may be taken for,
// in ms: at its start, where that means most, it then counts as ageErrorFactor times what it can
// do.
func (c *Contract) StartToleranceMs() float64 {
	if c.SlowStartFrom >= 1 {
		return c.SlowStartMs
	}
	return min((ageErrorFactor-1)*c.SlowStartFrom/(1-c.SlowStartFrom)*c.SlowStartMs, c.SlowStartMs)
}

// capacityFraction returns the part of its capacity that an endpoint has by the contract: it grows
// evenly with the age of its process, from SlowStartFrom to 1.
func (env *environment) capacityFraction(endpoint *endpoint) float64 {
	contract, start := &env.settings.Contract, &endpoint.slowStart
	age := env.now - start.startedAt
	if start.startedAt <= 0 || age >= contract.SlowStartMs ||
		start.startedAt != start.listedAt && age > contract.PollWithinMs {
		return 1 // long past, or a restart that was assumed and not confirmed by the list in its time
	}
	return contract.SlowStartFrom + (1-contract.SlowStartFrom)*max(age, 0)/contract.SlowStartMs
}

// slowStart holds which endpoints are warming up and what they may be sent.
type slowStart struct {
	*environment
	endpoints  *endpointSet
	warming    []*endpoint // that may not have their whole capacity yet
	warm       float64     // weight of the warm endpoints, as of warmAt and warmEpoch
	warmAt     float64     // ms
	warmEpoch  uint64
	stale      bool    // an endpoint began or ended its slow start since
	flow       float64 // work sent to a warm endpoint of weight 1, fading over the slow start time
	flowAt     float64 // ms
	capacity   float64 // of all usable endpoints, as of capacityAt
	capacityAt float64 // ms
}

// newSlowStart returns a slowStart of the endpoints, of which none is warming up yet.
func newSlowStart(env *environment, endpoints *endpointSet) slowStart {
	return slowStart{environment: env, endpoints: endpoints}
}

// start begins to measure the work that warm endpoints are sent.
func (w *slowStart) start() { w.flowAt = w.now }

// listChanged notes that the list has changed, and with it the fleet's capacity.
func (w *slowStart) listChanged() { w.capacityAt = never }

// rescale adapts the flow, which fades over the slow start time, to settings that changed that time
// from oldSlowStartMs: it stands for as much as before.
func (w *slowStart) rescale(oldSlowStartMs float64) {
	if oldSlowStartMs > 0 {
		w.flow *= w.settings.Contract.SlowStartMs / oldSlowStartMs
	}
}

// restart notes that an endpoint is a new process that started at startedAt by the list. Its allowance
// starts at random: of many agents that each earn it a part of one request, as many send one as the
// parts add up to; from 0 none would before it is warm.
func (w *slowStart) restart(endpoint *endpoint, startedAt float64) {
	endpoint.slowStart.listedAt, endpoint.slowStart.startedAt = startedAt, startedAt
	w.begin(endpoint)
	endpoint.slowStart.allowance = w.rng.Float64()
}

// assumeRestart takes an endpoint for a process that started now, until the list says otherwise.
func (w *slowStart) assumeRestart(endpoint *endpoint) {
	endpoint.slowStart.startedAt, endpoint.slowStart.allowance = w.now, w.rng.Float64()
	w.begin(endpoint)
}

// charge takes an attempt that is sent from its endpoint's allowance, if that is warming up.
func (w *slowStart) charge(sent *attempt) {
	if w.capacityFraction(sent.endpoint) < 1 {
		sent.endpoint.slowStart.allowance -= sent.cost
		sent.charged = true
	}
}

// refund gives back what an attempt was charged that never went out.
func (w *slowStart) refund(attempt *attempt) {
	if attempt.charged {
		attempt.endpoint.slowStart.allowance += attempt.cost
	}
}

// begin notes that an endpoint's start has changed: it may be warming up.
func (w *slowStart) begin(endpoint *endpoint) {
	w.stale = true
	if !endpoint.slowStart.warming && endpoint.slowStart.startedAt > 0 {
		endpoint.slowStart.warming = true
		w.warming = append(w.warming, endpoint)
	}
}

// forget drops an endpoint that is no longer listed.
func (w *slowStart) forget(forgotten *endpoint) {
	if forgotten.slowStart.warming {
		w.warming = slices.DeleteFunc(w.warming, func(other *endpoint) bool { return other == forgotten })
	}
}

// finishWarm takes those that are warm by now from the ones that are warming up.
func (w *slowStart) finishWarm() {
	w.countWork(w.warming)
	w.warming = slices.DeleteFunc(w.warming, func(endpoint *endpoint) bool {
		endpoint.slowStart.warming = w.capacityFraction(endpoint) != 1
		w.stale = w.stale || !endpoint.slowStart.warming
		return !endpoint.slowStart.warming
	})
}

// warmWeight returns the weight of the endpoints of the top tier that are not warming up, counted
// anew only where a tier, the list or who is warming up has changed.
func (w *slowStart) warmWeight() float64 {
	if w.warmAt == w.now && w.warmEpoch == w.endpoints.epoch {
		return w.warm
	}
	w.finishWarm()
	if w.warmEpoch == w.endpoints.epoch && !w.stale {
		w.warmAt = w.now
		return w.warm
	}
	w.warm, w.warmAt, w.warmEpoch, w.stale = 0, w.now, w.endpoints.epoch, false
	w.countWork(w.endpoints.all)
	for _, endpoint := range w.endpoints.all {
		if endpoint.usable && endpoint.health.state <= StateUnknown && w.capacityFraction(endpoint) == 1 {
			w.warm += endpoint.weight
		}
	}
	return w.warm
}

// fleetCapacity returns what the usable endpoints can do, in warm ones. Those that are warming up
// count in part beside warm ones: their allowance bounds what they are sent, and what is missing
// of an even share would be sent to the warm ones. Alone they count as whole.
func (w *slowStart) fleetCapacity() float64 {
	if w.capacityAt == w.now {
		return w.capacity
	}
	w.capacity, w.capacityAt = float64(w.endpoints.ready), w.now
	if w.warmWeight() == 0 {
		return w.capacity
	}
	w.countWork(w.warming)
	for _, endpoint := range w.warming {
		if endpoint.usable {
			w.capacity -= 1 - w.capacityFraction(endpoint)
		}
	}
	return w.capacity
}

// share returns the part of an even share that an endpoint may be sent of which only the fraction given
// of the capacity is there: of one that is warming up what keeps the contract, so that its keys
// move to it as it warms up.
func (w *slowStart) share(fraction float64) float64 {
	if fraction < 1 {
		return fraction * w.settings.Contract.OverloadMultiple / slowStartMargin
	}
	return 1
}

// earn raises the allowances after a warm endpoint has served work of the cost given, in mean
// requests: each endpoint that is warming up may get its share by weight and capacity. Then the
// shares of all agents together stay in proportion to what the endpoints can do, without any
// agreement. What was rejected earns nothing: rejections come fast, and under overload they would
// multiply the allowances. subset is how many endpoints the agent sends to.
func (w *slowStart) earn(server *endpoint, cost float64, subset int) {
	if w.capacityFraction(server) < 1 {
		return
	}
	warm := w.warmWeight() * float64(subset) / float64(len(w.endpoints.all)) // of its subset
	if warm > 0 {
		w.flow = w.flow*math.Exp((w.flowAt-w.now)/w.settings.Contract.SlowStartMs) + cost/warm
		w.flowAt = w.now
	}
	w.countWork(w.warming)
	for _, endpoint := range w.warming {
		if fraction := w.capacityFraction(endpoint); fraction < 1 && warm > 0 {
			start := &endpoint.slowStart
			start.allowance = min(start.allowance+cost*w.share(fraction)*endpoint.weight/warm, maxAllowance)
		}
	}
}

// pauseOver reports whether an endpoint has been sent nothing for long enough that it may take another
// request of the cost given, where no endpoint is warm: for as long as its share of what a warm one was
// sent before takes.
func (w *slowStart) pauseOver(endpoint *endpoint, cost float64) bool {
	share := w.share(w.capacityFraction(endpoint))
	earned := (w.now - endpoint.traffic.sentAt) * w.flow * endpoint.weight * share
	return earned >= cost*w.settings.Contract.SlowStartMs
}
