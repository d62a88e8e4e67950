package controlplane

import (
	"time"

	"ploverreel/internal/endpointlist"
)

// zoneLost takes a zone's servers off the list in one change, and brings them back as new processes in
// another.
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

// firstZone returns the servers of the first zone with this health; ready ones as started just now.
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
