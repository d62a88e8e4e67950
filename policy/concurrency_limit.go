// This file holds the adaptive limit on the attempts in flight of one agent.

package policy

import (
	"math"
)

const (
	// attemptsPerEndpoint is the number of attempts per endpoint that all agents together may
	// always have in flight. It keeps an endpoint busy and is well below the number that slows
	// one down.
	attemptsPerEndpoint = 2.0
	// minAttemptsPerEndpoint is the number of attempts per endpoint that all agents together may
	// have in flight at the least, while answers are late.
	minAttemptsPerEndpoint = 1.0
	// limitIncrease is the additive increase of the limit: while the limit is at its floor, the
	// good answers of one round trip raise it by this fraction of the floor. limitDecrease is the
	// multiplicative decrease: one late answer lowers the limit by up to this fraction.
	limitIncrease, limitDecrease = 0.2, 0.4
	// uncontendedServiceTimeFactor is the highest ratio of an uncontended answer time to the
	// service time: that of an endpoint at three quarters of its capacity.
	uncontendedServiceTimeFactor = 4.0
)

// concurrencyLimiter limits the attempts that this agent has in flight. This bounds the queues in
// front of the endpoints, however many agents there are and however late they notice a change.
// The limit follows answer times, not failures. A limit that fell on failures and rose again some
// time after them would do so at all agents at once, and the fleet would oscillate between idle and
// overload.
type concurrencyLimiter struct {
	*environment
	endpoints   *endpointSet
	slowStart   *slowStart
	requestRate *requestRate
	latency     *latencyTracker
	classes     *classStats

	scale         float64 // limit as a multiple of floor
	inFlight      int     // attempts in flight, stalled ones included
	stalled       int     // attempts in flight at endpoints that stopped answering
	abandoned     abandonedAttempts
	meanRTTMs     float64 // moving average of the answer times
	lastAttemptAt float64 // when the latest attempt was sent, in ms
}

// newConcurrencyLimiter returns a limiter whose limit is at its floor.
func newConcurrencyLimiter(env *environment, endpoints *endpointSet, slowStart *slowStart,
	requestRate *requestRate, latency *latencyTracker, classes *classStats) concurrencyLimiter {
	return concurrencyLimiter{environment: env, endpoints: endpoints, slowStart: slowStart,
		requestRate: requestRate, latency: latency, classes: classes, scale: 1}
}

// attemptSent records an attempt that is sent now.
func (l *concurrencyLimiter) attemptSent() {
	l.lastAttemptAt = l.now
	l.inFlight++
}

// attemptEnded records that an attempt is no longer in flight.
func (l *concurrencyLimiter) attemptEnded(attempt *attempt) {
	l.inFlight--
	if attempt.stalled {
		l.stalled--
	}
}

// markStalled stops counting an attempt against the limit because its endpoint stopped answering.
func (l *concurrencyLimiter) markStalled(attempt *attempt) {
	if !attempt.stalled {
		attempt.stalled = true
		l.stalled++
	}
}

// clearStalled counts the stalled attempts of an endpoint against the limit again, after the
// endpoint has answered.
func (l *concurrencyLimiter) clearStalled(endpoint *endpoint) {
	for _, attempt := range endpoint.traffic.inFlight {
		if attempt.stalled {
			attempt.stalled = false
			l.stalled--
		}
	}
}

// limit returns the number of attempts that may be in flight. A limit below 1 is enforced by a
// pause between attempts, see allows.
func (l *concurrencyLimiter) limit() float64 { return l.floor() * l.scale }

// allows reports whether another attempt may be sent now. Abandoned attempts count as in flight,
// stalled ones don't. With a limit below 1 the attempts are at least meanRTTMs/limit apart.
func (l *concurrencyLimiter) allows() bool {
	inFlight := float64(l.inFlight - l.stalled + len(l.abandoned.all))
	limit := l.limit()
	return inFlight < max(limit, 1) && (limit >= 1 || l.now-l.lastAttemptAt >= l.meanRTTMs/limit)
}

