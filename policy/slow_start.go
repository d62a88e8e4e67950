// This file holds how much a server that is warming up may be sent.

package policy

import (
	"math"
)

const (
	// slowStartBurst bounds what a cold server's credit saves up: all may spend it at once.
	slowStartBurst = 1.0
	// slowStartMargin is what an even share may cost a cold server, in its present capacity:
	// warm ones may be crowded by half and save two thirds by their warm keys.
	slowStartMargin = 5.0
	// goldenRatio spreads the agents' first turns: the parts after the point of its multiples
	// by successive numbers are spread evenly, however many agents there are.
	goldenRatio = math.Phi
)

// ageErrorFactor is how many times its capacity a server that is warming up may be taken to have, for
// an error in its age: warm servers may be crowded by half, which slowStartMargin allows for.
const ageErrorFactor = 1.5

// StartToleranceMs is how much older than it is a server that is warming up may be taken for, in ms:
// at its start, where that means most, it then counts as ageErrorFactor times what it can do.
func (c *Contract) StartToleranceMs() float64 {
	if c.SlowStartFrom >= 1 {
		return c.SlowStartMs
	}
	return min((ageErrorFactor-1)*c.SlowStartFrom/(1-c.SlowStartFrom)*c.SlowStartMs, c.SlowStartMs)
}

// hasRoom bounds what a server holds of this agent: its window, one at a time
// until it is validated, and a cold server's credit.
func (b *Balancer) hasRoom(s *endpoint, r *request) bool {
	if s.state >= StateUnhealthyPending {
		return len(s.out)+s.abandoned == 0
	}
	// A window under one is kept by pausing: with many agents even one attempt of
	// each can be too much, and a server that tipped needs rest to recover.
	if len(s.out)+s.abandoned >= max(int(s.window), 1) {
		return false
	}
	if s.window < 1 && b.now-s.sentAt < s.rtt/s.window {
		return false
	}
	if b.ramp(s) == 1 || s.credit >= b.cost(r) {
		return true
	}
	if b.warmWeight() > 0 {
		return false
	}
	if b.flow > 0 {
		return (b.now-s.sentAt)*b.flow*s.weight*b.slowStartShare(s) >= b.cost(r)*b.set.Contract.SlowStartMs
	}
	// It never met a warm server, so nothing tells what a cold one may be sent: no more than
	// it answers, as one attempt of this agent at a time waits there and the limit bounds them
	// all.
	return len(s.out) == 0 && (b.answers > 0 || b.hasTurn(s))
}

// hasTurn paces an agent that no server has answered yet: agents take turns by the aim, or all
// would go on calling what can't answer. All together make attemptsPerServer attempts at each
// server in that time, whatever they are asked: an agent's rate is not known in its first
// moments, and one that was asked at once took itself for a busy one. Of a cold server that is
// as many as the contract allows it of what it does warm. The first turn comes at a part of that
// time after the agent was told of the start, which differs from agent to agent. Else each would
// make its first attempt with its first request, before anything tells what the servers bear:
// where agents are many, that was all that was asked in the first seconds, up to the budget.
func (b *Balancer) hasTurn(s *endpoint) bool {
	alone := b.aimMin // a turn of one that is alone
	if multiple := b.set.Contract.OverloadMultiple; multiple > 0 {
		alone /= min(b.ramp(s)*multiple, 1)
	}
	turn := alone * max(float64(b.set.Replicas)/(attemptsPerServer*b.capacity()), 1)
	_, part := math.Modf(goldenRatio * float64(b.set.Index))
	return b.now-b.triedAt >= turn && b.now-s.since >= part*(turn-alone)
}

// slowStartShare is the part of an even share that a server may be sent: of a cold one what
// keeps the contract, so that its keys move to it as it warms up.
func (b *Balancer) slowStartShare(s *endpoint) float64 {
	if k := b.ramp(s); k < 1 {
		return k * b.set.Contract.OverloadMultiple / slowStartMargin
	}
	return 1
}

// cost is the work of a request in units of the mean one, and never less: hints are
// rough, and a cold server would be sent the small ones that are not.
func (b *Balancer) cost(r *request) float64 {
	if r.hint > b.meanHint {
		return r.hint / b.meanHint
	}
	return 1
}

// earn keeps each cold server's credit: for all that warm servers have served it
// may get its share by weight and ramp. Then the servers' shares of all agents
// together stay in proportion to what they can do, without any agreement. What was
// turned away earns nothing: in a storm it made cold servers' shares ninefold.
func (b *Balancer) earn(s *endpoint, cost float64) {
	if b.ramp(s) < 1 {
		return
	}
	warm := b.warmWeight() * float64(b.subset()) / float64(len(b.servers)) // of its subset
	if warm > 0 {
		b.flow = b.flow*math.Exp((b.flowAt-b.now)/b.set.Contract.SlowStartMs) + cost/warm
		b.flowAt = b.now
	}
	b.countWork(b.cold)
	for _, o := range b.cold {
		if b.ramp(o) < 1 && warm > 0 {
			o.credit = min(o.credit+cost*b.slowStartShare(o)*o.weight/warm, slowStartBurst)
		}
	}
}
