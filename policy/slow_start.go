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

// slowStart holds which endpoints are warming up and what they may be sent.
type slowStart struct {
	warming    []*endpoint // that may not have their whole capacity yet
	warmWeight float64     // weight of the warm endpoints, as of warmAt and warmEpoch
	warmAt     float64     // ms
	warmEpoch  uint64
	stale      bool    // an endpoint began or ended its slow start since
	flow       float64 // work sent to a warm endpoint of weight 1, fading over the slow start time
	flowAt     float64 // ms
	capacity   float64 // of all usable endpoints, in warm ones, as of capacityAt
	capacityAt float64 // ms
}

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
func (b *Balancer) hasCapacity(s *endpoint, r *request) bool {
	if s.health.state >= StateUnhealthyPending {
		return len(s.traffic.inFlight)+s.traffic.abandoned == 0
	}
	// A window under one is kept by pausing: with many agents even one attempt of
	// each can be too much, and a server that tipped needs rest to recover.
	if len(s.traffic.inFlight)+s.traffic.abandoned >= max(int(s.window.size), 1) {
		return false
	}
	if s.window.size < 1 && b.now-s.traffic.sentAt < s.latency.lastMs/s.window.size {
		return false
	}
	if b.capacityFraction(s) == 1 || s.slowStart.allowance >= b.cost(r) {
		return true
	}
	if b.warmWeight() > 0 {
		return false
	}
	if b.slowStart.flow > 0 {
		return (b.now-s.traffic.sentAt)*b.slowStart.flow*s.weight*b.slowStartShare(s) >= b.cost(r)*b.set.Contract.SlowStartMs
	}
	// It never met a warm server, so nothing tells what a cold one may be sent: no more than
	// it answers, as one attempt of this agent at a time waits there and the limit bounds them
	// all.
	return len(s.traffic.inFlight) == 0 && (b.latency.answers > 0 || b.hasFirstTurn(s))
}

// hasTurn paces an agent that no server has answered yet: agents take turns by the aim, or all
// would go on calling what can't answer. All together make attemptsPerServer attempts at each
// server in that time, whatever they are asked: an agent's rate is not known in its first
// moments, and one that was asked at once took itself for a busy one. Of a cold server that is
// as many as the contract allows it of what it does warm. The first turn comes at a part of that
// time after the agent was told of the start, which differs from agent to agent. Else each would
// make its first attempt with its first request, before anything tells what the servers bear:
// where agents are many, that was all that was asked in the first seconds, up to the budget.
func (b *Balancer) hasFirstTurn(s *endpoint) bool {
	alone := b.classes.shortestObjectiveMs // a turn of one that is alone
	if multiple := b.set.Contract.OverloadMultiple; multiple > 0 {
		alone /= min(b.capacityFraction(s)*multiple, 1)
	}
	turn := alone * max(float64(b.set.Replicas)/(attemptsPerEndpoint*b.capacity()), 1)
	_, part := math.Modf(goldenRatio * float64(b.set.Index))
	return b.now-b.limiter.lastAttemptAt >= turn && b.now-s.health.since >= part*(turn-alone)
}

// slowStartShare is the part of an even share that a server may be sent: of a cold one what
// keeps the contract, so that its keys move to it as it warms up.
func (b *Balancer) slowStartShare(s *endpoint) float64 {
	if k := b.capacityFraction(s); k < 1 {
		return k * b.set.Contract.OverloadMultiple / slowStartMargin
	}
	return 1
}

// cost is the work of a request in units of the mean one, and never less: hints are
// rough, and a cold server would be sent the small ones that are not.
func (b *Balancer) cost(r *request) float64 {
	if r.hint > b.latency.hints.mean {
		return r.hint / b.latency.hints.mean
	}
	return 1
}

// earn keeps each cold server's credit: for all that warm servers have served it
// may get its share by weight and ramp. Then the servers' shares of all agents
// together stay in proportion to what they can do, without any agreement. What was
// turned away earns nothing: in a storm it made cold servers' shares ninefold.
func (b *Balancer) earnAllowance(s *endpoint, cost float64) {
	if b.capacityFraction(s) < 1 {
		return
	}
	warm := b.warmWeight() * float64(b.subset()) / float64(len(b.endpoints.all)) // of its subset
	if warm > 0 {
		b.slowStart.flow = b.slowStart.flow*math.Exp((b.slowStart.flowAt-b.now)/b.set.Contract.SlowStartMs) + cost/warm
		b.slowStart.flowAt = b.now
	}
	b.countWork(b.slowStart.warming)
	for _, o := range b.slowStart.warming {
		if b.capacityFraction(o) < 1 && warm > 0 {
			o.slowStart.allowance = min(o.slowStart.allowance+cost*b.slowStartShare(o)*o.weight/warm, slowStartBurst)
		}
	}
}
