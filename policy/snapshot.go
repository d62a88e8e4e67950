package policy

// ClassCounts counts the requests of a class since the start.
type ClassCounts struct {
	Asked   uint64 // requests that came in
	Sent    uint64 // attempts sent
	Served  uint64 // requests answered by a server
	InTime  uint64 // of those, within the aim
	Refused uint64 // final answers that a retry is harmless after
	Failed  uint64 // final answers of failure
}

// ClassSnapshot is what is known of one class of requests.
type ClassSnapshot struct {
	Name       string
	Counts     ClassCounts
	Held       int     // requests that wait for room
	ExpectedMs float64 // how long an answer is expected to take
}

// OutcomeCounts counts how attempts ended since the start.
type OutcomeCounts struct {
	OK, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot, LocalFailure, Unreachable uint64
}

func (c *OutcomeCounts) add(st Status) {
	switch st {
	case OK:
		c.OK++
	case Error:
		c.Error++
	case Full:
		c.Full++
	case Timeout:
		c.Timeout++
	case ConnectFailed:
		c.ConnectFailed++
	case Reset:
		c.Reset++
	case Cancelled:
		c.Cancelled++
	case Moot:
		c.Moot++
	case LocalFailure:
		c.LocalFailure++
	case Unreachable:
		c.Unreachable++
	}
}

// TierSnapshot counts the usable servers of one tier.
type TierSnapshot struct {
	Servers int
	Cold    int // of those, below their full capacity by the contract
	Room    int // of those, with room for one more attempt of this agent
}

// Snapshot is the state of a Balancer that decides what is sent and what is refused. It is
// read by diagnostics alone.
type Snapshot struct {
	Limit       float64 // attempts that may be out
	Floor       float64 // the agent's part of the fleet's attempts, of which the limit is a multiple
	Inflight    int     // attempts out, and of these on servers that fell silent
	Stuck       int
	Abandoned   int     // attempts that are not waited for and may still run
	Sojourn     float64 // how long work is held to stay with the servers, in ms
	Held        int
	RetryBudget float64
	CalmLatency float64 // mean answer times as parts of the aim: calm, and of late
	Latency     float64
	Outcomes    OutcomeCounts
	Tiers       [3]TierSnapshot // by rank, best first
	Classes     []ClassSnapshot
}

// Snapshot describes the Balancer at the time now. It changes no decision.
func (b *Balancer) Snapshot(now float64) Snapshot {
	b.now = now
	floor := b.limitFloor()
	s := Snapshot{Limit: floor * b.limitScale, Floor: floor, Inflight: b.inflight, Stuck: b.stuck,
		Abandoned: len(b.abandoned.all), Sojourn: b.abandoned.sojourn,
		Held: len(b.held), RetryBudget: b.retryBudget, Outcomes: b.outcomes,
		CalmLatency: b.calmLat, Latency: b.fleetPace}
	held := map[*class]int{}
	for _, r := range b.held {
		held[r.class]++
	}
	for _, c := range b.classes {
		s.Classes = append(s.Classes, ClassSnapshot{
			Name: c.Name, Counts: c.counts, Held: held[c], ExpectedMs: c.expected(now)})
	}
	one := &request{class: b.classes[0], arrived: now, aimAt: now}
	for _, o := range b.servers {
		if !o.usable {
			continue
		}
		tier := &s.Tiers[b.rank(o, one)]
		tier.Servers++
		if b.ramp(o) < 1 {
			tier.Cold++
		}
		if b.hasRoom(o, one) {
			tier.Room++
		}
	}
	return s
}
