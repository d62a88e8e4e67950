package controlplane

import (
	"time"

	"ploverreel/internal/endpointlist"
)

// zoneLost removes the servers of one zone from the list in one change. A second change adds them
// again as new processes.
var zoneLost = fault{"zone lost and back", func(c *caseRun) {
	all := c.fleet.agentsOf(allStandIns)
	for _, change := range []struct{ prefix, health string }{{"gone", "gone"}, {"back", "ready"}} {
		hosts := c.fleet.plan.firstZoneHosts(change.health)
		delays := newDelayStats()
		c.measureChange(delays, all, hosts...)
		delays.addFigures(&c.result, change.prefix)
		c.result.Add(change.prefix+"_servers", "count", float64(len(hosts)))
		c.sleep(changeInterval)
		c.endPhase(change.prefix)
	}
}}

// firstZoneHosts returns the servers of the first zone with the given health. Servers that are
// ready have the current time as the start of their process.
func (p *Plan) firstZoneHosts(health string) []endpointlist.Host {
	var hosts []endpointlist.Host
	for i, host := range p.initialHosts() {
		if p.zoneOf(i) != 0 {
			continue
		}
		host.Health = health
		if health == "ready" {
			host.BornMs = float64(time.Now().UnixMilli())
		}
		hosts = append(hosts, host)
	}
	return hosts
}
