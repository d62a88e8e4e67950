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
)

// hasRoom bounds what a server holds of this agent: its window, one at a time
// until it is validated, and a cold server's credit.
func (b *Balancer) hasRoom(s *server, r *request) bool {
	if s.state >= UnhealthyPending {
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
		return (b.now-s.sentAt)*b.flow*s.weight*b.slowStartShare(s) >= b.cost(r)*b.set.Contract.ColdMs
	}
	// It never met a warm server, so nothing tells what a cold one may be sent: no more than
	// it answers, as one attempt of this agent at a time waits there and the limit bounds them
	// all. Until the first answer they are paced by the aim, or all agents would go on
	// calling what can't answer.
	return len(s.out) == 0 && (b.answers > 0 || b.now-b.triedAt >= b.aimMin/min(b.limitFloor(), 1))
}

// slowStartShare is the part of an even share that a server may be sent: of a cold one what
// keeps the contract, so that its keys move to it as it warms up.
func (b *Balancer) slowStartShare(s *server) float64 {
	if k := b.ramp(s); k < 1 {
		return k * b.set.Contract.FallMultiple / slowStartMargin
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
func (b *Balancer) earn(s *server, cost float64) {
	if b.ramp(s) < 1 {
		return
	}
	warm := b.warmWeight() * float64(b.subset()) / float64(len(b.servers)) // of its subset
	if warm > 0 {
		b.flow = b.flow*math.Exp((b.flowAt-b.now)/b.set.Contract.ColdMs) + cost/warm
		b.flowAt = b.now
	}
	b.countWork(b.cold)
	for _, o := range b.cold {
		if b.ramp(o) < 1 && warm > 0 {
			o.credit = min(o.credit+cost*b.slowStartShare(o)*o.weight/warm, slowStartBurst)
		}
	}
}
