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
		b.failures++
		b.askAgain(b.failures, firstBackoff)
		return
	case ListWatchEnded:
		b.onLost()
		return
	}
	b.failures = 0
	b.epoch++
	named := map[Addr]bool{}
	for i := range ev.Entries {
		named[ev.Entries[i].Server] = true
		b.update(&ev.Entries[i])
	}
	if ev.List != ListDelta {
		b.countWork(b.servers)
		for _, s := range b.servers {
			s.usable = s.usable && named[s.id]
		}
	}
	floor := b.limitFloor()
	limit := floor * b.limitScale
	b.ready, b.capacityAt = 0, math.Inf(-1)
	b.countWork(b.servers)
	b.servers = slices.DeleteFunc(b.servers, func(s *endpoint) bool {
		if s.usable {
			b.ready++
		}
		forget := !s.usable && len(s.out) == 0 && !s.probing
		if forget {
			b.forget(s)
		}
		return forget
	})
	// A limit that has grown far above a part of one attempt does not grow with that part.
	if now := b.limitFloor(); floor < 1 && now > floor {
		b.limitScale = max(limit/now, min(b.limitScale, 1))
	}
}

func (b *Balancer) update(e *Entry) {
	b.work++
	s, since := b.byAddr[e.Server], finite(e.StartedMs)
	if s == nil {
		s = &endpoint{id: e.Server, hash: mix(hashAddr(e.Server)), state: StateUnknown, since: b.now,
			window: initialWindow, startedAt: since, listedAt: since, credit: b.rng.Float64()}
		s.order = mix(s.hash ^ mix(uint64(b.set.Index)+1))
		b.byAddr[s.id] = s
		b.servers.add(s)
		b.coolDown(s)
	}
	if since > s.listedAt {
		// A new process: nothing known of the old one holds, and it is cold. Its credit
		// starts at random: of many agents that each earn it a part of one request, as
		// many send one as the parts add up to; from 0 none would before it is warm.
		s.listedAt = since
		b.ejected.remove(s)
		s.startedAt, s.state, s.since, s.silent = since, StateUnknown, b.now, false
		b.coolDown(s)
		s.ejections, s.good, s.lat, s.samples, s.window, s.credit = 0, 0, 0, 0, 1, b.rng.Float64()
		s.fails, s.pace, s.paceAt = 0, b.fleetPace, b.now
	}
	s.zone, s.cell, s.kind, s.usable = e.Zone, e.Cell, e.MachineKind, e.Health == HealthReady
	s.weight = 1
	if w := finite(e.Weight); w > 0 {
		s.weight = w
	}
}

// forget drops all that points to a server that is no longer listed, but the list itself.
func (b *Balancer) forget(s *endpoint) {
	delete(b.byAddr, s.id)
	b.ejected.remove(s)
	b.busy.remove(s)
	if s.cold {
		b.cold = slices.DeleteFunc(b.cold, func(o *endpoint) bool { return o == s })
	}
}

// ordered is a set of servers in the agent's own order.
type endpointSet []*endpoint

func (o endpointSet) find(s *endpoint) (int, bool) {
	return slices.BinarySearchFunc(o, s, func(x, y *endpoint) int { return cmp.Compare(x.order, y.order) })
}

func (o *endpointSet) add(s *endpoint) {
	if i, found := o.find(s); !found {
		*o = slices.Insert(*o, i, s)
	}
}

func (o *endpointSet) remove(s *endpoint) {
	if i, found := o.find(s); found {
		*o = slices.Delete(*o, i, i+1)
	}
}
