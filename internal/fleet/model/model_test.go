package model

import (
	"context"
	"slices"
	"testing"

	"ploverreel/policy"
)

// smallConfig returns a fleet of two zones in which an agent calls each server seldom.
func smallConfig(seed uint64, agents, servers int, load float64) Config {
	return Config{Agents: agents, Servers: servers, Services: 1, Zones: 2, Regions: 1, Cores: 1, WorkMs: 30,
		Rate: load * float64(servers) * 1000 / 30, ZoneMs: 1.5, CrossZoneMs: 1.5, Seed: seed,
		Settings: Settings(), Variant: Variant{KeepArrivals: true}}
}

// newModel returns a fleet that is not booted.
func newModel(t *testing.T, cfg Config) *Model {
	t.Helper()
	m, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// play plays a fleet for so many seconds.
func play(t *testing.T, m *Model, seconds float64) {
	t.Helper()
	if err := m.run(context.Background(), seconds); err != nil {
		t.Fatal(err)
	}
}

// sent returns the number of attempts that arrived at a server since a time.
func (s *server) sent(since float64) int {
	n := 0
	for _, at := range s.arrivalTimes {
		if at >= since {
			n++
		}
	}
	return n
}

// expectBusyServers checks a fleet that is offered more than so many servers can do: from a second
// on they serve a quarter of their capacity within the latency objective at least, and never have
// many attempts pending.
func expectBusyServers(t *testing.T, m *Model, fromSecond, servers int) {
	t.Helper()
	capacity, served := float64(servers)*1000/m.cfg.WorkMs, 0 // a second
	for i, s := range m.seconds[fromSecond:] {
		served += s.WithinObjective
		if s.MaxPending > servers*8 {
			t.Errorf("seed %d, second %d: got %d pending at once on %d servers, want %d at most",
				m.cfg.Seed, i+fromSecond, s.MaxPending, servers, servers*8)
		}
	}
	if mean := float64(served) / float64(len(m.seconds[fromSecond:])); mean < 0.25*capacity {
		t.Errorf("seed %d: got %.0f a second served in time, want a quarter of the %.0f that the servers can do",
			m.cfg.Seed, mean, capacity)
	}
}

// Half the servers fail, and the others can't carry the load. However many agents there are, they
// go on serving what can be served: limits that close and open in step would leave the servers idle
// one second and overload them the next.
func TestFleetKeepsRemainingServersBusy(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		m := newModel(t, smallConfig(seed, 60, 20, 0.75))
		m.boot()
		play(t, m, 4)
		var failed []*server
		for i, s := range m.servers {
			if i%2 == 0 {
				s.down = true
				failed = append(failed, s)
			}
		}
		play(t, m, 1)
		m.publish(failed)
		play(t, m, 10)
		expectBusyServers(t, m, 8, 10)
	}
}

// A quarter of the servers is slow. Each agent calls each server once in some seconds, and still
// the slow ones get about what they can do, not an even share.
func TestFleetSendsLessToSlowServers(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		m := newModel(t, smallConfig(seed, 60, 20, 0.5))
		for _, s := range m.servers[:5] {
			s.warmSpeed = 0.3
		}
		m.boot()
		play(t, m, 5)
		since := m.now
		play(t, m, 10)
		slow, others := 0, 0
		for i, s := range m.servers {
			if i < 5 {
				slow += s.sent(since)
			} else {
				others += s.sent(since)
			}
		}
		if part := float64(slow) / 5 / (float64(others) / 15); part > 0.5 {
			t.Errorf("seed %d: got %.2f of another server's attempts at a slow one, want 0.5 at most", seed, part)
		}
	}
}

