package model

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// What the days are made of.
const (
	// Settle is how many seconds a day plays before its trouble and before it is counted.
	Settle = 2.0
	// noticeMs is after what time discovery tells of a machine that went silent.
	noticeMs = 2000.0
	// zoneMs is how long a zone is lost, cutMs how long a region is cut off.
	zoneMs, cutMs = 4000.0, 6000.0
	// halfMs is for how long half of the servers are lost.
	halfMs = 5000.0
	// racks is how many racks a zone's machines stand in, rackPart which of them is lost.
	racks, rackPart = 14, 3
	// replacedPart is the part of the servers replaced on an ordinary day, here all within
	// replaceMs.
	replacedPart, replaceMs = 0.08, 3000.0
	// burst is how much more is asked while a zone is cold, for burstMs; restarted is the
	// part of the agents that start anew then.
	burst, burstMs, restarted = 1.5, 3000.0, 0.1
	// drainS is what a day plays after its last request.
	drainS = 1.5
)

// Day is one thing that may happen to a fleet.
type Day struct {
	Name   string
	Help   string
	peak   func(cfg *Config) float64 // the most that its bursts multiply the rate by
	happen func(m *Model)            // begins its trouble
}

// Days are all of them.
func Days() []Day {
	return []Day{
		{"calm", "nothing happens", nil, nil},
		{"rack", "a rack's machines vanish silently, discovery tells 2 s later", nil, (*Model).loseRack},
		{"zone", "a zone's machines vanish for 4 s and return cold; its traffic goes to the others meanwhile",
			lostZonePeak, (*Model).loseZone},
		{"half", "every second server of each service vanishes for 5 s and returns cold", nil, (*Model).loseHalf},
		{"region", "a region reaches no other for 6 s, both ways; lists stay as they are", nil, (*Model).cutRegion},
		{"replace", "8% of the servers are replaced within 3 s by new ones, which are cold", nil,
			func(m *Model) { m.replace(replacedPart) }},
		{"cold", "a zone's servers all start anew at once, a tenth of the agents as well, under a burst of half as " +
			"much again", func(*Config) float64 { return burst }, (*Model).coldZone},
		{"start", "all servers and all agents start anew at once", nil, (*Model).startAll},
	}
}

// Play plays the day on a new fleet for so many seconds after the settling, and counts it.
func (d Day) Play(ctx context.Context, cfg Config, seconds float64, log *slog.Logger) (*fleet.Case, error) {
	if d.peak != nil {
		cfg.Peak = d.peak(&cfg)
	}
	m, err := New(cfg)
	if err != nil {
		return nil, err
	}
	m.boot()
	if err := m.play(ctx, Settle); err != nil {
		return nil, err
	}
	m.waits, m.mostHeld = newWaits(), 0
	m.shares.begin(&m.cfg, m.now)
	if d.happen != nil {
		d.happen(m)
	}
	for played := 0.0; played < seconds; played++ {
		if err := m.play(ctx, min(1, seconds-played)); err != nil {
			return nil, err
		}
		s := m.secondOf(m.now - 1)
		log.Info("played", "day", d.Name, "s", m.sinceStart(), "asked", s.Asked, "won", s.Won, "attempts", s.Sends)
	}
	m.stopped = true
	if err := m.play(ctx, drainS); err != nil {
		return nil, err
	}
	return m.figures(d.Name), nil
}

// Compare plays the day under another configuration and adds to c what that serves of each
// class, tenant and effect.
func (d Day) Compare(ctx context.Context, cfg Config, seconds float64, log *slog.Logger, c *fleet.Case) error {
	other, err := d.Play(ctx, cfg, seconds, log)
	if err != nil {
		return err
	}
	for _, f := range other.Figures {
		if f.Name == "worth served" || strings.HasPrefix(f.Name, servedOf) {
			c.Add(f.Name+", seen late", f.Unit, f.Value)
		}
	}
	return nil
}

func (m *Model) sinceStart() float64 { return (m.now - Start) / 1000 }

