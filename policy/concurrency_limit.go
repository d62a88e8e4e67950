// This file holds the adaptive limit on the attempts in flight of one agent.

package policy

import (
	"math"
)

const (
	// attemptsPerServer is how many attempts for each server all agents together may always
	// have out: it keeps a server busy and is well under what makes one slower. A good answer
	// adds limitGrowth to an agent's part, over those of a round trip; a late one takes up to
	// limitCut off.
	attemptsPerServer, limitGrowth, limitCut = 2.0, 0.2, 0.4
	// leastAttempts is the same while answers are late.
	leastAttempts = 1.0
	// calmFactor is how many times its work a calm answer may take.
	calmFactor = 4.0
)

// underLimit is the agent's part of what the fleet may have out: an adaptive limit on its
// attempts out. What it bounds is the queue in front of the servers, whatever the number
// of agents and however late they learn. The throttle before it counted failures, and let
// nothing out until they were forgotten: a whole fleet shut and opened in step, 54 requests
// were out on 32 servers one second and 490 two seconds before, which tipped them.
func (b *Balancer) underLimit() bool {
	out, room := float64(b.inflight-b.stuck+len(b.abandoned.all)), b.limitFloor()*b.limitScale
	return out < max(room, 1) && (room >= 1 || b.now-b.triedAt >= b.meanRTT/room)
}

// limitFloor is the agent's part of attemptsPerServer attempts a server, of which the limit on
// attempts is limitScale times, and less only while answers are late. Its part is that of the
// traffic that the settings foresee for all agents, an even one where they foresee none. One
// out at a time does no harm as long as all agents may have one.
func (b *Balancer) limitFloor() float64 {
	all := attemptsPerServer * b.capacity()
	even := all / float64(max(b.set.Replicas, 1))
	quota := 0.0
	for _, t := range b.set.Tenants {
		quota += t.QuotaPerS / 1000
	}
	if quota == 0 {
		return max(even, all*b.rate()/b.feasible(math.Inf(1)))
	}
	return max(all*b.rate()/b.feasible(quota), min(even, 1))
}

// feasible bounds what the settings foresee of all agents, in requests a ms, by what the
// listed servers could possibly answer: in a fleet of many services the settings tell of all
// of them, the list names one service's servers. A calm answer may still have waited for
// others: it takes calmFactor times its work at three quarters of what a server can do. So
// settings that tell of the listed servers are left alone, and what an agent may always have
// out is under what its own calls take while nothing is crowded (Little's law).
func (b *Balancer) feasible(rate float64) float64 {
	calm := b.calmLat * b.meanAim / calmFactor
	if calm <= 0 || b.ready == 0 {
		return rate // nothing was measured yet, or nobody can answer
	}
	return min(rate, attemptsPerServer*b.capacity()/calm)
}

// growLimit raises the limit after a good answer. Below one attempt it doubles (slow start),
// above it grows by a part of one attempt at least. In a fleet of many services the settings
// tell of all of them and the list names one service's servers: an agent's part is then a
// hundredth of an attempt, and a limit that grew by parts of that refused two calls in three
// of a healthy service. Answers that are late take it back to its floor.
func (b *Balancer) growLimit(limit float64) {
	floor := b.limitFloor()
	switch {
	case floor <= 0:
	case limit < 1:
		b.limitScale = min(2*limit, 1) / floor
	default:
		one := max(floor, 1)
		b.limitScale += limitGrowth * one * one / (limit * limit * floor)
	}
}

// rateSpan is the time over which requests are counted, in ms: that for which a connection
// is kept, and where none is, that in which a server may be pushed over.
func (b *Balancer) rateSpan() float64 {
	return max(b.set.Limits.KeepaliveMs, b.set.Contract.OverloadWindowMs, 1)
}

// rate is how many requests a ms came of late.
func (b *Balancer) rate() float64 {
	span := b.rateSpan()
	old := math.Exp((b.recentAt - b.now) / span)
	return b.recent * old / span / max(1-math.Exp((b.began-b.now)/span), 0.01)
}

// adapt lets the limit follow how attempts end: up while answers take little of their aim,
// down the more the later one is, or if it is turned away or left by its client. Errors
// and broken connections tell nothing of queues.
func (b *Balancer) adapt(a *attempt, st Status, rtt float64) {
	limit := b.limitFloor() * b.limitScale
	over := min(max(rtt/a.r.class.LatencyObjectiveMs-crowdShare, 0), 1)
	if st == StatusRejected {
		over = 1
	}
	if st == StatusOK {
		b.meanRTT = mean(b.meanRTT, rtt, smooth)
	}
	switch {
	case over > 0 && (st == StatusOK || st == StatusRejected ||
		st == StatusCancelled && !a.called || st == StatusTimeout && !a.s.silent):
		b.limitScale = max(b.limitScale*(1-limitCut*over), leastAttempts/attemptsPerServer)
	case st == StatusOK:
		b.retryBudget = min(b.retryBudget+retryRatio, retryBurst)
		if float64(2*(b.inflight+1)) >= limit {
			b.growLimit(limit)
		}
	}
}

// capacity is what the usable servers can do, in those of full capacity. Cold ones count in
// part beside warm ones: their credit bounds what they are sent, and the rest of an even share
// would be sent to the warm ones. Alone they count as servers.
func (b *Balancer) capacity() float64 {
	if b.capacityAt == b.now {
		return b.capacityNow
	}
	b.capacityNow, b.capacityAt = float64(b.ready), b.now
	if b.warmWeight() == 0 {
		return b.capacityNow
	}
	b.countWork(b.cold)
	for _, s := range b.cold {
		if s.usable {
			b.capacityNow -= 1 - b.ramp(s)
		}
	}
	return b.capacityNow
}
