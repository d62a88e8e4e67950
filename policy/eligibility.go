// This file holds which endpoints may take a request: tiers by health, and capacity.

package policy

import "math"

// tiers is the number of tiers.
const tiers = 3

// eligibility decides which endpoints may take a request of this agent, and how good they are.
type eligibility struct {
	*environment
	classes   *classStats
	slowStart *slowStart
	limiter   *concurrencyLimiter
	latency   *latencyTracker
	retries   *retryPolicy
}

// newEligibility returns an eligibility that asks the components given.
func newEligibility(env *environment, classes *classStats, slowStart *slowStart,
	limiter *concurrencyLimiter, latency *latencyTracker, retries *retryPolicy) eligibility {
	return eligibility{environment: env, classes: classes, slowStart: slowStart, limiter: limiter,
		latency: latency, retries: retries}
}

// maySend reports whether the request may be sent to the endpoint at all.
func (e *eligibility) maySend(request *request, endpoint *endpoint) bool {
	return e.retries.maySend(request, endpoint)
}

// tierOf returns the endpoint's tier for the request, from 0, the best.
func (e *eligibility) tierOf(endpoint *endpoint, request *request) int {
	switch endpoint.health.state {
	case StateUnhealthy:
		return 2
	case StateUnhealthyPending:
		// What must not run twice does not validate an endpoint while others are healthy.
		once := request.class.Effect == EffectNonIdempotent
		checked := e.set.Limits.HealthChecks && e.now-endpoint.health.since < e.classes.shortestObjectiveMs
		if once || checked {
			return 1
		}
	}
	return 0
}

// hasCapacity reports whether an endpoint may hold one more attempt of this agent: by its window, one
// at a time until it is validated, and by its allowance while it is warming up.
func (e *eligibility) hasCapacity(endpoint *endpoint, request *request) bool {
	if endpoint.health.state >= StateUnhealthyPending {
		return endpoint.load() == 0
	}
	if !endpoint.windowOpen(e.now) {
		return false
	}
	if e.capacityFraction(endpoint) == 1 {
		return true
	}
	cost := e.latency.hints.cost(request)
	if endpoint.slowStart.allowance >= cost {
		return true
	}
	if e.slowStart.warmWeight() > 0 {
		return false
	}
	if e.slowStart.workPerWeight > 0 {
		return e.slowStart.pauseElapsed(endpoint, cost)
	}
	// It never met a warm endpoint, so nothing tells what one that is warming up may be sent: no
	// more than it answers, as one attempt of this agent at a time waits there and the limit
	// bounds them all.
	return len(endpoint.traffic.inFlight) == 0 && (e.latency.samples > 0 || e.hasFirstTurn(endpoint))
}

// hasFirstTurn paces an agent that no endpoint has answered yet: agents take turns by the latency
// objective, or all would go on calling what can't answer. All together make attemptsPerEndpoint
// attempts at each endpoint in that time, whatever they are offered: an agent's rate is not known in
// its first moments. Of an endpoint that is warming up that is as many as the contract allows it
// of what it does warm. The first turn comes at a part of that time after the agent was notified of
// the start, which differs from agent to agent. Else each would make its first attempt with its
// first request, before anything tells what the endpoints bear.
func (e *eligibility) hasFirstTurn(endpoint *endpoint) bool {
	alone := e.classes.shortestObjectiveMs // a turn of one that is alone
	if multiple := e.set.Contract.OverloadMultiple; multiple > 0 {
		alone /= min(e.capacityFraction(endpoint)*multiple, 1)
	}
	turn := alone * max(float64(e.set.Replicas)/(attemptsPerEndpoint*e.slowStart.fleetCapacity()), 1)
	// The fractions of the golden ratio's multiples by successive numbers are spread evenly,
	// however many agents there are.
	_, part := math.Modf(math.Phi * float64(e.set.Index))
	return e.now-e.limiter.lastAttemptAt >= turn && e.now-endpoint.health.since >= part*(turn-alone)
}
