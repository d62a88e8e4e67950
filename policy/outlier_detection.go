// This file holds the four states of a server: demotion, ejection and validation.

package policy

import (
	"slices"
)

const (
	// failWeight is the weight of an attempt in its server's share of failures, failShare
	// the least median of these shares with which failures are the fleet's, not a server's.
	failWeight, failShare = 0.05, 0.01
	// unansweredMost is the share of attempts that went unanswered up to their aim from which on
	// that is the fleet's, not a server's.
	unansweredMost = 0.5
	// probeCap bounds the validations under way at once.
	probeCap = 2
)

// recordOutcome takes what an attempt's end says about its server.
func (b *Balancer) recordOutcome(a *attempt, st Status, rtt float64) {
	s := a.s
	switch st {
	case StatusOK:
		b.earn(s, a.cost)
		b.served(a, rtt)
	case StatusServerError, StatusReset:
		s.heard = b.now
		if b.common(s) {
			b.recheck(s)
		} else {
			b.demote(s, false)
		}
		s.fails += failWeight * (1 - s.fails)
	case StatusConnectFailed:
		b.demote(s, true)
		if s.lostAt == 0 {
			s.lostAt = b.now
		}
	case StatusTimeout:
		b.abandoned.unanswered(rtt, abandonedMost*b.giveUpMost)
		a.r.class.unanswered(b.now, rtt)
		if !b.set.Limits.Cancellation && rtt > 0 {
			b.abandoned.add(a)
		}
		// A server that answered others meanwhile is not to blame for a costly
		// request; it counts as slow.
		if s.heard > a.sentAt {
			b.learnHint(a.r, rtt)
			b.learn(s, b.partOfAim(a.r, rtt))
		} else {
			b.demote(s, true)
		}
	case StatusCancelled:
		// Its client left, or it was late: so long at least it takes.
		a.r.class.unanswered(b.now, rtt)
		if b.now >= a.r.aimAt && s.heard <= a.sentAt && b.unanswered < unansweredMost {
			b.demote(s, true)
		}
		if x := b.partOfAim(a.r, rtt); x > b.pace(s) {
			b.learnPace(s, x)
		}
	case StatusRejected:
		s.heard = b.now
		b.cut(s, 0.7, 1)
	}
}

// common tells whether the server fails no more than the fleet does, as when a network
// breaks connections at random: that says nothing of this one server. When each such failure
// ejected its server, all were out at once and two thirds of the requests were refused.
func (b *Balancer) common(s *endpoint) bool {
	median := b.medianFails()
	return median >= failShare && s.fails <= 3*median
}

// recheck demotes a server and has it validated at once, without an ejection.
func (b *Balancer) recheck(s *endpoint) {
	if s.state != StateUnhealthy {
		b.enter(s, StateUnhealthy)
		s.silent, s.good = false, 0
		b.enter(s, StateUnhealthyPending)
	}
	b.refetch()
}

// demote makes a server Unhealthy; failures of one moment count as one ejection.
func (b *Balancer) demote(s *endpoint, silent bool) {
	if s.state != StateUnhealthy {
		s.ejections = min(s.ejections+1, maxEjections)
		b.enter(s, StateUnhealthy)
		s.silent = silent
		s.good, s.lat, s.samples = 0, 0, 0
		s.window = max(s.window/2, 1)
	}
	b.refetch()
}

// ejectionTime is how long a server stays Unhealthy before it is validated again: one aim for
// a stray failure, or the time in which the agent comes by each server if that is longer,
// doubled with each further ejection up to a minute. A probe is answered beside the requests
// and clears a server that fails them: held for a few aims, less than an agent takes to
// come by, failing servers kept an even share for as long as they failed. While the others
// have no room none is ejected: a server that fails some requests is better than refusing
// them all. One that answers nothing is not.
func (b *Balancer) ejectionTime(s *endpoint) float64 {
	if b.scarce && !s.silent {
		return 0
	}
	meet := b.set.Limits.KeepaliveMs * float64(b.subset()) / max(b.recent, 1)
	return min(max(b.aimMin, meet)*float64(int(1)<<max(s.ejections-1, 0)), maxEjectionMs)
}

