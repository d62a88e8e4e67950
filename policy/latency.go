// This file holds what is learnt from answer times, and how it is forgotten.

package policy

import (
	"math"
)

const (
	// crowdedFraction is the part of the latency objective that an endpoint's mean answer time may
	// take.
	crowdedFraction = 0.5
	// crowdedFactor is how many times the fleet's uncontended answer time an uncrowded endpoint's
	// may be.
	crowdedFactor = 1.5
	// initialWindow is how many attempts an unmeasured endpoint may hold.
	initialWindow = 2.0
	// uncontendedSamples is the number of answers that make the first measure of the uncontended
	// answer time; until then no window grows, so that a start does not crowd what it measures.
	uncontendedSamples = 50
	// minWindow is what the most crowded endpoint keeps: enough to see when it is not. An endpoint
	// counts as overloaded, and may get less than one attempt, from overloadFactor times the
	// answer time of a crowded one.
	minWindow, overloadFactor = 0.1, 2.5
	// windowCut is what a crowded endpoint keeps of its window.
	windowCut = 0.85
	// endpointSmoothing is the weight of an answer in an endpoint's mean, fleetSmoothing in one
	// over all endpoints.
	endpointSmoothing, fleetSmoothing = 0.2, 0.005
	// shareDecay lets requests count less for shares with age, over about 500.
	shareDecay = 0.998
	// recentStep and recentFleetStep are the weights of an answer in the recent latency of its
	// endpoint and of the fleet.
	recentStep, recentFleetStep = 0.5, 0.02
	// recentMemoryMs is how fast an agent forgets an endpoint's recent latency: an overloaded one
	// recovers within seconds of idle time.
	recentMemoryMs = 10000.0
	// maxObjectiveFraction bounds an answer time as a part of the objective.
	maxObjectiveFraction = 2.0
	// uncontendedInertia is how much slower the uncontended answer time rises than the fleet's.
	uncontendedInertia = 250
	// minHintAnswers is from how many hinted answers on hints tell the time of an answer.
	minHintAnswers = 1 / (4 * fleetSmoothing)
)

// latencyTracker holds the answer times over all endpoints, as parts of the latency objective.
type latencyTracker struct {
	*environment
	answers     float64 // served so far
	fleet       float64 // mean
	uncontended float64 // the same while no endpoint is crowded
	recent      float64 // mean of the last answers
	hints       hintRegression
}

// newLatencyTracker returns a tracker that has seen no answer.
func newLatencyTracker(env *environment) latencyTracker { return latencyTracker{environment: env} }

// objectiveFraction returns an answer time as a part of the latency objective. Where hints tell the
// work a costly request counts as one of mean work; a small one's time is mostly the network's.
func (l *latencyTracker) objectiveFraction(request *request, rttMs float64) float64 {
	fraction := rttMs / request.class.LatencyObjectiveMs
	if request.workHintMs > 0 {
		fraction *= min(l.hints.mean/request.workHintMs, 1)
	}
	return min(fraction, maxObjectiveFraction)
}

// expectedMs returns how long an answer to the request takes, on the mean.
func (l *latencyTracker) expectedMs(request *request) float64 {
	expected := request.class.expectedMs(l.now)
	if hinted := l.hints.expectedMs(request); hinted > 0 {
		expected = max(hinted, expected/4)
	}
	return expected
}

// observe takes an answer into the fleet's mean and into the uncontended one. alone says that no
// other attempt of this agent was in flight at its endpoint.
func (l *latencyTracker) observe(fraction float64, alone bool) {
	l.answers++
	l.fleet = ewma(l.fleet, fraction, max(fleetSmoothing, 1/l.answers))
	switch {
	case l.answers <= uncontendedSamples:
		// One quick answer must not set the measure, nor a crowd at the start.
		l.uncontended = min(l.fleet, crowdedFraction/2)
	case l.fleet < l.uncontended:
		l.uncontended = ewma(l.uncontended, l.fleet, fleetSmoothing)
	default:
		l.uncontended = ewma(l.uncontended, l.fleet, l.uncontendedRise(alone))
	}
}

// uncontendedRise returns how fast the uncontended answer time follows longer ones: hardly, or a crowd
// would become the measure. An attempt that was alone of its agent tells more the fewer agents
// there are: a lone agent that took quick first answers for uncontended would have its endpoints
// idle.
func (l *latencyTracker) uncontendedRise(alone bool) float64 {
	if alone {
		return fleetSmoothing / min(2*math.Pow(float64(max(l.settings.Replicas, 1)), 3), uncontendedInertia)
	}
	return fleetSmoothing / uncontendedInertia
}

