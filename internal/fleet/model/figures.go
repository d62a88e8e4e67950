package model

import (
	"ploverreel/internal/fleet"
)

// The names of the figures that other code reads. They are keys of stored results, and so some keep a
// term that the code has since replaced.
const (
	FigureGoodput             = "worth served"
	FigureMaxWarmupShare      = "cold server's load to its budget, most"
	FigureFailedWarmingUp     = "cold servers fallen"
	FigureFailedByNotified    = "cold servers fallen by agents that knew"
	FigureRejectedFirst       = "turned away at first"
	FigureFirstAttemptWaitP99 = "wait before the first attempt, p99"
	FigureMaxPending          = "server's queue, most"
)

// Count holds the counts of one second, over all agents.
type Count struct {
	Requests        int // requests that clients first sent in this second
	Served          int // the Requests answered within their latency objective, in this second or later
	RejectedFirst   int // the Requests whose first send was rejected
	Rejected        int // the Requests rejected with no retry by the client left
	WithinObjective int // answers in this second within the latency objective
	Attempts        int // all attempts
	Retries         int // attempts after the first of a request to the agent
	CrossZone       int // attempts at a server in another zone
	CrossRegion     int // the CrossZone attempts at a server in another region
	MaxPending      int // maximum number of requests pending on all servers together
	DiscoveryCalls  int // calls to discovery
	HealthChecks    int
	Connects        int // attempts for which the agent had no idle connection to the server
}

// add adds another count. Of the maxima it keeps the larger.
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

// second returns the count of the current second.
func (m *Model) second() *Count { return m.secondOf(m.now) }

// secondOf returns the count of the second that contains a time in ms.
func (m *Model) secondOf(at float64) *Count {
	i := int((at - StartMs) / 1000)
	for len(m.secondCounts) <= i {
		m.secondCounts = append(m.secondCounts, Count{})
	}
	return &m.secondCounts[i]
}

// total returns the sum of the counts of all seconds after SettleS, and the lowest goodput share of
// one whole second.
func (m *Model) total() (sum Count, worst float64) {
	worst = 1
	for _, second := range m.secondCounts[int(SettleS):] {
		sum.add(&second)
		if float64(second.Requests) > m.cfg.Rate/2 { // leaves out seconds that the run covers only in part
			worst = min(worst, float64(second.Served)/float64(second.Requests))
		}
	}
	return sum, worst
}

// warmupSummary summarizes the servers' loads while they warmed up, and the queues of all servers.
type warmupSummary struct {
	maxShare         float64 // maximum of warmupLoad.maxShare
	maxActualShare   float64 // maximum of warmupLoad.maxActualShare
	failed           int     // number of servers with warmupLoad.failed
	failedByNotified int     // number of servers with warmupLoad.failedByNotified
	maxPending       int     // maximum number of requests pending on one server, warm or not
}

// warmupSummary returns the summary over all servers.
func (m *Model) warmupSummary() warmupSummary {
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

// figures returns a case with the figures over all seconds after SettleS.
func (m *Model) figures(name string) *fleet.Case {
	m.second() // extends the counts to the current second, also without events
	sum, worst := m.total()
	load := m.warmupSummary()
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
	result.Add("wait before the first attempt, p50", "ms", m.firstAttemptWaits.percentileMs(50))
	result.Add(FigureFirstAttemptWaitP99, "ms", m.firstAttemptWaits.percentileMs(99))
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
	m.addAgentFigures(result, &sum)
	return result
}
