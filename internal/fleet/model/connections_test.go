package model

import "testing"

// An idle connection is reused until it has been idle for longer than the settings' keepalive time.
// Two concurrent attempts need two connections.
func TestIdleConnectionsAreReusedUntilKeepalive(t *testing.T) {
	m := newModel(t, smallConfig(1, 2, 2, 0.5))
	a, s := m.clients[0].agent, m.servers[0]
	keepaliveMs := m.cfg.Settings.Limits.KeepaliveMs
	if a.takeIdle(s) {
		t.Error("got an idle connection before the first attempt, want none")
	}
	a.idle[s] = idleSince{m.now, m.now}
	m.now += keepaliveMs
	if first, second, third := a.takeIdle(s), a.takeIdle(s), a.takeIdle(s); !first || !second || third {
		t.Errorf("got connections %v, %v, %v, want two", first, second, third)
	}
	a.idle[s] = idleSince{m.now, m.now + 1}
	m.now += keepaliveMs + 1
	if !a.takeIdle(s) || a.takeIdle(s) {
		t.Error("got no connection or two, want only the one that was idle for exactly the keepalive time")
	}
}

// Sixteen times the servers with a sixteenth of the capacity each leave the total capacity the
// same. An agent then needs about the same number of connections, calls about as many servers and
// serves about as much.
func TestAgentConnectionsDoNotGrowWithServers(t *testing.T) {
	measure := func(servers, cores int) (made, called, served float64) {
		cfg := smallConfig(1, 12, servers, 0)
		cfg.Cores, cfg.Rate, cfg.RecordArrivals = cores, 120, false
		c := runScenario(t, "calm", cfg, 20)
		return figure(t, c, "connections made by an agent"), figure(t, c, "servers met by an agent"),
			figure(t, c, "worth served")
	}
	made, called, served := measure(60, 16)
	madeMany, calledMany, servedMany := measure(960, 1)
	if madeMany > 2.5*made+40 || calledMany > 2*called+40 || servedMany < 0.85*served || made == 0 || served == 0 {
		t.Errorf("got %.1f connections, %.1f servers called and goodput %.3f with 960 servers, want about the %.1f, %.1f and %.3f with 60",
			madeMany, calledMany, servedMany, made, called, served)
	}
}
