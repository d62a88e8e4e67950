package model

import (
	"context"
	"slices"
	"testing"

	"ploverreel/policy"
)

// smallConfig returns the configuration of a fleet with one service in two zones. The load is the
// utilization of its servers. An agent calls each server rarely.
func smallConfig(seed uint64, agents, servers int, load float64) Config {
	return Config{Agents: agents, Servers: servers, Services: 1, Zones: 2, Regions: 1, Cores: 1, WorkMs: 30,
		Rate: load * float64(servers) * 1000 / 30, ZoneMs: 1.5, CrossZoneMs: 1.5, Seed: seed,
		Settings: Settings(), Variant: Variant{RecordArrivals: true}}
}

// newModel returns a fleet that has not been booted.
func newModel(t *testing.T, cfg Config) *Model {
	t.Helper()
	m, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// run runs a fleet for a number of virtual seconds.
func run(t *testing.T, m *Model, seconds float64) {
	t.Helper()
	if err := m.run(context.Background(), seconds); err != nil {
		t.Fatal(err)
	}
}

// arrivalsSince returns the number of attempts that have arrived at a server since a time in ms.
func (s *server) arrivalsSince(since float64) int {
	n := 0
	for _, at := range s.arrivalTimes {
		if at >= since {
			n++
		}
	}
	return n
}

// expectBusyServers checks a fleet whose load exceeds the capacity of its remaining servers. From
// fromSecond on, the servers must serve at least a quarter of their capacity within the latency
// objective, and at most eight requests per server may be pending at a time.
func expectBusyServers(t *testing.T, m *Model, fromSecond, servers int) {
	t.Helper()
	capacity, served := float64(servers)*1000/m.cfg.WorkMs, 0 // capacity in requests per second
	for i, s := range m.secondCounts[fromSecond:] {
		served += s.WithinObjective
		if s.MaxPending > servers*8 {
			t.Errorf("seed %d, second %d: got %d pending at a time on %d servers, want at most %d",
				m.cfg.Seed, i+fromSecond, s.MaxPending, servers, servers*8)
		}
	}
	if mean := float64(served) / float64(len(m.secondCounts[fromSecond:])); mean < 0.25*capacity {
		t.Errorf("seed %d: got %.0f per second served in time, want a quarter of the servers' capacity of %.0f",
			m.cfg.Seed, mean, capacity)
	}
}

// Half of the servers fail, and the load exceeds the capacity of the others. The agents must keep the
// remaining servers busy. The fault to guard against: if all agents close and open their limits in
// step, the servers are idle in one second and overloaded in the next.
func TestFleetKeepsRemainingServersBusy(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		m := newModel(t, smallConfig(seed, 60, 20, 0.75))
		m.boot()
		run(t, m, 4)
		var failed []*server
		for i, s := range m.servers {
			if i%2 == 0 {
				s.down = true
				failed = append(failed, s)
			}
		}
		run(t, m, 1)
		m.publish(failed)
		run(t, m, 10)
		expectBusyServers(t, m, 8, 10)
	}
}

// A quarter of the servers is slow. Each agent calls each server only once in several seconds. Even
// so, the slow servers must receive about as much as they can serve instead of an equal share.
func TestFleetSendsLessToSlowServers(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		m := newModel(t, smallConfig(seed, 60, 20, 0.5))
		for _, s := range m.servers[:5] {
			s.warmSpeed = 0.3
		}
		m.boot()
		run(t, m, 5)
		since := m.now
		run(t, m, 10)
		slow, others := 0, 0
		for i, s := range m.servers {
			if i < 5 {
				slow += s.arrivalsSince(since)
			} else {
				others += s.arrivalsSince(since)
			}
		}
		if share := float64(slow) / 5 / (float64(others) / 15); share > 0.5 {
			t.Errorf("seed %d: a slow server received %.2f of the attempts of another one, want at most 0.5", seed, share)
		}
	}
}