// Eighty agents start at once, and discovery serves fifteen calls a second in turn. Their first
// calls come within the drain grace, in which no more than 52 can be served before they have waited
// too long. All the same discovery is never idle: all agents get the list before it is stale, each by
// one call that is served and no more than one that fails.
func TestAgentsTakeTurnsAtDiscovery(t *testing.T) {
	const agents, callMs, mostIdleMs = 80, 1000.0 / 15, 100.0
	for seed := range uint64(10) {
		cfg := smallConfig(seed, agents, 20, 0.5)
		cfg.DiscoveryCallMs = callMs
		cfg.Settings.Membership = policy.MembershipOnRequest
		m := newModel(t, cfg)
		m.servers[0].down = true // so that there are failures to refetch for
		m.boot()
		play(t, m, 6)
		if m.discovery.answered != agents {
			t.Errorf("seed %d: got %d agents with the list within 6 s, want %d", seed, m.discovery.answered, agents)
		}
		if idle := m.discovery.freeAt - StartMs - agents*callMs; idle > mostIdleMs {
			t.Errorf("seed %d: got discovery idle for %.0f ms while agents had no list, want %.0f at most", seed, idle, mostIdleMs)
		}
		play(t, m, 6)
		if m.discovery.answered != agents {
			t.Errorf("seed %d: got %d calls served by discovery, want one of each of %d agents", seed, m.discovery.answered, agents)
		}
		calls := 0
		for _, s := range m.seconds {
			calls += s.DiscoveryCalls
		}
		inTime := int((cfg.Settings.Contract.DrainGraceMs + discoveryTimeoutMs) / callMs)
		if failed, most := calls-m.discovery.answered, agents-inTime; failed > most {
			t.Errorf("seed %d: got %d failed calls, want %d at most", seed, failed, most)
		}
	}
}

// Six of twenty servers are replaced at once while the others are busy. All agents together send
// each new one far less than would overload it in any second, and yet a fair part of its capacity:
// what they don't take overloads the others.
func TestFleetUsesWarmingServersWithinBudget(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		m := newModel(t, smallConfig(seed, 60, 20, 0.7))
		m.boot()
		play(t, m, 6)
		started := m.now
		for _, s := range m.servers[:6] {
			s.startedAt = started
		}
		m.publish(m.servers[:6])
		play(t, m, 6)
		c := &m.cfg.Settings.Contract
		used := 0
		for i, s := range m.servers[:6] {
			used += s.sent(started)
			for at := started; at < m.now-c.OverloadWindowMs; at += 50 {
				can := s.coreSpeed(at) * c.OverloadWindowMs / m.cfg.WorkMs
				if got := s.sent(at) - s.sent(at+c.OverloadWindowMs); float64(got) > 0.8*c.OverloadMultiple*can {
					t.Fatalf("seed %d: server %d: got %d attempts in the second after %.0f ms, want far fewer than the overload of %.0f",
						seed, i, got, at-started, can)
				}
			}
		}
		// 0.6 of its capacity on the mean of its first six seconds.
		if part := float64(used) / 6 / (0.6 * 6000 / m.cfg.WorkMs); part < 0.28 {
			t.Errorf("seed %d: got %.2f of their capacity sent to warming servers, want 0.28 at least", seed, part)
		}
	}
}

// Services get all of the servers, two at the least, and are of uneven size.
func TestDivideGivesUnevenServices(t *testing.T) {
	for _, n := range [][2]int{{2000, 160}, {320, 160}, {160, 160}, {2001, 7}, {5, 1}} {
		parts := divide(n[0], n[1])
		sum := 0
		for _, p := range parts {
			sum += p
		}
		if sum != n[0] || len(parts) != n[1] || slices.Min(parts) < min(2, n[0]/n[1]) {
			t.Errorf("%v: got %d in all and %d at least, want all of them dealt out and 2 each where there are enough", n, sum, slices.Min(parts))
		}
		if n[0] == 2000 && slices.Max(parts) < 10*slices.Min(parts) {
			t.Errorf("%v: got parts from %d to %d, want the largest ten times the smallest", n, slices.Min(parts), slices.Max(parts))
		}
	}
}
