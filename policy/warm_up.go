// This file holds which servers are warming up, and how far they are.

package policy

import (
	"slices"
)

// ramp is the part of its capacity that a started server has by the contract.
func (b *Balancer) capacityFraction(s *endpoint) float64 {
	c := &b.set.Contract
	age := b.now - s.slowStart.startedAt
	if s.slowStart.startedAt <= 0 || age >= c.SlowStartMs || s.slowStart.startedAt != s.slowStart.listedAt && age > c.PollWithinMs {
		return 1 // long past, or assumed and not borne out by the list in its time
	}
	return c.SlowStartFrom + (1-c.SlowStartFrom)*max(age, 0)/c.SlowStartMs
}

// coolDown notes that a server's start has changed: it may be cold.
func (b *Balancer) startWarmUp(s *endpoint) {
	b.slowStart.stale = true
	if !s.slowStart.warming && s.slowStart.startedAt > 0 {
		s.slowStart.warming = true
		b.slowStart.warming = append(b.slowStart.warming, s)
	}
}

// warmUp takes those that are warm by now from the cold ones.
func (b *Balancer) reapWarm() {
	b.countWork(b.slowStart.warming)
	b.slowStart.warming = slices.DeleteFunc(b.slowStart.warming, func(s *endpoint) bool {
		s.slowStart.warming = b.capacityFraction(s) != 1
		b.slowStart.stale = b.slowStart.stale || !s.slowStart.warming
		return !s.slowStart.warming
	})
}

// warmWeight is the weight of the servers of the top tier that are not cold, counted
// anew only where a tier, the list or who is cold has changed.
func (b *Balancer) warmWeight() float64 {
	if b.slowStart.warmAt == b.now && b.slowStart.warmEpoch == b.endpoints.epoch {
		return b.slowStart.warmWeight
	}
	b.reapWarm()
	if b.slowStart.warmEpoch == b.endpoints.epoch && !b.slowStart.stale {
		b.slowStart.warmAt = b.now
		return b.slowStart.warmWeight
	}
	b.slowStart.warmWeight, b.slowStart.warmAt, b.slowStart.warmEpoch, b.slowStart.stale = 0, b.now, b.endpoints.epoch, false
	b.countWork(b.endpoints.all)
	for _, s := range b.endpoints.all {
		if s.usable && s.health.state <= StateUnknown && b.capacityFraction(s) == 1 {
			b.slowStart.warmWeight += s.weight
		}
	}
	return b.slowStart.warmWeight
}

// recordAnswer notes an answer. A server that no connect reached for long may be a new
// process, cold and not yet listed: it is ramped as if it had started now. Time-outs
// alone don't tell: crowded servers would be left to idle.
func (b *Balancer) recordAnswer(s *endpoint) {
	if s.health.unreachableAt > 0 && b.now-s.health.unreachableAt > b.set.Contract.OverloadWindowMs {
		s.slowStart.startedAt, s.window.size, s.slowStart.allowance = b.now, 1, b.rng.Float64()
		b.startWarmUp(s)
	}
	s.traffic.heardAt, s.health.unreachableAt = b.now, 0
	for _, a := range s.traffic.inFlight {
		if a.stalled {
			a.stalled = false
			b.limiter.stalled--
		}
	}
}
