package model

import "testing"

// A connection is reused while it is idle no longer than the settings' keepalive time; two attempts
// at once need two.
func TestIdleConnectionsAreReusedUntilKeepalive(t *testing.T) {
	m := newModel(t, smallConfig(1, 2, 2, 0.5))
	a, s := m.clients[0].agent, m.servers[0]
	keep := m.cfg.Settings.Limits.KeepaliveMs
	if a.takeIdle(s) {
		t.Error("got an idle connection before the first, want none")
	}
	a.idle[s] = idleSince{m.now, m.now}
	m.now += keep
	if first, second, third := a.takeIdle(s), a.takeIdle(s), a.takeIdle(s); !first || !second || third {
		t.Errorf("got connections %v, %v, %v, want two", first, second, third)
	}
	a.idle[s] = idleSince{m.now, m.now + 1}
	m.now += keep + 1
	if !a.takeIdle(s) || a.takeIdle(s) {
		t.Error("got not just one connection, want the one that was idle for the keepalive time and not the older one")
	}
}

// With sixteen times the servers of a sixteenth of the capacity each, an agent needs no more
// connections, calls no more servers and serves as much.
func TestAgentNeedsDoNotGrowWithServers(t *testing.T) {
	needs := func(servers, cores int) (made, met, served float64) {
		cfg := smallConfig(1, 12, servers, 0)
		cfg.Cores, cfg.Rate, cfg.KeepArrivals = cores, 120, false
		c := playScenario(t, "calm", cfg, 20)
		return figure(t, c, "connections made by an agent"), figure(t, c, "servers met by an agent"),
			figure(t, c, "worth served")
	}
	made, met, served := needs(60, 16)
	madeMany, metMany, servedMany := needs(960, 1)
	if madeMany > 2.5*made+40 || metMany > 2*met+40 || servedMany < 0.85*served || made == 0 || served == 0 {
		t.Errorf("got %.1f connections, %.1f servers called and goodput %.3f with 960 servers, want about the %.1f, %.1f and %.3f with 60",
			madeMany, metMany, servedMany, made, met, served)
	}
}
