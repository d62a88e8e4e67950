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
	holdUpMs = 150.0
)

// maySend is the guard of all attempts: rules 2, 3 and the limits. Rule 4 is in
// hasRoom, whose credit every attempt is charged in send.
func (b *Balancer) maySend(r *request, s *endpoint) bool {
	if !s.usable || r.closed || r.started || r.open > 0 || b.now >= r.deadline ||
		len(r.attempts) >= r.maxAttempts {
		return false
	}
	for _, a := range r.attempts {
		if a.s == s && len(b.servers) > len(r.attempts) {
			return false // further attempts go elsewhere
		}
	}
	if r.mayHaveRun == 0 {
		return true
	}
	c := r.class
	switch c.Effect {
	case EffectIdempotent:
		return true
	case EffectIdempotentWithKey:
		if b.repeatWithin(r) <= 0 {
			return false
		}
		return c.Group == GroupAll || c.Group == GroupZone && s.zone == r.ranOn.zone ||
			c.Group == GroupCell && s.cell == r.ranOn.cell
	}
	return false
}

// repeatWithin is for how long a keyed request that may have run may still be sent again. The
// window counts from the earliest time at which it may have run, and a repeat may be held up just
// before its first byte, so a window shorter than that allows none.
func (b *Balancer) repeatWithin(r *request) float64 {
	return r.ranAt + r.class.IdempotencyWindowMs - holdUpMs - 2*b.set.RoundMs - b.now
}

func (b *Balancer) send(r *request, s *endpoint) bool {
	if !b.maySend(r, s) {
		return false
	}
	a := &attempt{r: r, s: s, index: r.sends, alone: len(s.out) == 0, sentAt: b.now, cost: b.cost(r)}
	r.attempts = append(r.attempts, a)
	r.sends++
	b.local.sent(a)
	r.open++
	within := 0.0
	if r.mayHaveRun == 0 {
		r.ranAt, r.ranOn = b.now, s
	} else if r.class.Effect == EffectIdempotentWithKey {
		within = b.repeatWithin(r)
	}
	r.mayHaveRun++
	s.out = append(s.out, a)
	b.busy.add(s)
	if s.sentAt > 0 {
		s.gap = mean(s.gap, b.now-s.sentAt, smooth)
	}
	s.sentAt, b.triedAt = b.now, b.now
	b.inflight++
	r.class.counts.Attempts++
	if b.ramp(s) < 1 {
		s.credit -= a.cost
		a.charged = true
	}
	b.do(Action{Kind: ActionSend, Request: r.id, Server: s.id, DelayMs: r.deadline - b.now, WithinMs: within})
	return true
}

func (b *Balancer) onOutcome(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil {
		return
	}
	a := r.attempt(ev.Attempt)
	if a == nil || a.done {
		return
	}
	s := a.s
	a.done = true
	b.outcomes.add(ev.Status)
	status := b.judge(a, ev.Status)
	r.open--
	b.inflight--
	if a.stuck {
		b.stuck--
	}
	if i := slices.Index(s.out, a); i >= 0 {
		s.out = slices.Delete(s.out, i, i+1)
	}
	if len(s.out) == 0 {
		b.busy.remove(s)
	}
	if ev.Status.NeverRan() {
		r.mayHaveRun--
	}
	if status == StatusLocalFailure {
		b.failedLocally(a)
	} else {
		b.local.succeeded(a)
		b.noteAnswered(a, status)
		b.closeIdle(s)
		b.adapt(a, status, finite(ev.LatencyMs))
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
	for _, a := range r.attempts {
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
	able := r.mayHaveRun == 0 || c.Effect == EffectIdempotent || c.Effect == EffectIdempotentWithKey
	price := 1.0
	if why == StatusConnectFailed {
		price = 0 // no server was asked for anything
	}
	spent := b.retryBudget < price || len(r.attempts) >= r.maxAttempts
	if !able || spent || why == StatusNotSent || b.now >= r.deadline {
		b.end(r)
		return
	}
	b.retryBudget -= price
	b.held = append(b.held, r)
}

// closeIdle closes a server's idle connections where keeping them costs more than opening
// one again, when this agent comes back to the server as seldom as its last sends say.
// All agents' requests are taken for this one's times their number. A thousand agents
// that each met every server kept 400 connections a server open.
func (b *Balancer) closeIdle(s *endpoint) {
	p := &b.set.Prices
	all := b.seen / max(b.now-b.began, 1) * float64(b.set.Replicas) // requests a ms
	if p.Connection > 0 && len(s.out) == 0 &&
		(s.gap == 0 || s.gap*all*p.Connection > 100*float64(len(b.servers))*p.Handshake) {
		b.do(Action{Kind: ActionCloseIdle, Server: s.id})
	}
}

// repeatable tells whether a client may repeat a request of the class that may have run.
func repeatable(c *class) bool {
	return c.Effect == EffectIdempotent || c.Effect == EffectIdempotentWithKey && c.Group == GroupAll
}
