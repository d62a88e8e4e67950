// This file decides which endpoints may take a request, by health tier and by capacity.

package policy

import "math"

// tierCount is the number of tiers that eligibility.tierOf distinguishes.
const tierCount = 3

// eligibility decides which endpoints may take a request of this agent, and ranks them in tiers.
type eligibility struct {
	*environment
	classes   *classStats
	slowStart *slowStart
	limiter   *concurrencyLimiter
	latency   *latencyTracker
	retries   *retryPolicy
}

// newEligibility returns an eligibility that decides by the state of the given components.
func newEligibility(env *environment, classes *classStats, slowStart *slowStart,
	limiter *concurrencyLimiter, latency *latencyTracker, retries *retryPolicy) eligibility {
	return eligibility{environment: env, classes: classes, slowStart: slowStart, limiter: limiter,
		latency: latency, retries: retries}
}

// maySend reports whether the request may be sent to the endpoint at all.
func (e *eligibility) maySend(request *request, endpoint *endpoint) bool {
	return e.retries.maySend(request, endpoint)
}

// tierOf returns the endpoint's tier for the request. Tier 0 is the best.
func (e *eligibility) tierOf(endpoint *endpoint, request *request) int {
	switch endpoint.health.state {
	case StateUnhealthy:
		return 2
	case StateUnhealthyPending:
		// A non-idempotent request can't be retried if the endpoint fails it, so it does not
		// validate an endpoint while others are healthy.
		nonIdempotent := request.class.Effect == EffectNonIdempotent
		beingChecked := e.settings.Limits.HealthChecks &&
			e.now-endpoint.health.since < e.classes.shortestObjectiveMs
		if nonIdempotent || beingChecked {
			return 1
		}
	}
	return 0
}

// hasCapacity reports whether an endpoint may take one more attempt of this agent. An ejected endpoint,
// or one to be validated, takes one attempt at a time. Others are bounded by their window and, while
// they are warming up, by their slow start allowance.
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
	// No endpoint is warm. If this agent has used warm ones before, their load sets the pace.
	if e.slowStart.workPerWeight > 0 {
		return e.slowStart.pauseElapsed(endpoint, cost)
	}
	// This agent has never used a warm endpoint, so it can't tell what one that is warming up may
	// be sent. It keeps one attempt at a time in flight at each, so it never sends more than the
	// endpoint answers. The concurrency limit bounds the attempts at all of them.
	return len(endpoint.traffic.inFlight) == 0 && (e.latency.samples > 0 || e.firstAttemptDue(endpoint))
}

// firstAttemptDue paces the attempts of an agent that no endpoint has answered yet. Without pacing, all
// agents would keep sending to endpoints that can't answer.
//
// An agent waits for one interval between attempts. The interval is so long that all agents together
// make attemptsPerEndpoint attempts at each endpoint per latency objective. For an endpoint that is
// warming up, that number is multiplied by the part of its warm capacity that the contract allows it
// to be sent, up to 1. The interval does not depend on the request rate, which an agent does not know
// in its first moments.
//
// The first attempt waits for a fraction of the interval after the agent was notified of the
// endpoint's start. The fraction differs from agent to agent. Otherwise each agent would make its
// first attempt with its first request, before the capacity of the endpoints is known.
func (e *eligibility) firstAttemptDue(endpoint *endpoint) bool {
	loneIntervalMs := e.classes.shortestObjectiveMs // interval if there were only this agent
	if multiple := e.settings.Contract.OverloadMultiple; multiple > 0 {
		loneIntervalMs /= min(e.capacityFraction(endpoint)*multiple, 1)
	}
	intervalMs := loneIntervalMs * max(
		float64(e.settings.Replicas)/(attemptsPerEndpoint*e.slowStart.fleetCapacity()), 1)
	// The fractional parts of successive multiples of the golden ratio are spread evenly between 0
	// and 1, for any number of agents.
	_, fraction := math.Modf(math.Phi * float64(e.settings.Index))
	return e.now-e.limiter.lastAttemptAt >= intervalMs &&
		e.now-endpoint.health.since >= fraction*(intervalMs-loneIntervalMs)
}