// Eighty agents start at once, and discovery serves fifteen calls per second, one at a time. The
// first calls of the agents fall within the drain grace. Discovery can serve at most 52 of them
// before their timeout. Discovery must still not be idle while agents wait: all agents must receive
// the list before it is out of date. Each needs one successful call and at most one failed call.
func TestAgentsTakeTurnsAtDiscovery(t *testing.T) {
	const agents, callMs, maxIdleMs = 80, 1000.0 / 15, 100.0
	for seed := range uint64(10) {
		cfg := smallConfig(seed, agents, 20, 0.5)
		cfg.DiscoveryCallMs = callMs
		cfg.Settings.Membership = policy.MembershipOnRequest
		m := newModel(t, cfg)
		m.servers[0].down = true // causes failures for which agents refetch the list
		m.boot()
		run(t, m, 6)
		if m.discovery.answered != agents {
			t.Errorf("seed %d: got %d agents with the list within 6 s, want %d", seed, m.discovery.answered, agents)
		}
		if idle := m.discovery.freeAt - StartMs - agents*callMs; idle > maxIdleMs {
			t.Errorf("seed %d: got discovery idle for %.0f ms while agents had no list, want at most %.0f", seed, idle, maxIdleMs)
		}
		run(t, m, 6)
		if m.discovery.answered != agents {
			t.Errorf("seed %d: got %d calls served by discovery, want one per agent for %d agents", seed, m.discovery.answered, agents)
		}
		calls := 0
		for _, s := range m.secondCounts {
			calls += s.DiscoveryCalls
		}
		inTime := int((cfg.Settings.Contract.DrainGraceMs + discoveryTimeoutMs) / callMs)
		if failed, maxFailed := calls-m.discovery.answered, agents-inTime; failed > maxFailed {
			t.Errorf("seed %d: got %d failed calls, want at most %d", seed, failed, maxFailed)
		}
	}
}

// Six of twenty servers are replaced at once while the others are busy. In every second all agents
// together must send each new server far less than would overload it. They must also use a fair share
// of its capacity, as the remaining load overloads the other servers.
func TestFleetUsesWarmingServersWithinBudget(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		m := newModel(t, smallConfig(seed, 60, 20, 0.7))
		m.boot()
		run(t, m, 6)
		started := m.now
		for _, s := range m.servers[:6] {
			s.startedAt = started
		}
		m.publish(m.servers[:6])
		run(t, m, 6)
		c := &m.cfg.Settings.Contract
		used := 0
		for i, s := range m.servers[:6] {
			used += s.arrivalsSince(started)
			for at := started; at < m.now-c.OverloadWindowMs; at += 50 {
				capacity := s.coreSpeed(at) * c.OverloadWindowMs / m.cfg.WorkMs
				if got := s.arrivalsSince(at) - s.arrivalsSince(at+c.OverloadWindowMs); float64(got) > 0.8*c.OverloadMultiple*capacity {
					t.Fatalf("seed %d: server %d: got %d attempts in the second after %.0f ms, want far below the overload at a capacity of %.0f",
						seed, i, got, at-started, capacity)
				}
			}
		}
		// Over its first six seconds a warming server has 0.6 of its full capacity on average.
		if share := float64(used) / 6 / (0.6 * 6000 / m.cfg.WorkMs); share < 0.28 {
			t.Errorf("seed %d: warming servers received %.2f of their capacity, want at least 0.28", seed, share)
		}
	}
}

// divide gives out the whole total, at least two to each service if there are enough, and in uneven
// parts.
func TestDivideGivesUnevenServices(t *testing.T) {
	for _, n := range [][2]int{{2000, 160}, {320, 160}, {160, 160}, {2001, 7}, {5, 1}} {
		parts := divide(n[0], n[1])
		sum := 0
		for _, p := range parts {
			sum += p
		}
		if sum != n[0] || len(parts) != n[1] || slices.Min(parts) < min(2, n[0]/n[1]) {
			t.Errorf("%v: got %d in all and %d at least, want the whole total and at least 2 each if there are enough", n, sum, slices.Min(parts))
		}
		if n[0] == 2000 && slices.Max(parts) < 10*slices.Min(parts) {
			t.Errorf("%v: got parts from %d to %d, want the largest ten times the smallest", n, slices.Min(parts), slices.Max(parts))
		}
	}
}
