package datapath

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"ploverreel/internal/fleet"
)

// measurement holds the results of the measured calls of a scenario.
type measurement struct {
	scenario              scenario
	testbed               *testbed
	clientCalls           float64 // sent through the agents, by all chains
	throughAgents, direct *callStats
	before, after         counters
}

// measure sends the calls, through the agents and direct at the same time, and reads what they cost. Its error
// is the context's cause, of a process whose figures can't be read, or that no direct call was served.
func (p *Plan) measure(ctx context.Context, t *testbed, s scenario) (*measurement, error) {
	m := &measurement{scenario: s, testbed: t, clientCalls: float64(p.Calls * s.chains), throughAgents: newCallStats(), direct: newCallStats()}
	var err error
	if m.before, err = t.readCounters(); err != nil {
		return nil, errors.Join(context.Cause(ctx), err)
	}
	p.sendCalls(ctx, t, s, p.Calls, 1, m.throughAgents, m.direct)
	m.after, err = t.readCounters()
	if err := errors.Join(context.Cause(ctx), err); err != nil {
		return nil, err
	}
	if m.direct.served == 0 {
		return nil, fmt.Errorf("%d direct calls, none served, the first: %w", m.directLost(), m.direct.firstErr)
	}
	return m, nil
}

// directLost returns the direct calls that were not served. Servers that refuse nothing lose calls only
// where the machine stands still for seconds: latencies of such a case are the machine's.
func (m *measurement) directLost() int { return m.direct.failed + m.direct.refused }

// handledCalls returns the calls that all agents handled: those of the load generator, and of servers to the
// next hop.
func (m *measurement) handledCalls() float64 {
	return m.clientCalls + float64(m.after.nextHopCalls-m.before.nextHopCalls)
}

// addCalls adds how the calls ended.
func (m *measurement) addCalls(c *fleet.Case) {
	c.Add("calls", "count", m.clientCalls)
	c.Add("served", "count", float64(m.throughAgents.served))
	c.Add("refused", "count", float64(m.throughAgents.refused))
	c.Add("failed", "count", float64(m.throughAgents.failed))
	c.Add("served_share", "share", float64(m.throughAgents.served)/m.clientCalls)
	c.Add("direct_lost", "count", float64(m.directLost()))
}

// addLatencies adds the quantiles of the latencies, through the agents and direct, and of the send delay.
func (m *measurement) addLatencies(c *fleet.Case) {
	for _, q := range []struct {
		name    string
		percent float64
	}{{"p50", 50}, {"p99", 99}, {"p999", 99.9}} {
		direct, through := m.direct.latencyMs(q.percent), m.throughAgents.latencyMs(q.percent)
		c.Add("direct_"+q.name, "ms", direct)
		if m.throughAgents.served > 0 { // else there is nothing to compare
			c.Add("through_"+q.name, "ms", through)
			c.Add("added_"+q.name, "ms", through-direct)
			c.Add("added_a_hop_"+q.name, "ms", (through-direct)/float64(m.scenario.hops))
		}
	}
	c.Add("late_p99", "ms", float64(m.throughAgents.sendDelay.ValueAtQuantile(99))/1000)
}

// addUsage adds the processor time and the memory of the agents.
func (m *measurement) addUsage(c *fleet.Case) {
	agents := float64(len(m.testbed.agents))
	cpu := (m.after.cpu - m.before.cpu).Seconds()
	c.Add("cpu_per_1000", "ms", cpu*1000/m.handledCalls()*1000)
	c.Add("cpu_share", "share", cpu/agents/m.after.readAt.Sub(m.before.readAt).Seconds())
	c.Add("rss", "bytes", m.after.rss/agents)
	c.Add("rss_peak", "bytes", m.after.rssPeak/agents)
}

// addConnections adds the connections of the agents, their attempts, and the most calls open at one time.
func (m *measurement) addConnections(c *fleet.Case) {
	agents := float64(len(m.testbed.agents))
	open, peak, used := 0, 0, 0
	for _, h := range m.testbed.hopServers {
		openNow, _, peakOpen, usedServers := h.connections()
		open, peak, used = open+openNow, peak+peakOpen, used+usedServers
	}
	c.Add("connections", "count", float64(open)/agents)
	c.Add("connections_peak", "count", float64(peak)/agents)
	c.Add("connections_new_per_1000", "count", float64(m.after.connectionsOpened-m.before.connectionsOpened)/m.handledCalls()*1000)
	c.Add("client_connections_new", "count", float64(m.after.clientConnectionsOpened-m.before.clientConnectionsOpened))
	c.Add("servers_used", "count", float64(used)/float64(m.scenario.hops))
	c.Add("attempts_a_call", "count", float64(m.after.serverRequests-m.before.serverRequests)/m.handledCalls())
	c.Add("open_peak", "count", float64(m.throughAgents.peakOpen)/float64(m.scenario.chains))
}

// loadAverage returns the machine's over the last minute, 0 where it can't be read. With a load above the
// number of cores, latencies are partly the machine's.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	x, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return x
}
