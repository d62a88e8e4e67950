package model

import "testing"

// A connection is used again while it rests no longer than the settings keep it; two attempts at
// once need two.
func TestIdleConnectionsAreCounted(t *testing.T) {
	m := newModel(t, small(1, 2, 2, 0.5))
	a, s := m.clients[0].agent, m.servers[0]
	keep := m.cfg.Settings.Limits.KeepaliveMs
	if a.takeIdle(s) {
		t.Error("there was a connection before the first")
	}
	a.idle[s] = idleSince{m.now, m.now}
	m.now += keep
	if first, second, third := a.takeIdle(s), a.takeIdle(s), a.takeIdle(s); !first || !second || third {
		t.Error("two connections at rest are not two")
	}
	a.idle[s] = idleSince{m.now, m.now + 1}
	m.now += keep + 1
	if !a.takeIdle(s) || a.takeIdle(s) {
		t.Error("one that rested too long was used, or the other was not")
	}
}

// With sixteen times the servers of a sixteenth of the capacity each, an agent needs no more
// connections, meets no more servers and serves as much.
func TestAgentNeedsNoMoreOfManyServers(t *testing.T) {
	needs := func(servers, cores int) (made, met, served float64) {
		cfg := small(1, 12, servers, 0)
		cfg.Cores, cfg.Rate, cfg.KeepArrivals = cores, 120, false
		c := playScenario(t, "calm", cfg, 20)
		return figure(t, c, "connections made by an agent"), figure(t, c, "servers met by an agent"),
			figure(t, c, "worth served")
	}
	made, met, served := needs(60, 16)
	madeMany, metMany, servedMany := needs(960, 1)
	if madeMany > 2.5*made+40 || metMany > 2*met+40 || servedMany < 0.85*served || made == 0 || served == 0 {
		t.Errorf("%.1f connections made for %.1f, %.1f servers met for %.1f, %.3f served for %.3f", madeMany, made, metMany,
			met, servedMany, served)
	}
}
