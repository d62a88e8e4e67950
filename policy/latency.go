// This file holds the estimates from answer times, how they decay, and the endpoints' windows.

package policy

import (
	"math"
)

const (
	// congestedFraction is the fraction of the latency objective above which an answer time always
	// indicates congestion.
	congestedFraction = 0.5
	// congestedFactor multiplies the fleet's uncontended answer time: an endpoint is congested when
	// its mean answer time is above the product, see congestionThreshold.
	congestedFactor = 1.5
	// initialWindow is the number of attempts that an endpoint without any answer may have in
	// flight.
	initialWindow = 2.0
	// minUncontendedSamples is the number of answers that make the first estimate of the uncontended
	// answer time. Until then no window grows, so that a starting agent does not congest the
	// endpoints that it measures.
	minUncontendedSamples = 50
	// minWindow is the smallest window, in attempts. It is above 0 so that answers still come and
	// show when the congestion ends. A window falls below one attempt only at an overloaded
	// endpoint: one whose mean answer time is above overloadFactor times the congestion threshold.
	minWindow, overloadFactor = 0.1, 2.5
	// windowDecreaseFactor multiplies the window of a congested endpoint at each decrease.
	windowDecreaseFactor = 0.85
	// endpointSmoothing is the smoothing factor of an endpoint's moving averages, fleetSmoothing
	// that of averages over all endpoints.
	endpointSmoothing, fleetSmoothing = 0.2, 0.005
	// classSmoothing is the smallest smoothing factor of a class's mean answer time.
	classSmoothing = 4 * fleetSmoothing
	// shareDecay is the factor by which a request's weight in a share of the requests decays with
	// each later request. Shares thus cover about the last 500 requests.
	shareDecay = 0.998
	// recentSmoothing and recentFleetSmoothing are the smoothing factors of the recent answer time
	// of an endpoint and of the fleet.
	recentSmoothing, recentFleetSmoothing = 0.5, 0.02
	// recentDecayMs is the time constant with which an endpoint's recent answer time decays towards
	// the fleet's, in ms. An overloaded endpoint recovers within seconds of idle time.
	recentDecayMs = 10000.0
	// maxObjectiveFraction caps an answer time, as a fraction of the latency objective.
	maxObjectiveFraction = 2.0
	// uncontendedRiseDivisor divides fleetSmoothing while the uncontended answer time rises, so that
	// it rises this much more slowly than the fleet's mean.
	uncontendedRiseDivisor = 250
	// aloneRiseDivisor and aloneRiseExponent give a smaller divisor for an attempt that was this
	// agent's only one at its endpoint: aloneRiseDivisor times the number of agents to the power of
	// aloneRiseExponent. The divisor is at most uncontendedRiseDivisor.
	aloneRiseDivisor, aloneRiseExponent = 2, 3
	// halvingReplicas is the number of agents at which the lower bound of the congestion threshold
	// is half of congestedFraction. With fewer agents it is higher, with more it is lower.
	halvingReplicas = 2
	// windowGrowthSlack is the number of attempts by which an endpoint's window must exceed those in
	// flight for it to stop growing. The attempt that was just answered is no longer in flight.
	windowGrowthSlack = 2
	// minHintSamples is the number of answers to hinted requests that are needed before hints are
	// used to predict answer times.
	minHintSamples = 1 / (4 * fleetSmoothing)
)

// latencyTracker holds moving averages of the answer times over all endpoints. All are fractions of
// the latency objective of the request's class.
type latencyTracker struct {
	*environment
	samples     float64 // number of answers so far
	fleetMean   float64 // average over all endpoints
	uncontended float64 // estimate of fleetMean while no endpoint is congested
	fleetRecent float64 // average of the latest answers
	hints       hintRegression
}

// newLatencyTracker returns a tracker without any answer.
func newLatencyTracker(env *environment) latencyTracker { return latencyTracker{environment: env} }

