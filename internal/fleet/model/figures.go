package model

import (
	"ploverreel/internal/fleet"
)

// The names of figures that other code reads. They are keys of stored results: where the code has another term
// by now, the key keeps the one that it began with.
const (
	FigureGoodput             = "worth served"
	FigureMaxWarmupShare      = "cold server's load to its budget, most"
	FigureFailedWarmingUp     = "cold servers fallen"
	FigureFailedByNotified    = "cold servers fallen by agents that knew"
	FigureRejectedFirst       = "turned away at first"
	FigureFirstAttemptWaitP99 = "wait before the first attempt, p99"
	FigureMaxPending          = "server's queue, most"
)

// Count counts the events of one second, all agents together.
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

// add adds another count; of the maxima it keeps the larger.
func (c *Count) add(other *Count) {
	c.Requests += other.Requests
	c.Served += other.Served
	c.WithinObjective += other.WithinObjective
	c.RejectedFirst += other.RejectedFirst
	c.Rejected += other.Rejected
	c.Attempts += other.Attempts
	c.Retries += other.Retries
	c.CrossZone += other.CrossZone
	c.CrossRegion += other.CrossRegion
	c.MaxPending = max(c.MaxPending, other.MaxPending)
	c.DiscoveryCalls += other.DiscoveryCalls
	c.HealthChecks += other.HealthChecks
	c.Connects += other.Connects
}

// second returns the count of the present second.
func (m *Model) second() *Count { return m.secondOf(m.now) }

// secondOf returns the count of the second of that time.
func (m *Model) secondOf(at float64) *Count {
	i := int((at - StartMs) / 1000)
	for len(m.seconds) <= i {
		m.seconds = append(m.seconds, Count{})
	}
	return &m.seconds[i]
}

// total returns the count of all seconds after SettleS, and the least goodput of a whole one of them.
func (m *Model) total() (sum Count, worst float64) {
	worst = 1
	for _, second := range m.seconds[int(SettleS):] {
		sum.add(&second)
		if float64(second.Requests) > m.cfg.Rate/2 { // a whole second
			worst = min(worst, float64(second.Served)/float64(second.Requests))
		}
	}
	return sum, worst
}

// warmupSummary sums up the loads of all servers while they warmed up, and their queues.
type warmupSummary struct {
	maxShare         float64 // the most of warmupLoad.maxShare
	maxActualShare   float64 // the same of maxActualShare
	failed           int     // servers
	failedByNotified int     // servers
	maxPending       int     // the most that a server had pending, warm or not
}

// warmupTotal returns the summary of all servers.
func (m *Model) warmupTotal() warmupSummary {
	var sum warmupSummary
	for _, server := range m.servers {
		load := &server.warmup
		sum.maxShare = max(sum.maxShare, load.maxShare)
		sum.maxActualShare = max(sum.maxActualShare, load.maxActualShare)
		sum.maxPending = max(sum.maxPending, server.maxPending)
		if load.failed {
			sum.failed++
		}
		if load.failedByNotified {
			sum.failedByNotified++
		}
	}
	return sum
}

// figures returns a case with the figures of all seconds after SettleS.
func (m *Model) figures(name string) *fleet.Case {
	m.second() // so that there are all to the last
	sum, worst := m.total()
	load := m.warmupTotal()
	offered, attempts := float64(max(sum.Requests, 1)), float64(max(sum.Attempts, 1))
	result := &fleet.Case{Name: name, Params: map[string]float64{"agents": float64(m.cfg.Agents),
		"servers": float64(m.cfg.Servers), "services": float64(m.cfg.Services), "rate": m.cfg.Rate}}
	result.Add("requests", "count", float64(sum.Requests))
	result.Add(FigureGoodput, "share", float64(sum.Served)/offered)
	m.addGoodputs(result)
	result.Add(FigureGoodput+" in the worst second", "share", worst)
	result.Add(FigureRejectedFirst, "share", float64(sum.RejectedFirst)/offered)
	result.Add("refused for good", "share", float64(sum.Rejected)/offered)
	result.Add("attempts a request", "count", attempts/offered)
	result.Add("attempts across zones", "share", float64(sum.CrossZone)/attempts)
	result.Add("attempts across regions", "share", float64(sum.CrossRegion)/attempts)
	result.Add("wait before the first attempt, p50", "ms", m.waits.ms(50))
	result.Add(FigureFirstAttemptWaitP99, "ms", m.waits.ms(99))
	result.Add(FigureMaxWarmupShare, "share", load.maxShare)
	if m.cfg.WorkSpread > 0 {
		result.Add("the same by the requests' very work", "share", load.maxActualShare)
	}
	result.Add(FigureFailedWarmingUp, "count", float64(load.failed))
	result.Add(FigureFailedByNotified, "count", float64(load.failedByNotified))
	result.Add(FigureMaxPending, "count", float64(load.maxPending))
	result.Add("held by an agent, most", "count", float64(m.maxQueued))
	result.Add("probes a request", "count", float64(sum.HealthChecks)/offered)
	result.Add("calls to discovery", "count", float64(sum.DiscoveryCalls))
	m.addNeeds(result, &sum)
	return result
}
