// This file holds which servers are warming up, and how far they are.

package policy

import (
	"slices"
)

// ramp is the part of its capacity that a started server has by the contract.
func (b *Balancer) ramp(s *endpoint) float64 {
	c := &b.set.Contract
	age := b.now - s.startedAt
	if s.startedAt <= 0 || age >= c.SlowStartMs || s.startedAt != s.listedAt && age > c.PollWithinMs {
		return 1 // long past, or assumed and not borne out by the list in its time
	}
	return c.SlowStartFrom + (1-c.SlowStartFrom)*max(age, 0)/c.SlowStartMs
}

// coolDown notes that a server's start has changed: it may be cold.
func (b *Balancer) coolDown(s *endpoint) {
	b.warmStale = true
	if !s.cold && s.startedAt > 0 {
		s.cold = true
		b.cold = append(b.cold, s)
	}
}

// warmUp takes those that are warm by now from the cold ones.
func (b *Balancer) warmUp() {
	b.countWork(b.cold)
	b.cold = slices.DeleteFunc(b.cold, func(s *endpoint) bool {
		s.cold = b.ramp(s) != 1
		b.warmStale = b.warmStale || !s.cold
		return !s.cold
	})
}

// warmWeight is the weight of the servers of the top tier that are not cold, counted
// anew only where a tier, the list or who is cold has changed.
func (b *Balancer) warmWeight() float64 {
	if b.warmAt == b.now && b.warmEpoch == b.epoch {
		return b.warm
	}
	b.warmUp()
	if b.warmEpoch == b.epoch && !b.warmStale {
		b.warmAt = b.now
		return b.warm
	}
	b.warm, b.warmAt, b.warmEpoch, b.warmStale = 0, b.now, b.epoch, false
	b.countWork(b.servers)
	for _, s := range b.servers {
		if s.usable && s.state <= StateUnknown && b.ramp(s) == 1 {
			b.warm += s.weight
		}
	}
	return b.warm
}

// recordAnswer notes an answer. A server that no connect reached for long may be a new
// process, cold and not yet listed: it is ramped as if it had started now. Time-outs
// alone don't tell: crowded servers would be left to idle.
func (b *Balancer) recordAnswer(s *endpoint) {
	if s.lostAt > 0 && b.now-s.lostAt > b.set.Contract.OverloadWindowMs {
		s.startedAt, s.window, s.credit = b.now, 1, b.rng.Float64()
		b.coolDown(s)
	}
	s.heard, s.lostAt = b.now, 0
	for _, a := range s.out {
		if a.stuck {
			a.stuck = false
			b.stuck--
		}
	}
}
