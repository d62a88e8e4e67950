// This file holds how a change of the endpoint list is applied to the components.

package policy

// onEndpointsUpdated applies a change of the list.
func (b *Balancer) onEndpointsUpdated(event *EndpointsUpdated) {
	b.watch.onList()
	b.endpoints.epoch++
	listed := map[Addr]bool{}
	for i := range event.Entries {
		listed[event.Entries[i].Server] = true
		b.updateEndpoint(&event.Entries[i])
	}
	if event.Kind != ListDelta {
		b.endpoints.keepListed(listed)
	}
	floor, limit := b.limiter.floor(), b.limiter.limit()
	b.endpoints.removeGone(b.slowStart.forget)
	b.slowStart.capacityAt = never
	b.limiter.rebase(floor, limit)
}

// updateEndpoint applies one line of the list.
func (b *Balancer) updateEndpoint(entry *Entry) {
	b.work++
	endpoint, startedAt := b.endpoints.byAddr[entry.Server], finite(entry.StartedMs)
	if endpoint == nil {
		endpoint = b.endpoints.add(entry.Server, startedAt)
		b.slowStart.begin(endpoint)
	}
	if startedAt > endpoint.slowStart.listedAt {
		b.restartEndpoint(endpoint, startedAt)
	}
	endpoint.zone, endpoint.cell, endpoint.machineKind = entry.Zone, entry.Cell, entry.MachineKind
	endpoint.usable = entry.Health == HealthReady
	endpoint.weight = 1
	if weight := finite(entry.Weight); weight > 0 {
		endpoint.weight = weight
	}
}

// restartEndpoint takes an endpoint for a new process: nothing known of the old one holds, and it
// is warming up. Its allowance starts at random: of many agents that each earn it a part of one
// request, as many send one as the parts add up to; from 0 none would before it is warm.
func (b *Balancer) restartEndpoint(endpoint *endpoint, startedAt float64) {
	b.endpoints.ejected.remove(endpoint)
	endpoint.slowStart.listedAt, endpoint.slowStart.startedAt = startedAt, startedAt
	b.slowStart.begin(endpoint)
	endpoint.slowStart.allowance = b.rng.Float64()
	health := &endpoint.health
	health.state, health.since, health.silent = StateUnknown, b.now, false
	health.consecutiveEjections, health.served, health.failureRate = 0, 0, 0
	endpoint.latency.mean, endpoint.latency.samples = 0, 0
	endpoint.latency.recent, endpoint.latency.recentAt = b.latency.recent, b.now
	endpoint.window.size = 1
}
