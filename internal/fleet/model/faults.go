package model

import (
	"ploverreel/policy"
)

// The sizes and durations of the scenarios' faults.
const (
	// SettleS is the time in seconds that a scenario runs before its fault begins. Figures leave it
	// out.
	SettleS = 2.0
	// failureDetectionMs is the delay in ms after which discovery reports a failed machine as gone.
	failureDetectionMs = 2000.0
	// zoneOutageMs is the duration of a zone's failure in ms, and partitionMs that of a region's
	// partition.
	zoneOutageMs, partitionMs = 4000.0, 6000.0
	// halfOutageMs is the duration in ms of the failure of half of the servers.
	halfOutageMs = 5000.0
	// racksPerZone is the number of racks in a zone. failedRack is the index of the rack that fails.
	racksPerZone, failedRack = 14, 3
	// replacedShare is the share of the servers that an ordinary deployment replaces. The scenario
	// replaces all of them within replacementWindowMs.
	replacedShare, replacementWindowMs = 0.08, 3000.0
	// burstRateFactor multiplies the rate of requests for burstMs while a zone warms up.
	// restartedAgentShare is the share of the agents that restart when the burst begins.
	burstRateFactor, burstMs, restartedAgentShare = 1.5, 3000.0, 0.1
	// finishS is the time in seconds that a scenario runs on after its last request, so that the
	// requests in flight end.
	finishS = 1.5
)

// upServersInZone returns the servers of a zone that are up.
func (m *Model) upServersInZone(zone int) []*server {
	var all []*server
	for _, server := range m.servers {
		if server.zone == zone && !server.down && !server.silent {
			all = append(all, server)
		}
	}
	return all
}

// failMachines makes the machines of servers fail silently. Discovery lists the servers as gone after
// failureDetectionMs.
func (m *Model) failMachines(servers []*server) {
	for _, server := range servers {
		server.failSilently()
	}
	m.scheduleAfter(failureDetectionMs, func() {
		for _, server := range servers {
			server.listed = policy.HealthGone
		}
		m.publish(servers)
	})
}

// failRack makes one rack of the first zone fail. The zone's servers are assigned to the racks in
// turn, so that a rack holds servers of many services.
func (m *Model) failRack() {
	var rack []*server
	for i, server := range m.upServersInZone(0) {
		if i%racksPerZone == failedRack {
			rack = append(rack, server)
		}
	}
	m.failMachines(rack)
}

// zoneFailureRateFactor returns the factor by which the rate of the other zones rises while one
// zone is down.
func zoneFailureRateFactor(cfg *Config) float64 {
	return float64(cfg.Zones) / max(float64(cfg.Zones-1), 1)
}

// failZone makes the servers and agents of the first zone fail for zoneOutageMs. The traffic of the
// zone's clients goes to the other zones meanwhile. The servers return in slow start and the agents
// without state.
func (m *Model) failZone() {
	lost := m.upServersInZone(0)
	m.failMachines(lost)
	for _, client := range m.clients {
		if client.zone == 0 {
			client.agent.ended, client.failed = true, true
		}
	}
	m.rateFactor = zoneFailureRateFactor(&m.cfg)
	m.scheduleAfter(zoneOutageMs, func() {
		m.rateFactor = 1
		m.restart(lost)
		for _, client := range m.clients {
			if client.zone == 0 {
				client.failed = false
				client.restart()
			}
		}
	})
}

// restart starts new processes of servers, in slow start, and publishes them through discovery.
func (m *Model) restart(servers []*server) {
	for _, server := range servers {
		server.start()
		server.listed = policy.HealthReady
	}
	m.publish(servers)
}

// failHalf makes every second server of each service fail for halfOutageMs. A service with a single
// server keeps it.
func (m *Model) failHalf() {
	var half []*server
	for _, service := range m.services {
		for i := 1; i < len(service.servers); i += 2 {
			half = append(half, service.servers[i])
		}
	}
	m.failMachines(half)
	m.scheduleAfter(halfOutageMs, func() { m.restart(half) })
}

// partitionRegion partitions the first region from all others for partitionMs.
func (m *Model) partitionRegion() {
	m.isolated[0] = true
	m.scheduleAfter(partitionMs, func() { m.isolated[0] = false })
}

// replaceServers replaces a random share of the servers. For each it starts a new server in the
// same zone and lists the old one as draining. The old server ends after the drain grace and the
// maximum delay of the notification.
func (m *Model) replaceServers(share float64) {
	count := max(int(share*float64(len(m.servers))), 1)
	for _, i := range m.rng.Perm(len(m.servers))[:count] {
		old := m.servers[i]
		m.scheduleAfter(m.rng.Float64()*replacementWindowMs, func() {
			replacement := m.addServer(old.service, old.zone)
			replacement.start()
			old.listed = policy.HealthDraining
			m.publish([]*server{replacement, old})
			m.scheduleAfter(m.cfg.Settings.Contract.DrainGraceMs+m.cfg.ListMs, func() {
				old.stop()
				old.down = true
				m.publish([]*server{old})
			})
		})
	}
}

// restartZone restarts all servers of the first zone, and restartedAgentShare of all agents, while
// the rate of requests bursts.
func (m *Model) restartZone() {
	zone := m.upServersInZone(0)
	for _, server := range zone {
		server.stop()
	}
	m.restart(zone)
	m.rateFactor = burstRateFactor
	m.scheduleAfter(burstMs, func() { m.rateFactor = 1 })
	for _, client := range m.clients {
		if m.rng.Float64() < restartedAgentShare {
			client.restart()
		}
	}
}

// restartAll restarts all servers and all agents, so that no agent has ever called a warm server. If
// Variant.RestartS is set, each agent restarts once more while the servers warm up. If
// Variant.StaleStart is set, agents use an old endpoint list until they are notified of the restart.
func (m *Model) restartAll() {
	if m.cfg.StaleStart {
		for _, service := range m.services {
			service.staleList = service.list()
		}
		for _, client := range m.clients {
			client.restartNotifiedAt = m.now + client.listDelayMs
		}
	}
	for _, server := range m.servers {
		server.stop()
	}
	m.restart(m.servers)
	for _, client := range m.clients {
		client.restart()
		if m.cfg.RestartS > 0 {
			m.scheduleAfter(1000*m.cfg.RestartS*m.rng.Float64(), client.restart)
		}
	}
}
