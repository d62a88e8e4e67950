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

// outlierDetector moves endpoints between the states, and tells failures of one endpoint from
// those of all.
type outlierDetector struct {
	*environment
	endpoints *endpointSet
	queue     *admissionQueue
	selector  *selector
	slowStart *slowStart
	limiter   *concurrencyLimiter
	classes   *classStats
	traffic   *requestRate
	watch     *watchScheduler

	failureRates []float64 // scratch space of medianFailureRate
	unanswered   float64   // recent share of attempts that their endpoints left unanswered
	checking     int       // health checks under way
}

// onError takes an endpoint's answer of failure, or a connection that it broke.
func (d *outlierDetector) onError(endpoint *endpoint) {
	endpoint.traffic.heardAt = d.now
	if d.isCommonFailure(endpoint) {
		d.recheck(endpoint)
	} else {
		d.eject(endpoint, false)
	}
	endpoint.health.failureRate += outcomeWeight * (1 - endpoint.health.failureRate)
}

// onConnectFailed takes a connect that failed.
func (d *outlierDetector) onConnectFailed(endpoint *endpoint) {
	d.eject(endpoint, true)
	if endpoint.health.unreachableAt == 0 {
		endpoint.health.unreachableAt = d.now
	}
}

// onAnswer notes that an endpoint lives. One that no connect reached for long may be a new
// process, warming up and not yet listed: it is taken to have started now. Time-outs alone don't
// tell: crowded endpoints would be left to idle.
func (d *outlierDetector) onAnswer(endpoint *endpoint) {
	unreachableAt := endpoint.health.unreachableAt
	if unreachableAt > 0 && d.now-unreachableAt > d.set.Contract.OverloadWindowMs {
		endpoint.slowStart.startedAt, endpoint.slowStart.allowance = d.now, d.rng.Float64()
		endpoint.window.size = 1
		d.slowStart.begin(endpoint)
	}
	endpoint.traffic.heardAt, endpoint.health.unreachableAt = d.now, 0
	for _, attempt := range endpoint.traffic.inFlight {
		if attempt.stalled {
			attempt.stalled = false
			d.limiter.stalled--
		}
	}
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

// takeBackEjection counts one ejection less.
func (h *endpointHealth) takeBackEjection() {
	h.consecutiveEjections = max(h.consecutiveEjections-1, 0)
}

// isCommonFailure tells whether the endpoint fails no more than the fleet does, as when a network
// breaks connections at random: that says nothing of this one endpoint, and an ejection for each
// such failure would eject all at once.
func (d *outlierDetector) isCommonFailure(endpoint *endpoint) bool {
	median := d.medianFailureRate()
	return median >= minCommonFailureRate && endpoint.health.failureRate <= maxCommonFailureFactor*median
}

// medianFailureRate is the middle one of the usable endpoints' failure rates; of one or two
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
			return // its client left early: that tells nothing
		}
		if attempt.endpoint.traffic.heardAt <= attempt.sentAt {
			unanswered = 1
		}
	}
	d.unanswered += outcomeWeight * (unanswered - d.unanswered)
}

// mostUnanswered tells whether so many attempts go unanswered that it is not an endpoint's fault.
func (d *outlierDetector) mostUnanswered() bool { return d.unanswered >= maxUnansweredShare }

// recheck has an endpoint validated at once, without an ejection.
func (d *outlierDetector) recheck(endpoint *endpoint) {
	if endpoint.health.state != StateUnhealthy {
		d.enter(endpoint, StateUnhealthy)
		endpoint.health.silent, endpoint.health.served = false, 0
		d.enter(endpoint, StateUnhealthyPending)
	}
	d.watch.fetch()
}

// eject takes an endpoint for unhealthy; silent tells that it gave no answer, not a bad one.
// Failures of one moment count as one ejection.
func (d *outlierDetector) eject(endpoint *endpoint, silent bool) {
	health := &endpoint.health
	if health.state != StateUnhealthy {
		health.consecutiveEjections = min(health.consecutiveEjections+1, maxConsecutiveEjections)
		d.enter(endpoint, StateUnhealthy)
		health.silent, health.served = silent, 0
		endpoint.latency.mean, endpoint.latency.samples = 0, 0
		endpoint.window.size = max(endpoint.window.size/2, 1)
	}
	d.watch.fetch()
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

// ejectionTime is how long, in ms, an endpoint stays unhealthy before it is validated again: one
// latency objective for a stray failure, or the time in which the agent comes by each endpoint if
// that is longer, doubled with each further ejection up to a minute. A health check is answered
// beside the requests and clears an endpoint that fails them: ejected for less than an agent takes
// to come by, failing endpoints would keep an even share for as long as they fail. While the
// others have no capacity none is ejected: an endpoint that fails some requests is better than
// rejecting them all. One that answers nothing is not.
func (d *outlierDetector) ejectionTime(endpoint *endpoint) float64 {
	if d.queue.scarce && !endpoint.health.silent {
		return 0
	}
	meetMs := d.set.Limits.KeepaliveMs * float64(d.selector.subset()) / max(d.traffic.recent, 1)
	doublings := max(endpoint.health.consecutiveEjections-1, 0)
	return min(max(d.classes.shortestObjectiveMs, meetMs)*float64(int(1)<<doublings), maxEjectionMs)
}

// revalidate, on each request, lets endpoints that were unhealthy long enough be validated, and
// checks their health in the background where the settings allow it.
func (d *outlierDetector) revalidate() {
	d.countWork(d.endpoints.ejected)
	for _, endpoint := range d.endpoints.ejected {
		health := &endpoint.health
		if health.state == StateUnhealthy && endpoint.usable && len(endpoint.traffic.inFlight) == 0 &&
			d.now-health.since >= d.ejectionTime(endpoint) {
			d.enter(endpoint, StateUnhealthyPending)
			d.watch.fetch()
		}
		pending := health.state == StateUnhealthyPending && endpoint.usable
		if pending && d.set.Limits.HealthChecks && !health.checking && d.checking < maxHealthChecks {
			health.checking = true
			d.checking++
			d.do(CheckHealth(endpoint.id))
		}
	}
}

// onHealthCheckEnded takes the result of a health check.
func (d *outlierDetector) onHealthCheckEnded(event *HealthCheckEnded) {
	endpoint := d.endpoints.byAddr[event.Server]
	if endpoint == nil || !endpoint.health.checking {
		return
	}
	endpoint.health.checking = false
	d.checking--
	switch {
	case endpoint.health.state != StateUnhealthyPending:
	case event.Status == StatusOK:
		d.onAnswer(endpoint)
		d.enter(endpoint, StateConnected)
	case event.Status != StatusRejected:
		d.eject(endpoint, true)
	}
}

// enter puts an endpoint in a new state; tiers have changed.
func (d *outlierDetector) enter(endpoint *endpoint, state State) {
	if endpoint.health.state > StateUnknown || state > StateUnknown {
		d.endpoints.epoch++
	}
	if state > StateUnknown {
		d.endpoints.ejected.insert(endpoint)
	} else {
		d.endpoints.ejected.remove(endpoint)
	}
	endpoint.health.state, endpoint.health.since = state, d.now
}
