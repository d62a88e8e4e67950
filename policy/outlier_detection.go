// This file holds the four states of a server: demotion, ejection and validation.

package policy

import (
	"slices"
)

const (
	// failWeight is the weight of an attempt in its server's share of failures, failShare
	// the least median of these shares with which failures are the fleet's, not a server's.
	outcomeWeight, minCommonFailureRate = 0.05, 0.01
	// unansweredMost is the share of attempts that went unanswered up to their aim from which on
	// that is the fleet's, not a server's.
	maxUnansweredShare = 0.5
	// probeCap bounds the validations under way at once.
	maxHealthChecks = 2
)

// outlierDetector holds what tells failures of one endpoint from those of all.
type outlierDetector struct {
	failureRates []float64 // scratch space of medianFailureRate
	unanswered   float64   // recent share of attempts that their endpoints left unanswered
	checking     int       // health checks under way
}

// recordOutcome takes what an attempt's end says about its server.
func (b *Balancer) recordOutcome(a *attempt, st Status, rtt float64) {
	s := a.target
	switch st {
	case StatusOK:
		b.earnAllowance(s, a.cost)
		b.served(a, rtt)
	case StatusServerError, StatusReset:
		s.traffic.heardAt = b.now
		if b.isCommonFailure(s) {
			b.recheck(s)
		} else {
			b.demote(s, false)
		}
		s.health.failureRate += outcomeWeight * (1 - s.health.failureRate)
	case StatusConnectFailed:
		b.demote(s, true)
		if s.health.unreachableAt == 0 {
			s.health.unreachableAt = b.now
		}
	case StatusTimeout:
		b.limiter.abandoned.unanswered(rtt, maxAbandonedDeadlines*b.classes.longestDeadlineMs)
		a.request.class.unanswered(b.now, rtt)
		if !b.set.Limits.Cancellation && rtt > 0 {
			b.limiter.abandoned.add(a)
		}
		// A server that answered others meanwhile is not to blame for a costly
		// request; it counts as slow.
		if s.traffic.heardAt > a.sentAt {
			b.learnHint(a.request, rtt)
			b.observeLatency(s, b.objectiveFraction(a.request, rtt))
		} else {
			b.demote(s, true)
		}
	case StatusCancelled:
		// Its client left, or it was late: so long at least it takes.
		a.request.class.unanswered(b.now, rtt)
		if b.now >= a.request.timing.objectiveAt && s.traffic.heardAt <= a.sentAt && b.outliers.unanswered < maxUnansweredShare {
			b.demote(s, true)
		}
		if x := b.objectiveFraction(a.request, rtt); x > b.recentLatency(s) {
			b.observeRecentLatency(s, x)
		}
	case StatusRejected:
		s.traffic.heardAt = b.now
		b.shrinkWindow(s, 0.7, 1)
	}
}

// common tells whether the server fails no more than the fleet does, as when a network
// breaks connections at random: that says nothing of this one server. When each such failure
// ejected its server, all were out at once and two thirds of the requests were refused.
func (b *Balancer) isCommonFailure(s *endpoint) bool {
	median := b.medianFailureRate()
	return median >= minCommonFailureRate && s.health.failureRate <= 3*median
}

// recheck demotes a server and has it validated at once, without an ejection.
func (b *Balancer) recheck(s *endpoint) {
	if s.health.state != StateUnhealthy {
		b.enter(s, StateUnhealthy)
		s.health.silent, s.health.served = false, 0
		b.enter(s, StateUnhealthyPending)
	}
	b.fetchList()
}

// demote makes a server Unhealthy; failures of one moment count as one ejection.
func (b *Balancer) demote(s *endpoint, silent bool) {
	if s.health.state != StateUnhealthy {
		s.health.consecutiveEjections = min(s.health.consecutiveEjections+1, maxEjections)
		b.enter(s, StateUnhealthy)
		s.health.silent = silent
		s.health.served, s.latency.mean, s.latency.samples = 0, 0, 0
		s.window.size = max(s.window.size/2, 1)
	}
	b.fetchList()
}

// ejectionTime is how long a server stays Unhealthy before it is validated again: one aim for
// a stray failure, or the time in which the agent comes by each server if that is longer,
// doubled with each further ejection up to a minute. A probe is answered beside the requests
// and clears a server that fails them: held for a few aims, less than an agent takes to
// come by, failing servers kept an even share for as long as they failed. While the others
// have no room none is ejected: a server that fails some requests is better than refusing
// them all. One that answers nothing is not.
func (b *Balancer) ejectionTime(s *endpoint) float64 {
	if b.queue.scarce && !s.health.silent {
		return 0
	}
	meet := b.set.Limits.KeepaliveMs * float64(b.subset()) / max(b.traffic.recent, 1)
	return min(max(b.classes.shortestObjectiveMs, meet)*float64(int(1)<<max(s.health.consecutiveEjections-1, 0)), maxEjectionMs)
}

