package model

import (
	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// idleSince has the times in ms since which an agent's connections to a server are idle, the latest
// last. Each is kept for the settings' keepalive time; an attempt that fails ends all of the server's.
type idleSince []float64

// idleTimes returns those of the connections that are idle no longer than the settings keep them.
func (a *agent) idleTimes(server *server) idleSince {
	idle := a.idle[server]
	for len(idle) > 0 && a.m.now-idle[0] > a.m.cfg.Settings.Limits.KeepaliveMs {
		idle = idle[1:]
	}
	return idle
}

// takeIdle takes the connection to the server that became idle last, and reports whether there is one.
func (a *agent) takeIdle(server *server) bool {
	idle := a.idleTimes(server)
	found := len(idle) > 0
	if found {
		idle = idle[:len(idle)-1]
	}
	a.idle[server] = idle
	return found
}

// addNeeds adds what an agent needs in the mean: connections opened, servers that it met since its
// start, connections that it keeps at the end and the steps of its decision module.
func (m *Model) addNeeds(result *fleet.Case, sum *Count) {
	met, kept, work := 0, 0, uint64(0)
	for _, client := range m.clients {
		agent := client.agent
		met += len(agent.idle)
		for s := range agent.idle {
			kept += len(agent.idleTimes(s))
		}
		if balancer, ok := agent.decider.(*policy.Balancer); ok {
			work += balancer.Work()
		}
	}
	agents := float64(len(m.clients))
	result.Add("connections made by an agent", "count", float64(sum.Connects)/agents)
	result.Add("connections kept by an agent", "count", float64(kept)/agents)
	result.Add("servers met by an agent", "count", float64(met)/agents)
	result.Add("module's work of an agent since its start", "count", float64(work)/agents)
}