// objectiveFraction returns an answer time as a fraction of the latency objective. The time of a
// request whose hint is above the mean is scaled down to that of a mean request. The time of a
// smaller request is not scaled up, because most of it is spent on the network.
func (l *latencyTracker) objectiveFraction(request *request, rttMs float64) float64 {
	fraction := rttMs / request.class.LatencyObjectiveMs
	if request.workHintMs > 0 {
		fraction *= min(l.hints.meanHint/request.workHintMs, 1)
	}
	return min(fraction, maxObjectiveFraction)
}

// expectedMs returns the expected answer time of the request: the estimate from its hint, but at
// least a quarter of its class's mean, or that mean if there is no such estimate.
func (l *latencyTracker) expectedMs(request *request) float64 {
	expected := request.class.expectedMs(l.now)
	if hinted := l.hints.expectedMs(request); hinted > 0 {
		expected = max(hinted, expected/4)
	}
	return expected
}

// observe updates the fleet's mean and the uncontended answer time with an answer time, as a
// fraction of the latency objective. alone says that no other attempt of this agent was in flight
// at the endpoint.
func (l *latencyTracker) observe(fraction float64, alone bool) {
	l.samples++
	l.fleetMean = ewma(l.fleetMean, fraction, max(fleetSmoothing, 1/l.samples))
	switch {
	case l.samples <= minUncontendedSamples:
		// Neither a single quick answer nor congestion at the start may set the estimate.
		l.uncontended = min(l.fleetMean, congestedFraction/2)
	case l.fleetMean < l.uncontended:
		l.uncontended = ewma(l.uncontended, l.fleetMean, fleetSmoothing)
	default:
		l.uncontended = ewma(l.uncontended, l.fleetMean, l.uncontendedSmoothing(alone))
	}
}

// uncontendedSmoothing returns the smoothing factor with which the uncontended answer time rises. It
// is tiny, or the answer times of a congested fleet would become the estimate. It is larger for an
// attempt that was the only one of this agent at its endpoint, the more so the fewer agents there
// are, because fewer attempts of other agents can have been there. Without this a single agent whose
// first answers happened to be quick would leave its endpoints idle.
func (l *latencyTracker) uncontendedSmoothing(alone bool) float64 {
	if alone {
		return fleetSmoothing /
			min(aloneRiseDivisor*math.Pow(float64(max(l.settings.Replicas, 1)), aloneRiseExponent),
				uncontendedRiseDivisor)
	}
	return fleetSmoothing / uncontendedRiseDivisor
}

// restart discards the answer times of an endpoint's former process. Its recent one becomes that of
// the fleet.
func (l *latencyTracker) restart(endpoint *endpoint) {
	endpoint.latency.resetMean()
	endpoint.latency.recent, endpoint.latency.recentAt = l.fleetRecent, l.now
}

// observeEndpoint updates an endpoint's mean and recent answer times with an answer time, as a
// fraction of the latency objective. The longer ago the last answer, the more the new one weighs.
func (l *latencyTracker) observeEndpoint(endpoint *endpoint, fraction float64) {
	latency := &endpoint.latency
	latency.samples++
	decayed := 1 - math.Exp((latency.recentAt-l.now)/recentDecayMs)
	latency.mean = ewma(latency.mean, fraction, max(endpointSmoothing, 1/float64(latency.samples), decayed))
	l.observeRecent(endpoint, fraction)
}

// observeRecent updates the recent answer times of the endpoint and of the fleet with an answer
// time, as a fraction of the latency objective.
func (l *latencyTracker) observeRecent(endpoint *endpoint, fraction float64) {
	latency := &endpoint.latency
	if l.fleetRecent == 0 {
		latency.recent = fraction
	}
	recent := l.recentOf(endpoint)
	latency.recent, latency.recentAt = recent+recentSmoothing*(fraction-recent), l.now
	l.fleetRecent = ewma(l.fleetRecent, fraction, recentFleetSmoothing)
}

