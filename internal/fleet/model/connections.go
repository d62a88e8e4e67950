package model

import (
	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// idleSince holds the times in ms at which an agent's connections to one server became idle, the
// latest last. An idle connection is closed after the settings' KeepaliveMs. A failed attempt
// closes all connections to its server.
type idleSince []float64

// idleTimes returns the times of the connections to a server that are still open, as they have been
// idle for at most KeepaliveMs.
func (a *agent) idleTimes(server *server) idleSince {
	idle := a.idle[server]
	for len(idle) > 0 && a.m.now-idle[0] > a.m.cfg.Settings.Limits.KeepaliveMs {
		idle = idle[1:]
	}
	return idle
}

// takeIdle removes the connection to a server that became idle last and reports whether there was
// one.
func (a *agent) takeIdle(server *server) bool {
	idle := a.idleTimes(server)
	found := len(idle) > 0
	if found {
		idle = idle[:len(idle)-1]
	}
	a.idle[server] = idle
	return found
}

// addAgentFigures adds the figures of an agent's resource use, as means over all agents:
// connections opened, connections that are idle at the end, servers called since its start, and
// steps of its decision module.
func (m *Model) addAgentFigures(result *fleet.Case, sum *Count) {
	called, idle, steps := 0, 0, uint64(0)
	for _, client := range m.clients {
		agent := client.agent
		called += len(agent.idle)
		for s := range agent.idle {
			idle += len(agent.idleTimes(s))
		}
		if balancer, ok := agent.decider.(*policy.Balancer); ok {
			steps += balancer.Work()
		}
	}
	agents := float64(len(m.clients))
	result.Add("connections made by an agent", "count", float64(sum.Connects)/agents)
	result.Add("connections kept by an agent", "count", float64(idle)/agents)
	result.Add("servers met by an agent", "count", float64(called)/agents)
	result.Add("module's work of an agent since its start", "count", float64(steps)/agents)
}
