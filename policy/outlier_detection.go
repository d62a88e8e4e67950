// This file implements the transitions between the states of an endpoint: ejection, validation and
// health checks.

package policy

import (
	"slices"
)

const (
	// outcomeSmoothing is the smoothing factor of two moving averages over attempts: the failure
	// rate of an endpoint and the share of unanswered attempts.
	outcomeSmoothing = 0.05
	// minCommonFailureRate is the smallest median failure rate, as a share of attempts, at which
	// failures are attributed to the fleet and not to a single endpoint.
	minCommonFailureRate = 0.01
	// maxCommonFailureFactor multiplies the median in that case. An endpoint whose failure rate is
	// above the product is an outlier.
	maxCommonFailureFactor = 3
	// minMedianEndpoints is the number of usable endpoints from which on the median failure rate is
	// used: with one or two it says nothing.
	minMedianEndpoints = 3
	// maxUnansweredShare is the share of unanswered attempts, see recordUnanswered, from which on the
	// cause is attributed to the fleet and not to a single endpoint.
	maxUnansweredShare = 0.5
	// maxHealthChecks bounds the number of concurrent health checks.
	maxHealthChecks = 2
	// maxEjectionCount bounds the ejection count, and so how often the ejection time doubles.
	// maxEjectionMs bounds the ejection time, in ms.
	maxEjectionCount, maxEjectionMs = 5, 60000.0
	// servedPerEjection multiplies the ejection count. When an endpoint has served that many requests,
	// its ejection count is reduced by one.
	servedPerEjection = 16
	// rejectedWindowFactor multiplies the window of an endpoint that rejected an attempt.
	rejectedWindowFactor = 0.7
)

// listFetcher fetches the endpoint list at a limited rate. The detector fetches it after failures,
// because an endpoint that seems to fail may have been removed.
type listFetcher interface {
	fetch()
}

// outlierDetector ejects endpoints that fail and validates them later. It distinguishes failures of a
// single endpoint from failures that all endpoints have in common.
type outlierDetector struct {
	*environment
	endpoints *endpointSet
	subset    *endpointSubset
	classes   *classStats
	list      listFetcher

	failureRates    []float64 // scratch space of medianFailureRate
	unansweredShare float64   // moving average of the share of unanswered attempts, see recordUnanswered
	checks          int       // health checks in progress
}

// newOutlierDetector returns a detector that has seen no failures and uses the given components.
func newOutlierDetector(env *environment, endpoints *endpointSet, subset *endpointSubset,
	classes *classStats, list listFetcher) outlierDetector {
	return outlierDetector{environment: env, endpoints: endpoints, subset: subset, classes: classes,
		list: list}
}

// restart resets the state of an endpoint whose process has restarted, to unknown.
func (d *outlierDetector) restart(endpoint *endpoint) {
	d.endpoints.setEjected(endpoint, false)
	health := &endpoint.health
	health.state, health.since, health.silent = StateUnknown, d.now, false
	health.ejectionCount, health.served, health.failureRate = 0, 0, 0
}

// onError handles an error response of an endpoint, or a connection that broke.
func (d *outlierDetector) onError(endpoint *endpoint) {
	endpoint.traffic.recordResponse(d.now)
	if d.isCommonFailure(endpoint) {
		d.markPending(endpoint)
	} else {
		d.eject(endpoint, false)
	}
	endpoint.health.recordFailure()
}

// onConnectFailed handles a failed connect.
func (d *outlierDetector) onConnectFailed(endpoint *endpoint) {
	d.eject(endpoint, true)
	if endpoint.health.unreachableSince == 0 {
		endpoint.health.unreachableSince = d.now
	}
}

// onAlive records that an endpoint has served a request or passed a health check. It reports whether
// connects had failed for so long that the endpoint may be a new process.
func (d *outlierDetector) onAlive(endpoint *endpoint) (mayHaveRestarted bool) {
	unreachableSince := endpoint.health.unreachableSince
	endpoint.traffic.recordResponse(d.now)
	endpoint.health.unreachableSince = 0
	return unreachableSince > 0 && d.now-unreachableSince > d.settings.Contract.OverloadWindowMs
}

// onServed handles a request that an endpoint has served. The endpoint becomes healthy, and the
// ejection count is reduced by one after enough served requests. onServed ignores an attempt that was
// sent before the endpoint failed, because it says nothing about the time since, and reports false.
func (d *outlierDetector) onServed(attempt *attempt) bool {
	endpoint, health := attempt.endpoint, &attempt.endpoint.health
	if health.state == StateUnhealthy && attempt.sentAt < health.since && !health.silent {
		return false
	}
	if health.state != StateConnected {
		d.setState(endpoint, StateConnected)
	}
	if health.silent {
		health.silent = false
		health.decrementEjections()
	}
	if health.served++; health.served >= servedPerEjection*health.ejectionCount {
		health.served = 0
		health.decrementEjections()
	}
	return true
}

// isCommonFailure reports whether the endpoint fails no more often than the fleet does, for example
// because a network breaks connections at random. Such failures say nothing about the one endpoint,
// and an ejection for each of them would eject all endpoints at once.
func (d *outlierDetector) isCommonFailure(endpoint *endpoint) bool {
	median := d.medianFailureRate()
	return median >= minCommonFailureRate && endpoint.health.failureRate <= maxCommonFailureFactor*median
}