// floor returns this agent's part of attemptsPerEndpoint attempts per endpoint. The limit is below
// it only while answers are late. The part is the ratio of the agent's request rate to the rate that
// the tenants' quotas announce for all agents. Without quotas it is an even part, or more if the
// agent's request rate needs it. With quotas the floor is at least one attempt, or the even part if
// that is less: one attempt in flight does no harm as long as every agent may have one.
func (l *concurrencyLimiter) floor() float64 {
	fleetFloor := attemptsPerEndpoint * l.slowStart.fleetCapacity()
	evenPart := fleetFloor / float64(max(l.settings.Replicas, 1))
	quota := totalQuotaPerMs(l.settings.Tenants)
	if quota == 0 {
		return max(evenPart, fleetFloor*l.requestRate.perMs()/l.capAtCapacity(math.Inf(1)))
	}
	return max(fleetFloor*l.requestRate.perMs()/l.capAtCapacity(quota), min(evenPart, 1))
}

// capAtCapacity caps the rate that the settings announce for all agents, in requests per ms, at the
// highest rate that the listed endpoints can serve. An infinite rate stands for settings without
// quotas. In a fleet of many services the settings cover all services, but the list names the
// endpoints of one.
//
// The service time is estimated from the uncontended answer time. Even an uncontended request may
// have been queued: at three quarters of an endpoint's capacity its answer takes
// uncontendedServiceTimeFactor times the service time. The estimate is therefore too low rather than
// too high. Settings that cover only the listed endpoints are not capped, and by Little's law an
// agent's floor stays below the concurrency that its own requests need while no endpoint is
// congested.
func (l *concurrencyLimiter) capAtCapacity(ratePerMs float64) float64 {
	serviceMs := l.latency.uncontended * l.classes.meanObjectiveMs / uncontendedServiceTimeFactor
	if serviceMs <= 0 || l.endpoints.ready == 0 {
		return ratePerMs // no answer was measured yet, or no endpoint is ready
	}
	return min(ratePerMs, attemptsPerEndpoint*l.slowStart.fleetCapacity()/serviceMs)
}

// grow raises the limit after a good answer. A limit below one attempt doubles, up to one, like the
// slow start of a congestion window. Above that it grows additively, by a fraction of the floor or
// of one attempt, whichever is larger. In a fleet of many services the settings cover all services,
// but the list names the endpoints of one. The floor of an agent is then a hundredth of an attempt,
// and a limit that grew by fractions of that would reject most requests of a healthy service. Late
// answers lower the limit to its floor again.
func (l *concurrencyLimiter) grow(limit float64) {
	floor := l.floor()
	switch {
	case floor <= 0:
	case limit < 1:
		l.scale = min(2*limit, 1) / floor
	default:
		base := max(floor, 1)
		l.scale += limitIncrease * base * base / (limit * limit * floor)
	}
}

// adapt adjusts the limit after the end of an attempt. An answer within congestedFraction of its
// latency objective raises the limit, if at least half of it is in use. A later answer lowers it in
// proportion to how late it is. So do a rejection, which counts as fully late, a client that
// disconnects late, and a timeout at an endpoint that still answers. Errors and broken connections
// say nothing about queues and change nothing. adapt reports whether the answer came in time.
func (l *concurrencyLimiter) adapt(attempt *attempt, status Status, rttMs float64) (inTime bool) {
	limit := l.limit()
	lateness := min(max(rttMs/attempt.request.class.LatencyObjectiveMs-congestedFraction, 0), 1)
	if status == StatusRejected {
		lateness = 1
	}
	if status == StatusOK {
		l.meanRTTMs = ewma(l.meanRTTMs, rttMs, endpointSmoothing)
	}
	switch {
	case lateness > 0 && indicatesQueueing(attempt, status):
		l.scale = max(l.scale*(1-limitDecrease*lateness), minAttemptsPerEndpoint/attemptsPerEndpoint)
	case status == StatusOK:
		if float64(2*(l.inFlight+1)) >= limit {
			l.grow(limit)
		}
		return true
	}
	return false
}

// indicatesQueueing reports whether the late end of an attempt indicates a queue at its endpoint.
func indicatesQueueing(attempt *attempt, status Status) bool {
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

// rebase adapts the scale after a new list has raised the floor from below one attempt. It keeps the
// limit: one that has grown far above the old floor must not grow in proportion to the floor. A
// limit below the new floor rises to it, less the fraction that late answers have taken off.
func (l *concurrencyLimiter) rebase(oldFloor, oldLimit float64) {
	if floor := l.floor(); oldFloor < 1 && floor > oldFloor {
		l.scale = max(oldLimit/floor, min(l.scale, 1))
	}
}
