package model

import (
	"ploverreel/policy"
)

// The sizes and durations of the scenarios' faults.
const (
	// SettleS is the time in seconds that a scenario runs before its fault begins. Figures leave it out.
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

// inZone returns the servers of a zone that are up.
func (m *Model) inZone(zone int) []*server {
	var all []*server
	for _, server := range m.servers {
		if server.zone == zone && !server.down && !server.silent {
			all = append(all, server)
		}
	}
	return all
}

// loseMachines has the machines of servers fail, and discovery report it after detectionMs.
func (m *Model) loseMachines(servers []*server) {
	for _, server := range servers {
		server.failSilently()
	}
	m.after(failureDetectionMs, func() {
		for _, server := range servers {
			server.listed = policy.HealthGone
		}
		m.announce(servers)
	})
}

// loseRack takes each racks-th server of the first zone: a rack holds servers of many services.
func (m *Model) loseRack() {
	var rack []*server
	for i, server := range m.inZone(0) {
		if i%racksPerZone == failedRack {
			rack = append(rack, server)
		}
	}
	m.loseMachines(rack)
}

// lostZonePeak returns the factor of the other zones' rate while one is lost.
func lostZonePeak(cfg *Config) float64 { return float64(cfg.Zones) / max(float64(cfg.Zones-1), 1) }

// loseZone takes the first zone's servers and agents; the traffic of its clients goes to the others.
func (m *Model) loseZone() {
	lost := m.inZone(0)
	m.loseMachines(lost)
	for _, client := range m.clients {
		if client.zone == 0 {
			client.agent.ended, client.lost = true, true
		}
	}
	m.rateFactor = lostZonePeak(&m.cfg)
	m.after(zoneOutageMs, func() {
		m.rateFactor = 1
		m.restart(lost)
		for _, client := range m.clients {
			if client.zone == 0 {
				client.lost = false
				client.restart()
			}
		}
	})
}

// restart starts servers anew and has discovery publish it.
func (m *Model) restart(servers []*server) {
	for _, server := range servers {
		server.start()
		server.listed = policy.HealthReady
	}
	m.announce(servers)
}

// loseHalf takes every second server of each service; services of one server keep it.
func (m *Model) loseHalf() {
	var half []*server
	for _, service := range m.services {
		for i := 1; i < len(service.servers); i += 2 {
			half = append(half, service.servers[i])
		}
	}
	m.loseMachines(half)
	m.after(halfOutageMs, func() { m.restart(half) })
}

// cutRegion partitions the first region from all others.
func (m *Model) cutRegion() {
	m.isolated[0] = true
	m.after(partitionMs, func() { m.isolated[0] = false })
}

// replace starts new servers for a part of the old ones, which drain and end.
func (m *Model) replace(part float64) {
	count := max(int(part*float64(len(m.servers))), 1)
	for _, i := range m.rng.Perm(len(m.servers))[:count] {
		old := m.servers[i]
		m.after(m.rng.Float64()*replacementWindowMs, func() {
			fresh := m.addServer(old.service, old.zone)
			fresh.start()
			old.listed = policy.HealthDraining
			m.announce([]*server{fresh, old})
			m.after(m.cfg.Settings.Contract.DrainGraceMs+m.cfg.ListMs, func() {
				old.stop()
				old.down = true
				m.announce([]*server{old})
			})
		})
	}
}

// coldZone restarts the first zone's servers and a part of all agents under a burst.
func (m *Model) coldZone() {
	zone := m.inZone(0)
	for _, server := range zone {
		server.stop()
	}
	m.restart(zone)
	m.rateFactor = burstRateFactor
	m.after(burstMs, func() { m.rateFactor = 1 })
	for _, client := range m.clients {
		if m.rng.Float64() < restartedAgentShare {
			client.restart()
		}
	}
}

// startAll restarts everything: no agent has ever met a warm server. Agents may start once more while
// the servers warm up, and use an old endpoint list until they are notified.
func (m *Model) startAll() {
	if m.cfg.StaleStart {
		for _, service := range m.services {
			service.before = service.list()
		}
		for _, client := range m.clients {
			client.notifiedAt = m.now + client.listMs
		}
	}
	for _, server := range m.servers {
		server.stop()
	}
	m.restart(m.servers)
	for _, client := range m.clients {
		client.restart()
		if m.cfg.RestartS > 0 {
			m.after(1000*m.cfg.RestartS*m.rng.Float64(), client.restart)
		}
	}
}
