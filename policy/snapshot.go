package policy

// ClassCounts counts the requests of a class since the start.
type ClassCounts struct {
	Requests        uint64 // requests that came in
	Attempts        uint64 // attempts sent
	Served          uint64 // requests answered by a server
	WithinObjective uint64 // of those, within the aim
	Rejected        uint64 // final answers that a retry is harmless after
	Failed          uint64 // final answers of failure
}

// ClassSnapshot is what is known of one class of requests.
type ClassSnapshot struct {
	Name       string
	Counts     ClassCounts
	Queued     int     // requests that wait for room
	ExpectedMs float64 // how long an answer is expected to take
}

// OutcomeCounts counts how attempts ended since the start.
type OutcomeCounts struct {
	OK, ServerError, Rejected, Timeout, ConnectFailed, Reset uint64
	Cancelled, NotSent, LocalFailure, Unreachable            uint64
}

func (c *OutcomeCounts) add(st Status) {
	switch st {
	case StatusOK:
		c.OK++
	case StatusServerError:
		c.ServerError++
	case StatusRejected:
		c.Rejected++
	case StatusTimeout:
		c.Timeout++
	case StatusConnectFailed:
		c.ConnectFailed++
	case StatusReset:
		c.Reset++
	case StatusCancelled:
		c.Cancelled++
	case StatusNotSent:
		c.NotSent++
	case StatusLocalFailure:
		c.LocalFailure++
	case StatusUnreachable:
		c.Unreachable++
	}
}

// TierSnapshot counts the usable servers of one tier.
type TierSnapshot struct {
	Endpoints    int
	WarmingUp    int // of those, below their full capacity by the contract
	WithCapacity int // of those, with room for one more attempt of this agent
}

// Snapshot is the state of a Balancer that decides what is sent and what is refused. It is
// read by diagnostics alone.
type Snapshot struct {
	Limit              float64 // attempts that may be out
	Floor              float64 // the agent's part of the fleet's attempts, of which the limit is a multiple
	Inflight           int     // attempts out, and of these on servers that fell silent
	Stalled            int
	Abandoned          int     // attempts that are not waited for and may still run
	Sojourn            float64 // how long work is held to stay with the servers, in ms
	Queued             int
	RetryBudget        float64
	UncontendedLatency float64 // mean answer times as parts of the aim: calm, and of late
	Latency            float64
	Outcomes           OutcomeCounts
	Tiers              [3]TierSnapshot // by rank, best first
	Classes            []ClassSnapshot
}

// Snapshot describes the Balancer at the time now. It changes no decision.
func (b *Balancer) Snapshot(now float64) Snapshot {
	b.now = now
	floor := b.limitFloor()
	s := Snapshot{Limit: floor * b.limitScale, Floor: floor, Inflight: b.inflight, Stalled: b.stuck,
		Abandoned: len(b.abandoned.all), Sojourn: b.abandoned.sojourn,
		Queued: len(b.held), RetryBudget: b.retryBudget, Outcomes: b.outcomes,
		UncontendedLatency: b.calmLat, Latency: b.fleetPace}
	held := map[*class]int{}
	for _, r := range b.held {
		held[r.class]++
	}
	for _, c := range b.classes {
		s.Classes = append(s.Classes, ClassSnapshot{
			Name: c.Name, Counts: c.counts, Queued: held[c], ExpectedMs: c.expected(now)})
	}
	one := &request{class: b.classes[0], arrived: now, aimAt: now}
	for _, o := range b.servers {
		if !o.usable {
			continue
		}
		tier := &s.Tiers[b.rank(o, one)]
		tier.Endpoints++
		if b.ramp(o) < 1 {
			tier.WarmingUp++
		}
		if b.hasRoom(o, one) {
			tier.WithCapacity++
		}
	}
	return s
}
