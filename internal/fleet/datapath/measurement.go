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

// measurement holds the results of the measured calls of one scenario.
type measurement struct {
	scenario              scenario
	testbed               *testbed
	clientCalls           float64 // calls that the load generator sends through all chains
	throughAgents, direct *callStats
	before, after         counters // read before the first and after the last measured call
}

// measure sends the measured calls, through the agents and directly at the same time, and reads the
// counters before and after. It returns an error if the context ends, if the usage of an agent
// cannot be read, or if no direct call was served.
func (p *Plan) measure(ctx context.Context, t *testbed, s scenario) (*measurement, error) {
	m := &measurement{scenario: s, testbed: t, clientCalls: float64(p.Calls * s.chains), throughAgents: newCallStats(), direct: newCallStats()}
	var err error
	if m.before, err = t.readCounters(); err != nil {
		return nil, errors.Join(context.Cause(ctx), err)
	}
	p.sendCalls(ctx, t, s, p.Calls, measuredPhase, m.throughAgents, m.direct)
	m.after, err = t.readCounters()
	if err := errors.Join(context.Cause(ctx), err); err != nil {
		return nil, err
	}
	if m.direct.served == 0 {
		return nil, fmt.Errorf("none of %d direct calls was served; the first error: %w", m.directLost(), m.direct.firstErr)
	}
	return m, nil
}

// directLost returns how many direct calls were not served. The stand-in servers refuse nothing, so
// a direct call is lost only if the machine stalls for seconds. The latencies of such a case are
// those of the machine, not of the agents.
func (m *measurement) directLost() int { return m.direct.failed + m.direct.refused }

// handledCalls returns how many calls all agents together handled: those of the load generator and
// those of servers to their next hop.
func (m *measurement) handledCalls() float64 {
	return m.clientCalls + float64(m.after.nextHopCalls-m.before.nextHopCalls)
}

// addCalls adds the numbers of calls by outcome.
func (m *measurement) addCalls(c *fleet.Case) {
	c.Add("calls", "count", m.clientCalls)
	c.Add("served", "count", float64(m.throughAgents.served))
	c.Add("refused", "count", float64(m.throughAgents.refused))
	c.Add("failed", "count", float64(m.throughAgents.failed))
	c.Add("served_share", "share", float64(m.throughAgents.served)/m.clientCalls)
	c.Add("direct_lost", "count", float64(m.directLost()))
}

// addLatencies adds quantiles of the latencies through the agents and of direct calls, their
// differences, and the p99 of the send delay.
func (m *measurement) addLatencies(c *fleet.Case) {
	for _, q := range []struct {
		name    string
		percent float64
	}{{"p50", 50}, {"p99", 99}, {"p999", 99.9}} {
		direct, through := m.direct.latencyMs(q.percent), m.throughAgents.latencyMs(q.percent)
		c.Add("direct_"+q.name, "ms", direct)
		if m.throughAgents.served > 0 { // otherwise there are no latencies to compare
			c.Add("through_"+q.name, "ms", through)
			c.Add("added_"+q.name, "ms", through-direct)
			c.Add("added_a_hop_"+q.name, "ms", (through-direct)/float64(m.scenario.hops))
		}
	}
	c.Add("late_p99", "ms", float64(m.throughAgents.sendDelay.ValueAtQuantile(99))/1000)
}

// addUsage adds the processor time and the memory of an agent, as means over the agents.
func (m *measurement) addUsage(c *fleet.Case) {
	agents := float64(len(m.testbed.agents))
	cpu := (m.after.cpu - m.before.cpu).Seconds()
	c.Add("cpu_per_1000", "ms", cpu*1000/m.handledCalls()*1000)
	c.Add("cpu_share", "share", cpu/agents/m.after.readAt.Sub(m.before.readAt).Seconds())
	c.Add("rss", "bytes", m.after.rss/agents)
	c.Add("rss_peak", "bytes", m.after.rssPeak/agents)
}

// addConnections adds the connections of the agents, their attempts, and the maximum number of
// calls open at the same time.
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

// loadAverage returns the machine's load average over the last minute, or 0 if it cannot be read.
// If it is above the number of cores, the latencies include time in which processes waited for a
// core.
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
