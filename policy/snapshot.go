// This file holds snapshots of the Balancer's state for diagnostics.

package policy

// ClassSnapshot is the state of one class of requests.
type ClassSnapshot struct {
	Name       string
	Counts     ClassCounts
	Queued     int     // requests that wait for capacity
	ExpectedMs float64 // expected answer time, in ms
}

// TierSnapshot counts the usable endpoints of one tier.
type TierSnapshot struct {
	Endpoints    int
	WarmingUp    int // of those, still in slow start: below their full capacity by the contract
	WithCapacity int // of those, with capacity for one more attempt of this agent
}

// Snapshot is the part of a Balancer's state that determines which requests are sent and which are
// rejected. Only diagnostics read it.
type Snapshot struct {
	Limit       float64 // concurrency limit: attempts that may be in flight
	Floor       float64 // the agent's share of the attempts of all agents; Limit is a multiple of it
	InFlight    int     // attempts in flight
	Stalled     int     // of these, at endpoints that stopped answering
	Abandoned   int     // attempts that the agent no longer waits for and that may still run
	SojournMs   float64 // estimated time that an attempt stays at its endpoint, in ms
	Queued      int     // requests that wait for capacity
	RetryBudget float64 // retries that may still be made
	// Latency is the moving average of recent answer times, UncontendedLatency the average without
	// contention at the endpoints. Both are fractions of the latency objective.
	UncontendedLatency float64
	Latency            float64
	Outcomes           OutcomeCounts
	Tiers              [3]TierSnapshot // best first
	Classes            []ClassSnapshot
}

// Snapshot returns the state of the Balancer at the time now, in ms. It does not affect decisions.
func (b *Balancer) Snapshot(now float64) Snapshot {
	b.now = now
	snapshot := Snapshot{
		Limit:              b.limiter.limit(),
		Floor:              b.limiter.floor(),
		InFlight:           b.limiter.inFlight,
		Stalled:            b.limiter.stalled,
		Abandoned:          len(b.limiter.abandoned.all),
		SojournMs:          b.limiter.abandoned.sojournMs,
		Queued:             len(b.queue.queued),
		RetryBudget:        b.retries.tokens,
		Outcomes:           b.outcomes,
		UncontendedLatency: b.latency.uncontended,
		Latency:            b.latency.fleetRecent,
		Classes:            b.classSnapshots(),
	}
	// The tier and the capacity are those for a new request of the first class.
	probe := &request{class: b.classes.all[0], timing: requestTiming{arrivedAt: now, objectiveAt: now}}
	for _, endpoint := range b.endpoints.all {
		if !endpoint.usable {
			continue
		}
		tier := &snapshot.Tiers[b.eligibility.tierOf(endpoint, probe)]
		tier.Endpoints++
		if b.capacityFraction(endpoint) < 1 {
			tier.WarmingUp++
		}
		if b.eligibility.hasCapacity(endpoint, probe) {
			tier.WithCapacity++
		}
	}
	return snapshot
}

// classSnapshots returns the states of the classes, in the order of the settings.
func (b *Balancer) classSnapshots() []ClassSnapshot {
	queued := map[*class]int{}
	for _, request := range b.queue.queued {
		queued[request.class]++
	}
	var snapshots []ClassSnapshot
	for _, class := range b.classes.all {
		snapshots = append(snapshots, ClassSnapshot{Name: class.Name, Counts: class.counts,
			Queued: queued[class], ExpectedMs: class.expectedMs(b.now)})
	}
	return snapshots
}
