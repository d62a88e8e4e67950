package model

import (
	"testing"

	"ploverreel/policy"
)

// startConfig returns a fleet of one service for the start scenario. The load is a fraction of the
// capacity of its warm servers.
func startConfig(seed uint64, agents int, load float64) Config {
	cfg := smallConfig(seed, agents, 20, load*30/100)
	cfg.WorkMs, cfg.Zones, cfg.RateSpread, cfg.ListMs, cfg.RecordArrivals = 100, 3, 0.8, 2000, false
	cfg.Settings.Tenants = []policy.Tenant{{Name: "all"}}
	return cfg
}

// When all servers and agents of a service start at once, agents that are notified of the starts
// must not overload a warming server. The cases are the worst corners of the bench's sweep: many
// agents, a high load, agents that restart once more, heavy-tailed work and a lower initial
// capacity. The overload would come about because every agent makes its first attempt at once.
func TestStartScenarioKeepsSlowStartBudget(t *testing.T) {
	for _, c := range []struct {
		agents   int
		load     float64
		initial  float64 // InitialCapacity
		spread   float64 // WorkSpread
		restartS float64
		seeds    uint64
	}{
		{300, 1.2, 0.1, 0, 0, 1}, {900, 0.9, 0.1, 0, 0, 1}, {900, 1.5, 0.1, 1, 0, 1}, {900, 1.5, 0.3, 0, 0, 2},
		{300, 1.5, 0.3, 1, 4, 1}, {4, 1.5, 0.1, 1, 0, 1},
	} {
		for seed := range c.seeds {
			cfg := startConfig(1+seed, c.agents, c.load)
			cfg.Settings.Contract.InitialCapacity, cfg.WorkSpread, cfg.RestartS = c.initial, c.spread, c.restartS
			started := runScenario(t, "start", cfg, 4)
			failed, maxShare := figure(t, started, "cold servers fallen"), figure(t, started, "cold server's load to its budget, most")
			if failed > 0 || maxShare > 0.8 || maxShare == 0 {
				t.Errorf("%+v, seed %d: got %.0f failed servers and load up to %.2f of the budget, want none and above 0 up to 0.8", c, 1+seed, failed, maxShare)
			}
		}
	}
}

// Agents that start with an old list are notified of the servers' start later. Load that they send
// before is not attributed to notified agents. Once notified, they keep the budget like all agents.
func TestStartScenarioWithStaleListsKeepsSlowStartBudget(t *testing.T) {
	cfg := startConfig(1, 300, 1.2)
	cfg.StaleStart = true
	m := newModel(t, cfg)
	m.boot()
	run(t, m, SettleS)
	m.restartAll()
	notified := func() (n int) {
		for _, c := range m.clients {
			n += min(len(c.agent.knownStarts), 1)
		}
		return n
	}
	if n := notified(); n != 0 {
		t.Errorf("got %d agents notified at once, want none", n)
	}
	run(t, m, 2.1)
	if n := notified(); n != cfg.Agents {
		t.Errorf("got %d agents notified within two seconds, want %d", n, cfg.Agents)
	}
	if n := figure(t, m.figures("start"), "cold servers fallen by agents that knew"); n != 0 {
		t.Errorf("got %.0f servers that failed by notified agents, want none", n)
	}
}

// A warming server's budget is the n requests that the settings allow it, plus slack for the random
// variation of arrivals. The slack is larger for n below 30. A request has the weight of the mean
// work of its class, not that of its actual work.
func TestWarmupBudgetWeighsRequestsByClass(t *testing.T) {
	for _, c := range []struct{ workMs, n, slack float64 }{{100, 9, 12}, {56.25, 16, 15}, {30, 30, 2*5.477 + 2}, {9, 100, 22}} {
		cfg := smallConfig(1, 2, 2, 0.5)
		cfg.WorkMs = c.workMs
		s := newModel(t, cfg).servers[0]
		s.start()
		if got := s.budget(s.m.now); got < c.n+c.slack-0.01 || got > c.n+c.slack+0.01 {
			t.Errorf("work of %v ms: got budget %.2f, want %v plus a slack of %v", c.workMs, got, c.n, c.slack)
		}
	}
	cfg := smallConfig(1, 2, 2, 0.5)
	cfg.SetMixedTraffic()
	m := newModel(t, cfg)
	s := m.servers[0]
	s.start()
	s.countSlowStart(&request{class: 0, workFactor: 1}, true)
	s.countSlowStart(&request{class: 2, workFactor: 3}, true)
	if got := s.warmup.work; got < 2.09 || got > 2.11 {
		t.Errorf("requests of 0.7 and 1.4: got total weight %.2f, want 2.1", got)
	}
	if got := s.warmup.actualWork; got < 4.89 || got > 4.91 {
		t.Errorf("requests of 0.7 and 1.4, the second of three times that: got actual work %.2f, want 4.9", got)
	}
}

// Heavy-tailed work has a mean of one. A few requests have at least ten times the mean.
func TestHeavyTailedWorkHasMeanOne(t *testing.T) {
	cfg := smallConfig(1, 2, 2, 0.5)
	cfg.WorkSpread, cfg.SendsWorkHints = 1, true
	m := newModel(t, cfg)
	sum, largest, hints := 0.0, 0.0, 0
	for range 50_000 {
		r := m.newRequest()
		sum, largest = sum+r.workFactor, max(largest, r.workFactor)
		if r.hintMs > 0 {
			hints++
		}
	}
	if mean := sum / 50_000; mean < 0.95 || mean > 1.05 || largest < 10 || hints != 50_000 {
		t.Errorf("got mean %.3f, maximum %.1f, %d hints, want a mean of 1, a maximum of at least 10 and 50000 hints", mean, largest, hints)
	}
	for _, spread := range []float64{-1, 4} {
		cfg.WorkSpread = spread
		if cfg.Validate() == nil {
			t.Errorf("work spread %v: got no error, want one", spread)
		}
	}
}
