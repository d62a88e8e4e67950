// This file holds the states of an endpoint: ejection, validation and health checks.

package policy

import (
	"slices"
)

const (
	// outcomeWeight is the weight of an attempt in its endpoint's failure rate and in the share of
	// unanswered attempts.
	outcomeWeight = 0.05
	// minCommonFailureRate is the least median failure rate with which failures are the fleet's,
	// not an endpoint's.
	minCommonFailureRate = 0.01
	// maxCommonFailureFactor is how many times the median an endpoint's failure rate may be then.
	maxCommonFailureFactor = 3
	// maxUnansweredShare is the share of attempts that went unanswered up to their objective from
	// which on that is the fleet's, not an endpoint's.
	maxUnansweredShare = 0.5
	// maxHealthChecks bounds the health checks under way at once.
	maxHealthChecks = 2
	// maxConsecutiveEjections bounds the doubling of the ejection time, maxEjectionMs that time.
	maxConsecutiveEjections, maxEjectionMs = 5, 60000.0
	// servedPerEjection is how many served requests take back an ejection, for each that counts.
	servedPerEjection = 16
	// rejectedWindowCut is what an endpoint that rejected an attempt keeps of its window.
	rejectedWindowCut = 0.7
)

// listFetcher fetches the endpoint list, seldom: what seems to be an endpoint's failure may be its end.
type listFetcher interface {
	fetch()
}

// outlierDetector moves endpoints between the states, and tells failures of one endpoint from
// those of all.
type outlierDetector struct {
	*environment
	endpoints *endpointSet
	subset    *endpointSubset
	classes   *classStats
	list      listFetcher

	failureRates []float64 // scratch space of medianFailureRate
	unanswered   float64   // recent share of attempts that their endpoints did not answer
	checking     int       // health checks under way
}

// newOutlierDetector returns a detector without any failure that asks the components given.
func newOutlierDetector(env *environment, endpoints *endpointSet, subset *endpointSubset,
	classes *classStats, list listFetcher) outlierDetector {
	return outlierDetector{environment: env, endpoints: endpoints, subset: subset, classes: classes,
		list: list}
}

// restart takes an endpoint for a new process, of which nothing is known.
func (d *outlierDetector) restart(endpoint *endpoint) {
	d.endpoints.setEjected(endpoint, false)
	health := &endpoint.health
	health.state, health.since, health.silent = StateUnknown, d.now, false
	health.consecutiveEjections, health.served, health.failureRate = 0, 0, 0
}

// onError takes an endpoint's answer of failure, or a connection that it broke.
func (d *outlierDetector) onError(endpoint *endpoint) {
	endpoint.traffic.heard(d.now)
	if d.isCommonFailure(endpoint) {
		d.recheck(endpoint)
	} else {
		d.eject(endpoint, false)
	}
	endpoint.health.countFailed()
}

// onConnectFailed takes a connect that failed.
func (d *outlierDetector) onConnectFailed(endpoint *endpoint) {
	d.eject(endpoint, true)
	if endpoint.health.unreachableAt == 0 {
		endpoint.health.unreachableAt = d.now
	}
}

// onAnswer notes that an endpoint lives, and reports whether no connect had reached it for so long
// that it may be a new process.
func (d *outlierDetector) onAnswer(endpoint *endpoint) (mayBeNew bool) {
	unreachableAt := endpoint.health.unreachableAt
	endpoint.traffic.heard(d.now)
	endpoint.health.unreachableAt = 0
	return unreachableAt > 0 && d.now-unreachableAt > d.settings.Contract.OverloadWindowMs
}

// onServed takes a request that an endpoint has served: it is healthy, and after enough of them
// an ejection is taken back. It reports false for an attempt that was sent before the endpoint
// failed: that says nothing about what came after.
func (d *outlierDetector) onServed(attempt *attempt) bool {
	endpoint, health := attempt.endpoint, &attempt.endpoint.health
	if health.state == StateUnhealthy && attempt.sentAt < health.since && !health.silent {
		return false
	}
	if health.state != StateConnected {
		d.enter(endpoint, StateConnected)
	}
	if health.silent {
		health.silent = false
		health.takeBackEjection()
	}
	if health.served++; health.served >= servedPerEjection*health.consecutiveEjections {
		health.served = 0
		health.takeBackEjection()
	}
	return true
}

// isCommonFailure reports whether the endpoint fails no more than the fleet does, as when a network
// breaks connections at random: that says nothing of this one endpoint, and an ejection for each
// such failure would eject all at once.
func (d *outlierDetector) isCommonFailure(endpoint *endpoint) bool {
	median := d.medianFailureRate()
	return median >= minCommonFailureRate && endpoint.health.failureRate <= maxCommonFailureFactor*median
}