// figures counts all since the settling.
func (m *Model) figures(name string) *fleet.Case {
	m.second() // so that there are all to the last
	var sum Count
	worst := 1.0
	for _, s := range m.seconds[int(Settle):] {
		sum.add(&s)
		if float64(s.Asked) > m.cfg.Rate/2 { // a whole second
			worst = min(worst, float64(s.Served)/float64(s.Asked))
		}
	}
	cold, veryCold, fell, ours, queue := 0.0, 0.0, 0, 0, 0
	for _, s := range m.servers {
		cold, veryCold, queue = max(cold, s.cold.most), max(veryCold, s.cold.worst), max(queue, s.most)
		if s.cold.fell {
			fell++
		}
		if s.cold.ours {
			ours++
		}
	}
	asked, sends := float64(max(sum.Asked, 1)), float64(max(sum.Sends, 1))
	c := &fleet.Case{Name: name, Params: map[string]float64{"agents": float64(m.cfg.Agents),
		"servers": float64(m.cfg.Servers), "services": float64(m.cfg.Services), "rate": m.cfg.Rate}}
	c.Add("requests", "count", float64(sum.Asked))
	c.Add("worth served", "share", float64(sum.Served)/asked)
	m.addShares(c)
	c.Add("worth served in the worst second", "share", worst)
	c.Add("turned away at first", "share", float64(sum.TurnedAway)/asked)
	c.Add("refused for good", "share", float64(sum.Refused)/asked)
	c.Add("attempts a request", "count", sends/asked)
	c.Add("attempts across zones", "share", float64(sum.CrossZone)/sends)
	c.Add("attempts across regions", "share", float64(sum.CrossRegion)/sends)
	c.Add("wait before the first attempt, p50", "ms", m.waits.ms(50))
	c.Add("wait before the first attempt, p99", "ms", m.waits.ms(99))
	c.Add("cold server's load to its budget, most", "share", cold)
	if m.cfg.Heavy > 0 {
		c.Add("the same by the requests' very work", "share", veryCold)
	}
	c.Add("cold servers fallen", "count", float64(fell))
	c.Add("cold servers fallen by agents that knew", "count", float64(ours))
	c.Add("server's queue, most", "count", float64(queue))
	c.Add("held by an agent, most", "count", float64(m.mostHeld))
	c.Add("probes a request", "count", float64(sum.Probes)/asked)
	c.Add("calls to discovery", "count", float64(sum.Calls))
	m.addNeeds(c, &sum)
	return c
}

// inZone are the zone's servers that are up.
func (m *Model) inZone(zone int) []*server {
	var all []*server
	for _, s := range m.servers {
		if s.zone == zone && !s.down && !s.dark {
			all = append(all, s)
		}
	}
	return all
}

// lose has machines vanish, and discovery notice it.
func (m *Model) lose(servers []*server) {
	for _, s := range servers {
		s.vanish()
	}
	m.after(noticeMs, func() {
		for _, s := range servers {
			s.listed = policy.HealthGone
		}
		m.announce(servers)
	})
}

// loseRack takes each racks-th server of the first zone: a rack holds servers of many services.
func (m *Model) loseRack() {
	var rack []*server
	for i, s := range m.inZone(0) {
		if i%racks == rackPart {
			rack = append(rack, s)
		}
	}
	m.lose(rack)
}

// lostZonePeak is what the other zones are asked while one is lost.
func lostZonePeak(cfg *Config) float64 { return float64(cfg.Zones) / max(float64(cfg.Zones-1), 1) }

// loseZone takes the first zone's servers and agents; what its agents were asked, others are.
func (m *Model) loseZone() {
	lost := m.inZone(0)
	m.lose(lost)
	for _, c := range m.clients {
		if c.zone == 0 {
			c.agent.ended, c.lost = true, true
		}
	}
	m.burst = lostZonePeak(&m.cfg)
	m.after(zoneMs, func() {
		m.burst = 1
		m.restart(lost)
		for _, c := range m.clients {
			if c.zone == 0 {
				c.lost = false
				c.restart()
			}
		}
	})
}