// medianFailureRate returns the median of the usable endpoints' failure rates, or 0 if there are fewer
// than minMedianEndpoints.
func (d *outlierDetector) medianFailureRate() float64 {
	rates := d.failureRates[:0]
	d.countWork(d.endpoints.all)
	for _, endpoint := range d.endpoints.all {
		if endpoint.usable {
			rates = append(rates, endpoint.health.failureRate)
		}
	}
	d.failureRates = rates
	if len(rates) < minMedianEndpoints {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// recordUnanswered updates the share of unanswered attempts. An attempt is unanswered if it got no
// answer by its latency objective and its endpoint has not responded since the attempt was sent.
// hadTime says whether the attempt had time for an answer.
func (d *outlierDetector) recordUnanswered(attempt *attempt, status Status, hadTime bool) {
	unanswered := 0.0
	if status == StatusTimeout || status == StatusCancelled {
		if d.now < attempt.request.timing.objectiveAt || !hadTime {
			return // it ended before the objective, or before an answer could come, which says nothing
		}
		if !attempt.endpoint.traffic.respondedSince(attempt) {
			unanswered = 1
		}
	}
	d.unansweredShare += outcomeSmoothing * (unanswered - d.unansweredShare)
}

// mostUnanswered reports whether so many attempts are unanswered that no single endpoint is the cause.
func (d *outlierDetector) mostUnanswered() bool { return d.unansweredShare >= maxUnansweredShare }

// markPending makes an endpoint wait for its validation at once, without an ejection. It doesn't
// change the state of an endpoint that is ejected.
func (d *outlierDetector) markPending(endpoint *endpoint) {
	if endpoint.health.state != StateUnhealthy {
		d.setState(endpoint, StateUnhealthy)
		endpoint.health.silent, endpoint.health.served = false, 0
		d.setState(endpoint, StateUnhealthyPending)
	}
	d.list.fetch()
}

// eject marks an endpoint as unhealthy. silent means that it gave no answer, as opposed to an error
// response. Further failures of an endpoint that is already unhealthy don't count as ejections.
func (d *outlierDetector) eject(endpoint *endpoint, silent bool) {
	health := &endpoint.health
	if health.state != StateUnhealthy {
		health.ejectionCount = min(health.ejectionCount+1, maxEjectionCount)
		d.setState(endpoint, StateUnhealthy)
		health.silent, health.served = silent, 0
		endpoint.latency.resetMean()
		endpoint.window.halve()
	}
	d.list.fetch()
}

// revertUnreachable reverts the effects that failed connects have had on an endpoint since the given
// time, an ejection included. It is called when this machine turns out to have lost its network. The
// next attempt validates the endpoint.
func (d *outlierDetector) revertUnreachable(endpoint *endpoint, since float64) {
	health := &endpoint.health
	if health.unreachableSince >= since {
		health.unreachableSince = 0
	}
	if health.state == StateUnhealthy && health.since >= since {
		health.silent = false
		health.decrementEjections()
		d.setState(endpoint, StateUnhealthyPending)
	}
}

// ejectionTime returns the time, in ms, for which an endpoint stays unhealthy before it is validated.
// After a first failure it is the shortest latency objective, or the time in which the agent sends to
// each endpoint of its subset once, if that is longer. It doubles with each further ejection, up to
// maxEjectionMs.
//
// The time in which the agent sends to each endpoint is a lower bound because health checks are
// answered independently of requests: a check can succeed at an endpoint that fails requests, and ends
// the ejection. With a shorter ejection, failing endpoints would keep an even share of the requests
// for as long as they fail.
//
// If scarce is set, the other endpoints have no capacity, and the time is 0: an endpoint that fails
// some requests is better than a rejection of them all. An endpoint that answers nothing is no better,
// and stays ejected.
func (d *outlierDetector) ejectionTime(endpoint *endpoint, scarce bool) float64 {
	if scarce && !endpoint.health.silent {
		return 0
	}
	doublings := max(endpoint.health.ejectionCount-1, 0)
	firstMs := max(d.classes.shortestObjectiveMs, d.subset.revisitIntervalMs())
	return min(firstMs*float64(int(1)<<doublings), maxEjectionMs)
}

// revalidate is called on each request. Endpoints whose ejection time is over enter
// StateUnhealthyPending, and their health is checked in the background if the settings allow it.
// scarce means that requests that may be sent to any endpoint find no capacity.
func (d *outlierDetector) revalidate(scarce bool) {
	d.countWork(d.endpoints.ejected)
	for _, endpoint := range d.endpoints.ejected {
		health := &endpoint.health
		if health.state == StateUnhealthy && endpoint.usable && len(endpoint.traffic.inFlight) == 0 &&
			d.now-health.since >= d.ejectionTime(endpoint, scarce) {
			d.setState(endpoint, StateUnhealthyPending)
			d.list.fetch()
		}
		pending := health.state == StateUnhealthyPending && endpoint.usable
		if pending && d.settings.Limits.HealthChecks && !health.checkInProgress &&
			d.checks < maxHealthChecks {
			health.checkInProgress = true
			d.checks++
			d.emit(CheckHealth(endpoint.id))
		}
	}
}

// onHealthCheckEnded handles the result of a health check. It reports whether the endpoint has passed
// the check and is healthy now.
func (d *outlierDetector) onHealthCheckEnded(endpoint *endpoint, status Status) (answered bool) {
	if !endpoint.health.checkInProgress {
		return false
	}
	endpoint.health.checkInProgress = false
	d.checks--
	switch {
	case endpoint.health.state != StateUnhealthyPending:
	case status == StatusOK:
		d.setState(endpoint, StateConnected)
		return true
	case status != StatusRejected:
		d.eject(endpoint, true)
	}
	return false
}

// setState sets the state of an endpoint, and with it the endpoint's tier.
func (d *outlierDetector) setState(endpoint *endpoint, state State) {
	d.endpoints.setEjected(endpoint, state > StateUnknown)
	endpoint.health.state, endpoint.health.since = state, d.now
}