// medianFailureRate returns the middle one of the usable endpoints' failure rates; of one or two
// endpoints it tells nothing.
func (d *outlierDetector) medianFailureRate() float64 {
	rates := d.failureRates[:0]
	d.countWork(d.endpoints.all)
	for _, endpoint := range d.endpoints.all {
		if endpoint.usable {
			rates = append(rates, endpoint.health.failureRate)
		}
	}
	d.failureRates = rates
	if len(rates) < 3 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// countUnanswered keeps the share of attempts that went unanswered up to their objective, at
// endpoints that answered no later ones either.
func (d *outlierDetector) countUnanswered(attempt *attempt, status Status) {
	unanswered := 0.0
	if status == StatusTimeout || status == StatusCancelled {
		if d.now < attempt.request.timing.objectiveAt {
			return // its client disconnected early: that tells nothing
		}
		if !attempt.endpoint.traffic.heardSince(attempt) {
			unanswered = 1
		}
	}
	d.unanswered += outcomeWeight * (unanswered - d.unanswered)
}

// mostUnanswered reports whether so many attempts go unanswered that it is not an endpoint's fault.
func (d *outlierDetector) mostUnanswered() bool { return d.unanswered >= maxUnansweredShare }

// recheck has an endpoint validated at once, without an ejection.
func (d *outlierDetector) recheck(endpoint *endpoint) {
	if endpoint.health.state != StateUnhealthy {
		d.enter(endpoint, StateUnhealthy)
		endpoint.health.silent, endpoint.health.served = false, 0
		d.enter(endpoint, StateUnhealthyPending)
	}
	d.list.fetch()
}

// eject takes an endpoint for unhealthy; silent says that it gave no answer, not a bad one.
// Failures of one moment count as one ejection.
func (d *outlierDetector) eject(endpoint *endpoint, silent bool) {
	health := &endpoint.health
	if health.state != StateUnhealthy {
		health.consecutiveEjections = min(health.consecutiveEjections+1, maxConsecutiveEjections)
		d.enter(endpoint, StateUnhealthy)
		health.silent, health.served = silent, 0
		endpoint.latency.forgetMean()
		endpoint.window.halve()
	}
	d.list.fetch()
}

// clear takes back what an endpoint was blamed for since then, as this machine had lost its
// network. The next attempt validates it.
func (d *outlierDetector) clear(endpoint *endpoint, since float64) {
	health := &endpoint.health
	if health.unreachableAt >= since {
		health.unreachableAt = 0
	}
	if health.state == StateUnhealthy && health.since >= since {
		health.silent = false
		health.takeBackEjection()
		d.enter(endpoint, StateUnhealthyPending)
	}
}

// ejectionTime returns how long, in ms, an endpoint stays unhealthy before it is validated again: one
// latency objective for a stray failure, or the time in which the agent comes by each endpoint if
// that is longer, doubled with each further ejection up to a minute. A health check is answered
// beside the requests and clears an endpoint that fails them: ejected for less than an agent takes
// to come by, failing endpoints would keep an even share for as long as they fail. While the others
// have no capacity, which scarce says, none is ejected: an endpoint that fails some requests is
// better than rejecting them all. One that answers nothing is not.
func (d *outlierDetector) ejectionTime(endpoint *endpoint, scarce bool) float64 {
	if scarce && !endpoint.health.silent {
		return 0
	}
	doublings := max(endpoint.health.consecutiveEjections-1, 0)
	once := max(d.classes.shortestObjectiveMs, d.subset.revisitIntervalMs())
	return min(once*float64(int(1)<<doublings), maxEjectionMs)
}

// revalidate, on each request, lets endpoints that were unhealthy long enough be validated, and
// checks their health in the background where the settings allow it. scarce says that requests that
// would go to any endpoint find no capacity.
func (d *outlierDetector) revalidate(scarce bool) {
	d.countWork(d.endpoints.ejected)
	for _, endpoint := range d.endpoints.ejected {
		health := &endpoint.health
		if health.state == StateUnhealthy && endpoint.usable && len(endpoint.traffic.inFlight) == 0 &&
			d.now-health.since >= d.ejectionTime(endpoint, scarce) {
			d.enter(endpoint, StateUnhealthyPending)
			d.list.fetch()
		}
		pending := health.state == StateUnhealthyPending && endpoint.usable
		if pending && d.settings.Limits.HealthChecks && !health.checking && d.checking < maxHealthChecks {
			health.checking = true
			d.checking++
			d.emit(CheckHealth(endpoint.id))
		}
	}
}

// onHealthCheckEnded takes the result of a health check, and reports whether the endpoint has answered
// it and is healthy by that.
func (d *outlierDetector) onHealthCheckEnded(endpoint *endpoint, status Status) (answered bool) {
	if !endpoint.health.checking {
		return false
	}
	endpoint.health.checking = false
	d.checking--
	switch {
	case endpoint.health.state != StateUnhealthyPending:
	case status == StatusOK:
		d.enter(endpoint, StateConnected)
		return true
	case status != StatusRejected:
		d.eject(endpoint, true)
	}
	return false
}

// enter puts an endpoint in a new state; tiers have changed.
func (d *outlierDetector) enter(endpoint *endpoint, state State) {
	d.endpoints.setEjected(endpoint, state > StateUnknown)
	endpoint.health.state, endpoint.health.since = state, d.now
}