// ejectSilent demotes servers that took attempts and have answered nothing for
// several answer times: hung or gone silent, they would stay Connected.
func (b *Balancer) ejectSilent() {
	b.countWork(b.endpoints.busy)
	for _, s := range b.endpoints.busy {
		silent := func(a *attempt, times float64) bool {
			return b.now-max(s.traffic.heardAt, a.sentAt) >= b.expected(a.request)*times
		}
		soon := 8 / float64(max(min(len(s.traffic.inFlight), 3), 1))
		if len(s.traffic.inFlight) > 0 && s.health.state != StateUnhealthy && silent(s.traffic.inFlight[0], soon) {
			b.demote(s, true)
		}
		for _, a := range s.traffic.inFlight {
			if s.health.silent && s.health.state == StateUnhealthy && silent(a, soon) {
				b.releaseStalled(a, silent(a, 8))
			}
		}
	}
}

// release lets go of an attempt on a server that fell silent under it. It stands in no queue
// that the agent's limit is to keep short: held by the limit up to deadlines of a minute and
// more, such attempts took all of it, and nothing was sent to the servers that lived. Where
// the request may go elsewhere in time the attempt is called off, and else the request ends
// when it can no longer earn anything, as those do that are held. The limit lets go only when
// it is sure: crowded servers seem silent for a while too, and need the limit most.
func (b *Balancer) releaseStalled(a *attempt, sure bool) {
	r, c := a.request, a.request.class
	if sure && !a.stalled {
		a.stalled = true
		b.limiter.stalled++
	}
	again := c.Effect == EffectIdempotent || c.Effect == EffectIdempotentWithKey && b.idempotencyWindowLeft(r) > 0
	switch {
	case a.cancelled || r.closed || r.started:
	case c.LateWeight == 0 && b.now >= r.timing.objectiveAt:
		a.cancelled = true
		b.finishUnserved(r)
	case again && b.set.Limits.Cancellation && len(r.tries.counted) < r.tries.limit && b.retries.tokens >= 1 &&
		b.now+b.expected(r) < r.timing.objectiveAt:
		a.cancelled = true
		b.do(Action{Kind: ActionCancel, Request: r.id, Attempt: a.index})
	}
}

// revalidate, on each request, refreshes servers that were Unhealthy long enough to
// pending, to be validated in the background.
func (b *Balancer) revalidateEjected() {
	b.countWork(b.endpoints.ejected)
	for _, s := range b.endpoints.ejected {
		if s.health.state == StateUnhealthy && s.usable && len(s.traffic.inFlight) == 0 && b.now-s.health.since >= b.ejectionTime(s) {
			b.enter(s, StateUnhealthyPending)
			b.fetchList()
		}
		pending := s.health.state == StateUnhealthyPending && s.usable
		if pending && b.set.Limits.HealthChecks && !s.health.checking && b.outliers.checking < maxHealthChecks {
			s.health.checking = true
			b.outliers.checking++
			b.do(Action{Kind: ActionHealthCheck, Server: s.id})
		}
	}
}

func (b *Balancer) onHealthChecked(ev *Event) {
	s := b.endpoints.byAddr[ev.Server]
	if s == nil || !s.health.checking {
		return
	}
	s.health.checking = false
	b.outliers.checking--
	switch {
	case s.health.state != StateUnhealthyPending:
	case ev.Status == StatusOK:
		b.recordAnswer(s)
		b.enter(s, StateConnected)
	case ev.Status != StatusRejected:
		b.demote(s, true)
	}
}

// medianFails is the middle one of the usable servers' shares of failures; of one or two
// servers it tells nothing.
func (b *Balancer) medianFailureRate() float64 {
	b.outliers.failureRates = b.outliers.failureRates[:0]
	b.countWork(b.endpoints.all)
	for _, s := range b.endpoints.all {
		if s.usable {
			b.outliers.failureRates = append(b.outliers.failureRates, s.health.failureRate)
		}
	}
	if len(b.outliers.failureRates) < 3 {
		return 0
	}
	slices.Sort(b.outliers.failureRates)
	return b.outliers.failureRates[len(b.outliers.failureRates)/2]
}

// noteAnswered keeps the share of attempts that went unanswered up to their aim, on servers that
// answered no later ones either.
func (b *Balancer) countUnanswered(a *attempt, st Status) {
	none := 0.0
	if st == StatusTimeout || st == StatusCancelled {
		if b.now < a.request.timing.objectiveAt {
			return // its client left early: that tells nothing
		}
		if a.target.traffic.heardAt <= a.sentAt {
			none = 1
		}
	}
	b.outliers.unanswered += outcomeWeight * (none - b.outliers.unanswered)
}

// enter notes a server's new state and its time; tiers have changed.
func (b *Balancer) enter(s *endpoint, to State) {
	if s.health.state > StateUnknown || to > StateUnknown {
		b.endpoints.epoch++
	}
	if to > StateUnknown {
		b.endpoints.ejected.add(s)
	} else {
		b.endpoints.ejected.remove(s)
	}
	s.health.state, s.health.since = to, b.now
}
