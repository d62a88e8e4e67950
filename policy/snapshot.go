// This file holds what diagnostics may read of the Balancer.

package policy

// ClassSnapshot is the state of one class of requests.
type ClassSnapshot struct {
	Name       string
	Counts     ClassCounts
	Queued     int     // requests that wait for capacity
	ExpectedMs float64 // how long an answer is expected to take, in ms
}

// TierSnapshot counts the usable endpoints of one tier.
type TierSnapshot struct {
	Endpoints    int
	WarmingUp    int // of those, below their full capacity by the contract
	WithCapacity int // of those, with capacity for one more attempt of this agent
}

// Snapshot is the state of a Balancer that decides what is sent and what is rejected. It is
// read by diagnostics alone.
type Snapshot struct {
	Limit       float64 // attempts that may be in flight
	Floor       float64 // the agent's part of the fleet's attempts, of which Limit is a multiple
	Inflight    int     // attempts in flight
	Stalled     int     // of these, at endpoints that fell silent
	Abandoned   int     // attempts that are not waited for and may still run
	Sojourn     float64 // how long work is taken to stay with the endpoints, in ms
	Queued      int     // requests that wait for capacity
	RetryBudget float64 // attempts after a first that may still be made
	// Latency is the mean of the last answer times, UncontendedLatency the mean while nothing is
	// crowded, as parts of the latency objective.
	UncontendedLatency float64
	Latency            float64
	Outcomes           OutcomeCounts
	Tiers              [3]TierSnapshot // best first
	Classes            []ClassSnapshot
}

// Snapshot describes the Balancer at the time now, in ms. It changes no decision.
func (b *Balancer) Snapshot(now float64) Snapshot {
	b.now = now
	snapshot := Snapshot{
		Limit:              b.limiter.limit(),
		Floor:              b.limiter.floor(),
		Inflight:           b.limiter.inFlight,
		Stalled:            b.limiter.stalled,
		Abandoned:          len(b.limiter.abandoned.all),
		Sojourn:            b.limiter.abandoned.sojourn,
		Queued:             len(b.queue.queued),
		RetryBudget:        b.retries.tokens,
		Outcomes:           b.outcomes,
		UncontendedLatency: b.latency.uncontended,
		Latency:            b.latency.fleetRecent,
		Classes:            b.classSnapshots(),
	}
	probe := &request{class: b.classes.all[0], timing: requestTiming{arrived: now, objectiveAt: now}}
	for _, endpoint := range b.endpoints.all {
		if !endpoint.usable {
			continue
		}
		tier := &snapshot.Tiers[b.eligible.tierOf(endpoint, probe)]
		tier.Endpoints++
		if b.capacityFraction(endpoint) < 1 {
			tier.WarmingUp++
		}
		if b.eligible.hasCapacity(endpoint, probe) {
			tier.WithCapacity++
		}
	}
	return snapshot
}

// classSnapshots describes the classes, in the order of the settings.
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