// restart starts servers anew, and has discovery tell of it.
func (m *Model) restart(servers []*server) {
	for _, s := range servers {
		s.begin()
		s.listed = policy.HealthReady
	}
	m.announce(servers)
}

// loseHalf takes every second server of each service; services of one server keep it.
func (m *Model) loseHalf() {
	var half []*server
	for _, v := range m.services {
		for i := 1; i < len(v.servers); i += 2 {
			half = append(half, v.servers[i])
		}
	}
	m.lose(half)
	m.after(halfMs, func() { m.restart(half) })
}

func (m *Model) cutRegion() {
	m.cut[0] = true
	m.after(cutMs, func() { m.cut[0] = false })
}

// replace starts new servers for a part of the old ones, which drain and end.
func (m *Model) replace(part float64) {
	n := max(int(part*float64(len(m.servers))), 1)
	for _, i := range m.rng.Perm(len(m.servers))[:n] {
		old := m.servers[i]
		m.after(m.rng.Float64()*replaceMs, func() {
			s := m.addServer(old.service, old.zone)
			s.begin()
			old.listed = policy.HealthDraining
			m.announce([]*server{s, old})
			m.after(m.cfg.Settings.Contract.DrainGraceMs+m.cfg.ListMs, func() {
				old.end()
				old.down = true
				m.announce([]*server{old})
			})
		})
	}
}

// coldZone restarts the first zone's servers and a part of all agents under a burst.
func (m *Model) coldZone() {
	zone := m.inZone(0)
	for _, s := range zone {
		s.end()
	}
	m.restart(zone)
	m.burst = burst
	m.after(burstMs, func() { m.burst = 1 })
	for _, c := range m.clients {
		if m.rng.Float64() < restarted {
			c.restart()
		}
	}
}

// startAll restarts everything: no agent has ever met a warm server. Agents may start once
// more while the servers are cold, and work by an old list until they are told.
func (m *Model) startAll() {
	if m.cfg.StaleStart {
		for _, v := range m.services {
			v.before = v.list()
		}
		for _, c := range m.clients {
			c.toldAt = m.now + c.listMs
		}
	}
	for _, s := range m.servers {
		s.end()
	}
	m.restart(m.servers)
	for _, c := range m.clients {
		c.restart()
		if m.cfg.RestartS > 0 {
			m.after(1000*m.cfg.RestartS*m.rng.Float64(), c.restart)
		}
	}
}

// ConfigOf is the fleet of that size whose servers have so many cores and, asked by all,
// the load: the part of their time in which they work.
func ConfigOf(size fleet.Size, cores int, load float64) (Config, error) {
	switch {
	case cores < 1 || cores > 1024:
		return Config{}, fleet.Usage("cores", "must be from 1 to 1024, is %d", cores)
	case !(load > 0) || load > 10:
		return Config{}, fleet.Usage("load", "must be above 0 and at most 10, is %v", load)
	}
	cfg := Config{Agents: size.Agents, Servers: size.Servers, Services: size.Services, Zones: size.Zones,
		Regions: size.Regions, Rate: size.Rate, Uneven: 0.8, Cores: cores, Seed: size.Seed, ListMs: 2000,
		ZoneMs: 0.1, CrossZoneMs: 0.5, CrossRegionMs: 10, Settings: Settings()}
	cfg.WorkMs = load * float64(cores*size.Servers) * 1000 / size.Rate
	cfg.Settings.Tenants = []policy.Tenant{{Name: "all"}} // whose quota each agent is told
	return cfg, nil
}

// FindDay is the day of that name.
func FindDay(name string) (Day, error) {
	var names []string
	for _, d := range Days() {
		if d.Name == name {
			return d, nil
		}
		names = append(names, d.Name)
	}
	return Day{}, fleet.Usage("days", "%q is none of %s", name, fmt.Sprint(names))
}
