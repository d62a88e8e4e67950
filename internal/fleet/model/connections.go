package model

import (
	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// idle are the times since which an agent's connections to a server rest, the latest last. Each
// is kept for the settings' time; one on which an attempt failed ends all of the server's.
type idle []float64

// kept are those that rest no longer than the settings keep them.
func (a *agent) kept(s *server) idle {
	rest := a.idle[s]
	for len(rest) > 0 && a.m.now-rest[0] > a.m.cfg.Settings.Limits.KeepaliveMs {
		rest = rest[1:]
	}
	return rest
}

// takeIdle takes the connection to the server that rested last, and tells whether there is one.
func (a *agent) takeIdle(s *server) bool {
	rest := a.kept(s)
	found := len(rest) > 0
	if found {
		rest = rest[:len(rest)-1]
	}
	a.idle[s] = rest
	return found
}

// addNeeds adds what an agent needs in the mean: connections made, servers that it met since its
// start, connections that it keeps at the end and its module's work.
func (m *Model) addNeeds(c *fleet.Case, sum *Count) {
	met, kept, work := 0, 0, uint64(0)
	for _, client := range m.clients {
		a := client.agent
		met += len(a.idle)
		for s := range a.idle {
			kept += len(a.kept(s))
		}
		if b, ok := a.b.(*policy.Balancer); ok {
			work += b.Work()
		}
	}
	agents := float64(len(m.clients))
	c.Add("connections made by an agent", "count", float64(sum.Connects)/agents)
	c.Add("connections kept by an agent", "count", float64(kept)/agents)
	c.Add("servers met by an agent", "count", float64(met)/agents)
	c.Add("module's work of an agent since its start", "count", float64(work)/agents)
}