// ejectSilent demotes servers that took attempts and have answered nothing for
// several answer times: hung or gone silent, they would stay Connected.
func (b *Balancer) ejectSilent() {
	b.countWork(b.busy)
	for _, s := range b.busy {
		silent := func(a *attempt, times float64) bool {
			return b.now-max(s.heard, a.sentAt) >= b.expected(a.r)*times
		}
		soon := 8 / float64(max(min(len(s.out), 3), 1))
		if len(s.out) > 0 && s.state != StateUnhealthy && silent(s.out[0], soon) {
			b.demote(s, true)
		}
		for _, a := range s.out {
			if s.silent && s.state == StateUnhealthy && silent(a, soon) {
				b.release(a, silent(a, 8))
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
func (b *Balancer) release(a *attempt, sure bool) {
	r, c := a.r, a.r.class
	if sure && !a.stuck {
		a.stuck = true
		b.stuck++
	}
	again := c.Effect == EffectIdempotent || c.Effect == EffectIdempotentWithKey && b.repeatWithin(r) > 0
	switch {
	case a.called || r.closed || r.started:
	case c.LateWeight == 0 && b.now >= r.aimAt:
		a.called = true
		b.end(r)
	case again && b.set.Limits.Cancellation && len(r.attempts) < r.maxAttempts && b.retryBudget >= 1 &&
		b.now+b.expected(r) < r.aimAt:
		a.called = true
		b.do(Action{Kind: ActionCancel, Request: r.id, Attempt: a.index})
	}
}

// revalidate, on each request, refreshes servers that were Unhealthy long enough to
// pending, to be validated in the background.
func (b *Balancer) revalidate() {
	b.countWork(b.ejected)
	for _, s := range b.ejected {
		if s.state == StateUnhealthy && s.usable && len(s.out) == 0 && b.now-s.since >= b.ejectionTime(s) {
			b.enter(s, StateUnhealthyPending)
			b.refetch()
		}
		pending := s.state == StateUnhealthyPending && s.usable
		if pending && b.set.Limits.HealthChecks && !s.probing && b.probes < probeCap {
			s.probing = true
			b.probes++
			b.do(Action{Kind: ActionHealthCheck, Server: s.id})
		}
	}
}

func (b *Balancer) onProbed(ev *Event) {
	s := b.byAddr[ev.Server]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	b.probes--
	switch {
	case s.state != StateUnhealthyPending:
	case ev.Status == StatusOK:
		b.recordAnswer(s)
		b.enter(s, StateConnected)
	case ev.Status != StatusRejected:
		b.demote(s, true)
	}
}

// medianFails is the middle one of the usable servers' shares of failures; of one or two
// servers it tells nothing.
func (b *Balancer) medianFails() float64 {
	b.shares = b.shares[:0]
	b.countWork(b.servers)
	for _, s := range b.servers {
		if s.usable {
			b.shares = append(b.shares, s.fails)
		}
	}
	if len(b.shares) < 3 {
		return 0
	}
	slices.Sort(b.shares)
	return b.shares[len(b.shares)/2]
}

// noteAnswered keeps the share of attempts that went unanswered up to their aim, on servers that
// answered no later ones either.
func (b *Balancer) noteAnswered(a *attempt, st Status) {
	none := 0.0
	if st == StatusTimeout || st == StatusCancelled {
		if b.now < a.r.aimAt {
			return // its client left early: that tells nothing
		}
		if a.s.heard <= a.sentAt {
			none = 1
		}
	}
	b.unanswered += failWeight * (none - b.unanswered)
}

// enter notes a server's new state and its time; tiers have changed.
func (b *Balancer) enter(s *endpoint, to State) {
	if s.state > StateUnknown || to > StateUnknown {
		b.epoch++
	}
	if to > StateUnknown {
		b.ejected.add(s)
	} else {
		b.ejected.remove(s)
	}
	s.state, s.since = to, b.now
}
