// This file holds the list of servers.

package policy

import (
	"cmp"
	"math"
	"slices"
)

func (b *Balancer) onList(ev *Event) {
	switch ev.List {
	case ListFailed:
		b.watch.failures++
		b.retryWatch(b.watch.failures, firstWatchBackoffMs)
		return
	case ListWatchEnded:
		b.onWatchEnded()
		return
	}
	b.watch.failures = 0
	b.endpoints.epoch++
	named := map[Addr]bool{}
	for i := range ev.Entries {
		named[ev.Entries[i].Server] = true
		b.update(&ev.Entries[i])
	}
	if ev.List != ListDelta {
		b.countWork(b.endpoints.all)
		for _, s := range b.endpoints.all {
			s.usable = s.usable && named[s.id]
		}
	}
	floor := b.limitFloor()
	limit := floor * b.limiter.scale
	b.endpoints.ready, b.slowStart.capacityAt = 0, math.Inf(-1)
	b.countWork(b.endpoints.all)
	b.endpoints.all = slices.DeleteFunc(b.endpoints.all, func(s *endpoint) bool {
		if s.usable {
			b.endpoints.ready++
		}
		forget := !s.usable && len(s.traffic.inFlight) == 0 && !s.health.checking
		if forget {
			b.forget(s)
		}
		return forget
	})
	// A limit that has grown far above a part of one attempt does not grow with that part.
	if now := b.limitFloor(); floor < 1 && now > floor {
		b.limiter.scale = max(limit/now, min(b.limiter.scale, 1))
	}
}

func (b *Balancer) update(e *Entry) {
	b.stats.work++
	s, since := b.endpoints.byAddr[e.Server], finite(e.StartedMs)
	if s == nil {
		s = &endpoint{id: e.Server, hash: mix(hashAddr(e.Server)), health: endpointHealth{state: StateUnknown, since: b.now},
			window:    endpointWindow{size: initialWindow},
			slowStart: endpointSlowStart{startedAt: since, listedAt: since, allowance: b.rng.Float64()}}
		s.order = mix(s.hash ^ mix(uint64(b.set.Index)+1))
		b.endpoints.byAddr[s.id] = s
		b.endpoints.all.add(s)
		b.startWarmUp(s)
	}
	if since > s.slowStart.listedAt {
		// A new process: nothing known of the old one holds, and it is cold. Its credit
		// starts at random: of many agents that each earn it a part of one request, as
		// many send one as the parts add up to; from 0 none would before it is warm.
		s.slowStart.listedAt = since
		b.endpoints.ejected.remove(s)
		s.slowStart.startedAt, s.health.state, s.health.since, s.health.silent = since, StateUnknown, b.now, false
		b.startWarmUp(s)
		s.health.consecutiveEjections, s.health.served, s.latency.mean, s.latency.samples, s.window.size, s.slowStart.allowance = 0, 0, 0, 0, 1, b.rng.Float64()
		s.health.failureRate, s.latency.recent, s.latency.recentAt = 0, b.latency.recent, b.now
	}
	s.zone, s.cell, s.machineKind, s.usable = e.Zone, e.Cell, e.MachineKind, e.Health == HealthReady
	s.weight = 1
	if w := finite(e.Weight); w > 0 {
		s.weight = w
	}
}

// forget drops all that points to a server that is no longer listed, but the list itself.
func (b *Balancer) forget(s *endpoint) {
	delete(b.endpoints.byAddr, s.id)
	b.endpoints.ejected.remove(s)
	b.endpoints.busy.remove(s)
	if s.slowStart.warming {
		b.slowStart.warming = slices.DeleteFunc(b.slowStart.warming, func(o *endpoint) bool { return o == s })
	}
}

// endpointSet holds the listed endpoints and those of them that need attention.
type endpointSet struct {
	all     orderedEndpoints
	ejected orderedEndpoints // in a state after StateUnknown
	busy    orderedEndpoints // with attempts in flight
	byAddr  map[Addr]*endpoint
	epoch   uint64 // counts changes of tiers and of the list
	ready   int    // endpoints listed as ready
}

// orderedEndpoints is a set of endpoints in the agent's own order.
type orderedEndpoints []*endpoint

func (o orderedEndpoints) find(s *endpoint) (int, bool) {
	return slices.BinarySearchFunc(o, s, func(x, y *endpoint) int { return cmp.Compare(x.order, y.order) })
}

func (o *orderedEndpoints) add(s *endpoint) {
	if i, found := o.find(s); !found {
		*o = slices.Insert(*o, i, s)
	}
}

func (o *orderedEndpoints) remove(s *endpoint) {
	if i, found := o.find(s); found {
		*o = slices.Delete(*o, i, i+1)
	}
}
