// This file holds the adaptive limit on the attempts in flight of one agent.

package policy

import (
	"math"
)

const (
	// attemptsPerEndpoint is how many attempts for each endpoint all agents together may always
	// have in flight: it keeps an endpoint busy and is well under what makes one slower.
	attemptsPerEndpoint = 2.0
	// minAttemptsPerEndpoint is the same while answers are late.
	minAttemptsPerEndpoint = 1.0
	// A good answer adds limitGrowth to an agent's part, over those of a round trip; a late one
	// takes up to limitCut off.
	limitGrowth, limitCut = 0.2, 0.4
	// uncontendedWorkFactor is how many times its work an uncontended answer may take.
	uncontendedWorkFactor = 4.0
)

// concurrencyLimiter bounds the attempts in flight of this agent. What it bounds is the queue in
// front of the endpoints, whatever the number of agents and however late they learn. It follows
// answer times, not failures: a limit that closes on failures and opens when they are forgotten
// does so at all agents at once, and the fleet swings between idle and overload.
type concurrencyLimiter struct {
	*environment
	endpoints *endpointSet
	slowStart *slowStart
	traffic   *requestRate
	latency   *latencyTracker
	classes   *classStats

	scale         float64 // the limit in multiples of floor
	inFlight      int
	stalled       int // of these, at endpoints that fell silent
	abandoned     abandonedAttempts
	meanRTTMs     float64 // mean answer time
	lastAttemptAt float64 // ms
}

// newConcurrencyLimiter returns a limiter at its floor that asks the components given.
func newConcurrencyLimiter(env *environment, endpoints *endpointSet, slowStart *slowStart,
	traffic *requestRate, latency *latencyTracker, classes *classStats) concurrencyLimiter {
	return concurrencyLimiter{environment: env, endpoints: endpoints, slowStart: slowStart,
		traffic: traffic, latency: latency, classes: classes, scale: 1}
}

// attemptSent notes an attempt that is sent now.
func (l *concurrencyLimiter) attemptSent() {
	l.lastAttemptAt = l.now
	l.inFlight++
}

// attemptEnded notes that an attempt is no longer in flight.
func (l *concurrencyLimiter) attemptEnded(attempt *attempt) {
	l.inFlight--
	if attempt.stalled {
		l.stalled--
	}
}

// releaseStalled lets go of an attempt at an endpoint that fell silent under it.
func (l *concurrencyLimiter) releaseStalled(attempt *attempt) {
	if !attempt.stalled {
		attempt.stalled = true
		l.stalled++
	}
}

// restoreStalled bounds the stalled attempts again of an endpoint that has answered.
func (l *concurrencyLimiter) restoreStalled(endpoint *endpoint) {
	for _, attempt := range endpoint.traffic.inFlight {
		if attempt.stalled {
			attempt.stalled = false
			l.stalled--
		}
	}
}

// limit returns how many attempts may be in flight. A limit under 1 is kept by pausing.
func (l *concurrencyLimiter) limit() float64 { return l.floor() * l.scale }

// allows reports whether another attempt may be sent now.
func (l *concurrencyLimiter) allows() bool {
	inFlight := float64(l.inFlight - l.stalled + len(l.abandoned.all))
	limit := l.limit()
	return inFlight < max(limit, 1) && (limit >= 1 || l.now-l.lastAttemptAt >= l.meanRTTMs/limit)
}

// floor returns the agent's part of attemptsPerEndpoint attempts an endpoint; the limit is scale times
// that, and less only while answers are late. Its part is that of the traffic that the settings
// foresee for all agents, an even one where they foresee none. One in flight at a time does no
// harm as long as all agents may have one.
func (l *concurrencyLimiter) floor() float64 {
	all := attemptsPerEndpoint * l.slowStart.fleetCapacity()
	even := all / float64(max(l.settings.Replicas, 1))
	foreseen := foreseenPerMs(l.settings.Tenants)
	if foreseen == 0 {
		return max(even, all*l.traffic.perMs()/l.feasiblePerMs(math.Inf(1)))
	}
	return max(all*l.traffic.perMs()/l.feasiblePerMs(foreseen), min(even, 1))
}

// feasiblePerMs bounds what the settings foresee of all agents, in requests a ms, by what the
// listed endpoints could possibly answer: in a fleet of many services the settings tell of all
// of them, the list names one service's endpoints. An uncontended answer may still have waited
// for others: it takes uncontendedWorkFactor times its work at three quarters of what an endpoint
// can do. So settings that tell of the listed endpoints are left alone, and what an agent may
// always have in flight is under what its own calls take while nothing is crowded (Little's law).
func (l *concurrencyLimiter) feasiblePerMs(foreseen float64) float64 {
	workMs := l.latency.uncontended * l.classes.meanObjectiveMs / uncontendedWorkFactor
	if workMs <= 0 || l.endpoints.ready == 0 {
		return foreseen // nothing was measured yet, or nobody can answer
	}
	return min(foreseen, attemptsPerEndpoint*l.slowStart.fleetCapacity()/workMs)
}

// grow raises the limit after a good answer. Below one attempt it doubles (slow start), above it
// grows by a part of one attempt at least. In a fleet of many services the settings tell of all of
// them and the list names one service's endpoints: an agent's part is then a hundredth of an
// attempt, and a limit that grew by parts of that would reject most calls of a healthy service.
// Answers that are late take it back to its floor.
func (l *concurrencyLimiter) grow(limit float64) {
	floor := l.floor()
	switch {
	case floor <= 0:
	case limit < 1:
		l.scale = min(2*limit, 1) / floor
	default:
		one := max(floor, 1)
		l.scale += limitGrowth * one * one / (limit * limit * floor)
	}
}

// adapt lets the limit follow how attempts end: up while answers take little of their objective,
// down the more the later one is, or if it is rejected or its client disconnects. Errors and broken
// connections tell nothing of queues. It reports whether the answer came in good time.
func (l *concurrencyLimiter) adapt(attempt *attempt, status Status, rttMs float64) (inTime bool) {
	limit := l.limit()
	lateness := min(max(rttMs/attempt.request.class.LatencyObjectiveMs-crowdedFraction, 0), 1)
	if status == StatusRejected {
		lateness = 1
	}
	if status == StatusOK {
		l.meanRTTMs = ewma(l.meanRTTMs, rttMs, endpointSmoothing)
	}
	switch {
	case lateness > 0 && tellsOfQueues(attempt, status):
		l.scale = max(l.scale*(1-limitCut*lateness), minAttemptsPerEndpoint/attemptsPerEndpoint)
	case status == StatusOK:
		if float64(2*(l.inFlight+1)) >= limit {
			l.grow(limit)
		}
		return true
	}
	return false
}

// tellsOfQueues reports whether a late end of an attempt is a sign of queues at its endpoint.
func tellsOfQueues(attempt *attempt, status Status) bool {
	switch status {
	case StatusOK, StatusRejected:
		return true
	case StatusCancelled:
		return !attempt.cancelled
	case StatusTimeout:
		return !attempt.endpoint.health.silent
	}
	return false
}

// rebase keeps the limit where the list has changed the floor from what it was: a limit that has
// grown far above a part of one attempt does not grow with that part.
func (l *concurrencyLimiter) rebase(oldFloor, oldLimit float64) {
	if floor := l.floor(); oldFloor < 1 && floor > oldFloor {
		l.scale = max(oldLimit/floor, min(l.scale, 1))
	}
}