// recentOf returns an endpoint's recent answer time as a fraction of the latency objective. It
// decays towards the fleet's with the time constant recentDecayMs, and is at least the time that the
// oldest attempt in flight has waited so far.
func (l *latencyTracker) recentOf(endpoint *endpoint) float64 {
	latency := &endpoint.latency
	recent := l.fleetRecent + (latency.recent-l.fleetRecent)*math.Exp((latency.recentAt-l.now)/recentDecayMs)
	if len(endpoint.traffic.inFlight) > 0 {
		oldest := endpoint.traffic.inFlight[0]
		recent = max(recent, l.objectiveFraction(oldest.request, l.now-oldest.sentAt))
	}
	return recent
}

// congestionThreshold returns the mean answer time, as a fraction of the latency objective, above
// which an endpoint is congested. The threshold has a lower bound, which is higher if there are few
// agents: each of them sees most of the load, and hardly risks congesting an endpoint that answers
// well within the objective. An endpoint that is warming up has a higher threshold, because it is
// slow before it is congested.
func (l *latencyTracker) congestionThreshold(endpoint *endpoint) float64 {
	minThreshold := halvingReplicas * congestedFraction / (halvingReplicas + float64(l.settings.Replicas))
	return min(congestedFraction, max(congestedFactor*l.uncontended, minThreshold)) /
		l.capacityFraction(endpoint)
}

// adjustWindow adjusts an endpoint's window to its mean answer time after an answer that took
// rttMs. A congested endpoint's window is reduced at most once in that time. Otherwise the window
// grows, if it is almost fully used.
func (l *latencyTracker) adjustWindow(endpoint *endpoint, rttMs float64) {
	threshold, mean, window := l.congestionThreshold(endpoint), endpoint.latency.mean, &endpoint.window
	switch {
	case mean > threshold && l.now-window.decreasedAt > rttMs:
		minSize := 1.0
		if mean > overloadFactor*threshold {
			minSize = minWindow
		}
		window.decrease(l.now, windowDecreaseFactor, minSize)
	case mean < threshold && float64(len(endpoint.traffic.inFlight)+windowGrowthSlack) > window.size &&
		l.samples > minUncontendedSamples:
		window.increase()
	}
}

// hintRegression is a linear regression of the answer time on the hinted work. The line has an
// intercept, because the time spent on the network does not grow with the work.
type hintRegression struct {
	meanHint         float64 // moving average of the hints of requests that arrive
	samples          float64 // number of answers to hinted requests; the fields below cover these
	meanAnsweredHint float64 // moving average of their hints
	meanAnswerMs     float64 // moving average of their answer times
	hintVariance     float64 // moving variance of their hints
	covariance       float64 // moving covariance of hint and answer time
}

// observeHint updates the mean hint with that of a request that has arrived.
func (h *hintRegression) observeHint(hint float64) {
	h.meanHint = ewma(h.meanHint, hint, fleetSmoothing)
}

// observeAnswer updates the regression with the answer time of a request, if that has a hint.
func (h *hintRegression) observeAnswer(request *request, rttMs float64) {
	if request.workHintMs <= 0 {
		return
	}
	h.samples++
	weight := max(fleetSmoothing, 1/h.samples)
	hintDelta, timeDelta := request.workHintMs-h.meanAnsweredHint, rttMs-h.meanAnswerMs
	h.meanAnsweredHint += weight * hintDelta
	h.meanAnswerMs += weight * timeDelta
	h.hintVariance += weight * (hintDelta*hintDelta*(1-weight) - h.hintVariance)
	h.covariance += weight * (hintDelta*timeDelta*(1-weight) - h.covariance)
}

// expectedMs returns the answer time that the regression predicts for the request; 0 if the request
// has no hint or there are too few samples.
func (h *hintRegression) expectedMs(request *request) float64 {
	if request.workHintMs <= 0 || h.samples < minHintSamples || h.hintVariance <= 0 {
		return 0
	}
	return max(h.meanAnswerMs+h.covariance/h.hintVariance*(request.workHintMs-h.meanAnsweredHint), 0)
}

// cost returns the work of a request as a multiple of the mean, at least 1. Hints are inaccurate,
// and with costs below 1 an endpoint that is warming up would be sent the requests whose hints are
// too small.
func (h *hintRegression) cost(request *request) float64 {
	if request.workHintMs > h.meanHint {
		return request.workHintMs / h.meanHint
	}
	return 1
}
