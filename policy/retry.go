// This file holds attempts: what may be sent where, and what may be sent again.

package policy

import (
	"slices"
)

const (
	// retryRatio is how many attempts after the first each answer in time pays for,
	// retryBurst what is saved up: enough for a moment in which half the servers vanish.
	retryRatio, retryBurst = 0.5, 20.0
	// holdUpMs is how long an agent may stand still between reading its clock and writing: it
	// shares its processors. What must not go out after a time is not begun in the last part
	// of that time.
	writeDelayMarginMs = 150.0
)

// retryBudget is what attempts after the first are paid from.
type retryBudget struct {
	tokens float64 // attempts that may still be made
}

// maySend is the guard of all attempts: rules 2, 3 and the limits. Rule 4 is in
// hasRoom, whose credit every attempt is charged in send.
func (b *Balancer) maySend(r *request, s *endpoint) bool {
	if !s.usable || r.closed || r.started || r.tries.inFlight > 0 || b.now >= r.timing.deadline ||
		len(r.tries.counted) >= r.tries.limit {
		return false
	}
	for _, a := range r.tries.counted {
		if a.target == s && len(b.endpoints.all) > len(r.tries.counted) {
			return false // further attempts go elsewhere
		}
	}
	if r.idempotency.mayHaveRun == 0 {
		return true
	}
	c := r.class
	switch c.Effect {
	case EffectIdempotent:
		return true
	case EffectIdempotentWithKey:
		if b.idempotencyWindowLeft(r) <= 0 {
			return false
		}
		return c.Group == GroupAll || c.Group == GroupZone && s.zone == r.idempotency.firstEndpoint.zone ||
			c.Group == GroupCell && s.cell == r.idempotency.firstEndpoint.cell
	}
	return false
}

// repeatWithin is for how long a keyed request that may have run may still be sent again. The
// window counts from the earliest time at which it may have run, and a repeat may be held up just
// before its first byte, so a window shorter than that allows none.
func (b *Balancer) idempotencyWindowLeft(r *request) float64 {
	return r.idempotency.earliestRunAt + r.class.IdempotencyWindowMs - writeDelayMarginMs - 2*b.set.RoundMs - b.now
}

func (b *Balancer) send(r *request, s *endpoint) bool {
	if !b.maySend(r, s) {
		return false
	}
	a := &attempt{request: r, target: s, index: r.tries.sent, alone: len(s.traffic.inFlight) == 0, sentAt: b.now, cost: b.cost(r)}
	r.tries.counted = append(r.tries.counted, a)
	r.tries.sent++
	b.local.sent(a)
	r.tries.inFlight++
	within := 0.0
	if r.idempotency.mayHaveRun == 0 {
		r.idempotency.earliestRunAt, r.idempotency.firstEndpoint = b.now, s
	} else if r.class.Effect == EffectIdempotentWithKey {
		within = b.idempotencyWindowLeft(r)
	}
	r.idempotency.mayHaveRun++
	s.traffic.inFlight = append(s.traffic.inFlight, a)
	b.endpoints.busy.add(s)
	if s.traffic.sentAt > 0 {
		s.traffic.meanGapMs = mean(s.traffic.meanGapMs, b.now-s.traffic.sentAt, endpointSmoothing)
	}
	s.traffic.sentAt, b.limiter.lastAttemptAt = b.now, b.now
	b.limiter.inFlight++
	r.class.counts.Attempts++
	if b.capacityFraction(s) < 1 {
		s.slowStart.allowance -= a.cost
		a.charged = true
	}
	b.do(Action{Kind: ActionSend, Request: r.id, Server: s.id, DelayMs: r.timing.deadline - b.now, WithinMs: within})
	return true
}

func (b *Balancer) onOutcome(ev *Event) {
	r := b.queue.open[ev.Request]
	if r == nil {
		return
	}
	a := r.attempt(ev.Attempt)
	if a == nil || a.done {
		return
	}
	s := a.target
	a.done = true
	b.stats.outcomes.add(ev.Status)
	status := b.attributeFailure(a, ev.Status)
	r.tries.inFlight--
	b.limiter.inFlight--
	if a.stalled {
		b.limiter.stalled--
	}
	if i := slices.Index(s.traffic.inFlight, a); i >= 0 {
		s.traffic.inFlight = slices.Delete(s.traffic.inFlight, i, i+1)
	}
	if len(s.traffic.inFlight) == 0 {
		b.endpoints.busy.remove(s)
	}
	if ev.Status.NeverRan() {
		r.idempotency.mayHaveRun--
	}
	if status == StatusLocalFailure {
		b.failedLocally(a)
	} else {
		b.local.succeeded(a)
		b.countUnanswered(a, status)
		b.closeIdle(s)
		b.adaptLimit(a, status, finite(ev.LatencyMs))
		b.recordOutcome(a, status, finite(ev.LatencyMs))
	}
	switch {
	case r.closed || r.started || ev.Final || status == StatusOK:
		b.close(r)
	case status == StatusLocalFailure:
		b.retryLocally(r)
	default:
		b.retry(r, status)
	}
}

// attempt is the request's attempt of that number, or nil.
func (r *request) attempt(index int) *attempt {
	for _, a := range r.tries.counted {
		if a.index == index {
			return a
		}
	}
	return nil
}

// retry holds an unanswered request for another server where class, time and the retry
// budget allow, or ends it. It competes with first tries, so that trouble does not multiply
// the load: with a request or two out at each of a thousand agents no window holds back
// what all send on together.
func (b *Balancer) retry(r *request, why Status) {
	c := r.class
	able := r.idempotency.mayHaveRun == 0 || c.Effect == EffectIdempotent || c.Effect == EffectIdempotentWithKey
	price := 1.0
	if why == StatusConnectFailed {
		price = 0 // no server was asked for anything
	}
	spent := b.retries.tokens < price || len(r.tries.counted) >= r.tries.limit
	if !able || spent || why == StatusNotSent || b.now >= r.timing.deadline {
		b.finishUnserved(r)
		return
	}
	b.retries.tokens -= price
	b.queue.queued = append(b.queue.queued, r)
}

// closeIdle closes a server's idle connections where keeping them costs more than opening
// one again, when this agent comes back to the server as seldom as its last sends say.
// All agents' requests are taken for this one's times their number. A thousand agents
// that each met every server kept 400 connections a server open.
func (b *Balancer) closeIdle(s *endpoint) {
	p := &b.set.Prices
	all := b.traffic.requests / max(b.now-b.traffic.startedAt, 1) * float64(b.set.Replicas) // requests a ms
	if p.Connection > 0 && len(s.traffic.inFlight) == 0 &&
		(s.traffic.meanGapMs == 0 || s.traffic.meanGapMs*all*p.Connection > 100*float64(len(b.endpoints.all))*p.Handshake) {
		b.do(Action{Kind: ActionCloseIdle, Server: s.id})
	}
}

// repeatable tells whether a client may repeat a request of the class that may have run.
func isRepeatable(c *class) bool {
	return c.Effect == EffectIdempotent || c.Effect == EffectIdempotentWithKey && c.Group == GroupAll
}
