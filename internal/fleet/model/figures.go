package model

import (
	"ploverreel/internal/fleet"
)

// Count is what happened in one second, all agents together.
type Count struct {
	Requests        int // without retries by the clients
	Served          int // of these, answered within their latency objective, be it in a later second
	RejectedFirst   int // of these, rejected when they first came
	Rejected        int // of these, rejected with no retry left
	WithinObjective int // answers within their latency objective
	Attempts        int // attempts
	Retries         int // attempts after a request's first
	CrossZone       int // attempts to another zone, and of these to another region
	CrossRegion     int
	MaxPending      int // the most that all servers had pending at once
	DiscoveryCalls  int // to discovery
	HealthChecks    int
	Connects        int // attempts whose agent had no idle connection to the server
}

func (c *Count) add(o *Count) {
	c.Requests += o.Requests
	c.Served += o.Served
	c.WithinObjective += o.WithinObjective
	c.RejectedFirst += o.RejectedFirst
	c.Rejected += o.Rejected
	c.Attempts += o.Attempts
	c.Retries += o.Retries
	c.CrossZone += o.CrossZone
	c.CrossRegion += o.CrossRegion
	c.MaxPending = max(c.MaxPending, o.MaxPending)
	c.DiscoveryCalls += o.DiscoveryCalls
	c.HealthChecks += o.HealthChecks
	c.Connects += o.Connects
}

// second is the count of the present second.
func (m *Model) second() *Count { return m.secondOf(m.now) }

// secondOf is the count of the second of that time.
func (m *Model) secondOf(at float64) *Count {
	i := int((at - Start) / 1000)
	for len(m.seconds) <= i {
		m.seconds = append(m.seconds, Count{})
	}
	return &m.seconds[i]
}

// figures are those of all seconds after SettleS.
func (m *Model) figures(name string) *fleet.Case {
	m.second() // so that there are all to the last
	var sum Count
	worst := 1.0
	for _, server := range m.seconds[int(SettleS):] {
		sum.add(&server)
		if float64(server.Requests) > m.cfg.Rate/2 { // a whole second
			worst = min(worst, float64(server.Served)/float64(server.Requests))
		}
	}
	cold, veryCold, fell, ours, queue := 0.0, 0.0, 0, 0, 0
	for _, server := range m.servers {
		cold, veryCold, queue = max(cold, server.warmup.maxShare), max(veryCold, server.warmup.maxActualShare), max(queue, server.maxPending)
		if server.warmup.failed {
			fell++
		}
		if server.warmup.failedByNotified {
			ours++
		}
	}
	asked, sends := float64(max(sum.Requests, 1)), float64(max(sum.Attempts, 1))
	c := &fleet.Case{Name: name, Params: map[string]float64{"agents": float64(m.cfg.Agents),
		"servers": float64(m.cfg.Servers), "services": float64(m.cfg.Services), "rate": m.cfg.Rate}}
	c.Add("requests", "count", float64(sum.Requests))
	c.Add("worth served", "share", float64(sum.Served)/asked)
	m.addShares(c)
	c.Add("worth served in the worst second", "share", worst)
	c.Add("turned away at first", "share", float64(sum.RejectedFirst)/asked)
	c.Add("refused for good", "share", float64(sum.Rejected)/asked)
	c.Add("attempts a request", "count", sends/asked)
	c.Add("attempts across zones", "share", float64(sum.CrossZone)/sends)
	c.Add("attempts across regions", "share", float64(sum.CrossRegion)/sends)
	c.Add("wait before the first attempt, p50", "ms", m.waits.ms(50))
	c.Add("wait before the first attempt, p99", "ms", m.waits.ms(99))
	c.Add("cold server's load to its budget, most", "share", cold)
	if m.cfg.WorkSpread > 0 {
		c.Add("the same by the requests' very work", "share", veryCold)
	}
	c.Add("cold servers fallen", "count", float64(fell))
	c.Add("cold servers fallen by agents that knew", "count", float64(ours))
	c.Add("server's queue, most", "count", float64(queue))
	c.Add("held by an agent, most", "count", float64(m.maxQueued))
	c.Add("probes a request", "count", float64(sum.HealthChecks)/asked)
	c.Add("calls to discovery", "count", float64(sum.DiscoveryCalls))
	m.addNeeds(c, &sum)
	return c
}