// restart forgets the answer times of an endpoint's former process.
func (l *latencyTracker) restart(endpoint *endpoint) {
	endpoint.latency.forgetMean()
	endpoint.latency.recent, endpoint.latency.recentAt = l.recent, l.now
}

// observeEndpoint takes an answer time, as a part of the objective, into its endpoint's means.
func (l *latencyTracker) observeEndpoint(endpoint *endpoint, fraction float64) {
	latency := &endpoint.latency
	latency.samples++
	forgotten := 1 - math.Exp((latency.recentAt-l.now)/recentMemoryMs)
	latency.mean = ewma(latency.mean, fraction, max(endpointSmoothing, 1/float64(latency.samples), forgotten))
	l.observeRecent(endpoint, fraction)
}

// observeRecent takes an answer time, as a part of the objective, into the recent latencies.
func (l *latencyTracker) observeRecent(endpoint *endpoint, fraction float64) {
	latency := &endpoint.latency
	if l.recent == 0 {
		latency.recent = fraction
	}
	recent := l.recentOf(endpoint)
	latency.recent, latency.recentAt = recent+recentStep*(fraction-recent), l.now
	l.recent = ewma(l.recent, fraction, recentFleetStep)
}

// recentOf returns an endpoint's recent answer time as a part of the objective, as far as this agent
// can tell: what it saw, forgotten in favour of the fleet's over recentMemoryMs, and what it is
// waiting for.
func (l *latencyTracker) recentOf(endpoint *endpoint) float64 {
	latency := &endpoint.latency
	recent := l.recent + (latency.recent-l.recent)*math.Exp((latency.recentAt-l.now)/recentMemoryMs)
	if len(endpoint.traffic.inFlight) > 0 {
		oldest := endpoint.traffic.inFlight[0]
		recent = max(recent, l.objectiveFraction(oldest.request, l.now-oldest.sentAt))
	}
	return recent
}

// crowdedThreshold returns the mean answer time, as a part of the objective, from which an endpoint
// counts as crowded. A few agents see most of the load and need not fear to crowd an endpoint that
// answers well within the objective. One that is warming up is slow before it is crowded.
func (l *latencyTracker) crowdedThreshold(endpoint *endpoint) float64 {
	least := 2 * crowdedFraction / (2 + float64(l.settings.Replicas))
	return min(crowdedFraction, max(crowdedFactor*l.uncontended, least)) / l.capacityFraction(endpoint)
}

// adjustWindow lets an endpoint's window follow its mean answer time after an answer.
func (l *latencyTracker) adjustWindow(endpoint *endpoint, rttMs float64) {
	threshold, mean, window := l.crowdedThreshold(endpoint), endpoint.latency.mean, &endpoint.window
	switch {
	case mean > threshold && l.now-window.cutAt > rttMs:
		least := 1.0
		if mean > overloadFactor*threshold {
			least = minWindow
		}
		window.cut(l.now, windowCut, least)
	case mean < threshold && float64(len(endpoint.traffic.inFlight)+2) > window.size &&
		l.answers > uncontendedSamples:
		window.grow()
	}
}

// hintRegression is the straight line of answer time over hinted work: the network's share does
// not grow with the work.
type hintRegression struct {
	mean         float64 // hint of all hinted requests
	answers      float64 // answers to hinted requests, and their means and spread:
	answeredMean float64
	meanTimeMs   float64
	variance     float64
	covariance   float64
}

// note takes the hint of a request that came.
func (h *hintRegression) note(hint float64) { h.mean = ewma(h.mean, hint, fleetSmoothing) }

// learn takes the answer time of a request.
func (h *hintRegression) learn(request *request, rttMs float64) {
	if request.workHintMs <= 0 {
		return
	}
	h.answers++
	weight := max(fleetSmoothing, 1/h.answers)
	hintDelta, timeDelta := request.workHintMs-h.answeredMean, rttMs-h.meanTimeMs
	h.answeredMean += weight * hintDelta
	h.meanTimeMs += weight * timeDelta
	h.variance += weight * (hintDelta*hintDelta*(1-weight) - h.variance)
	h.covariance += weight * (hintDelta*timeDelta*(1-weight) - h.covariance)
}

// expectedMs returns the answer time of the request by the line; 0 while little is known.
func (h *hintRegression) expectedMs(request *request) float64 {
	if request.workHintMs <= 0 || h.answers < minHintAnswers || h.variance <= 0 {
		return 0
	}
	return max(h.meanTimeMs+h.covariance/h.variance*(request.workHintMs-h.answeredMean), 0)
}

// cost returns the work of a request in units of the mean one, and never less: hints are rough, and
// an endpoint that is warming up would be sent the small ones that are not.
func (h *hintRegression) cost(request *request) float64 {
	if request.workHintMs > h.mean {
		return request.workHintMs / h.mean
	}
	return 1
}
