package model

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"testing"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// discardLog returns a logger that writes nothing.
func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// runScenario runs a scenario for a number of seconds after SettleS and returns its figures.
func runScenario(t *testing.T, name string, cfg Config, seconds float64) *fleet.Case {
	t.Helper()
	scenario, err := FindScenario(name)
	if err != nil {
		t.Fatal(err)
	}
	c, err := scenario.Run(context.Background(), cfg, seconds, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// figure returns a figure of a case. The test fails if the case lacks it.
func figure(t *testing.T, c *fleet.Case, name string) float64 {
	t.Helper()
	v, ok := c.Figure(name)
	if !ok {
		t.Fatalf("%s: got no figure %q, want one", c.Name, name)
	}
	return v
}

// tinyConfig returns a fleet of three services. Each agent has the quota of the service that it
// calls.
func tinyConfig(t *testing.T, seed uint64) Config {
	t.Helper()
	size := fleet.Size{Agents: 27, Servers: 36, Services: 3, Regions: 3, Zones: 9, Rate: 720, Depth: 10, Seed: seed}
	cfg, err := ConfigOf(size, 1, 0.5)
	if err != nil {
		t.Fatal(err)
	}
	cfg.QuotaOfService = true
	return cfg
}

// In all scenarios the same seed gives the same figures, byte for byte. Another seed gives other
// figures.
func TestScenarioRepeatsFiguresOfSameSeed(t *testing.T) {
	figuresOf := func(scenario string, seed uint64) string {
		text, err := json.Marshal(runScenario(t, scenario, tinyConfig(t, seed), 5))
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	for _, scenario := range Scenarios() {
		if first, second := figuresOf(scenario.Name, 1), figuresOf(scenario.Name, 1); first != second {
			t.Errorf("%s: got\n%s in the second run, want the same as in the first:\n%s", scenario.Name, second, first)
		}
	}
	if figuresOf("calm", 1) == figuresOf("calm", 2) {
		t.Error("calm: got the same figures for another seed, want different ones")
	}
}

// Each scenario shows the effects of its own fault and not those of another.
func TestScenariosHaveTheirFault(t *testing.T) {
	results := map[string]*fleet.Case{}
	for _, scenario := range Scenarios() {
		results[scenario.Name] = runScenario(t, scenario.Name, tinyConfig(t, 1), 6)
	}
	const warmupShare = "cold server's load to its budget, most"
	for name, want := range map[string]bool{"calm": false, "rack": false, "region": false,
		"half": true, "zone": true, "replace": true, "cold": true, "start": true} {
		if got := figure(t, results[name], warmupShare) > 0; got != want {
			t.Errorf("%s: got load on warming servers %v, want %v", name, got, want)
		}
	}
	calm := results["calm"]
	if served := figure(t, calm, "worth served"); served < 0.995 {
		t.Errorf("calm: got goodput %.4f, want at least 0.995", served)
	}
	for _, name := range []string{"rack", "zone", "region"} {
		if attempts := figure(t, results[name], "attempts a request"); attempts <= figure(t, calm, "attempts a request") {
			t.Errorf("%s: got %.4f attempts per request, want more than in calm", name, attempts)
		}
	}
	const regions = "attempts across regions"
	if got, calmShare := figure(t, results["region"], regions), figure(t, calm, regions); got > 0.8*calmShare {
		t.Errorf("region: got %.3f of the attempts across regions, want at most 0.8 of the %.3f in calm", got, calmShare)
	}
	if got, calmRequests := figure(t, results["cold"], "requests"), figure(t, calm, "requests"); got < 1.1*calmRequests {
		t.Errorf("cold: got %.0f requests, want a burst: at least 1.1 times the %.0f in calm", got, calmRequests)
	}
}

// Many servers warm up at once: all servers of a zone restart under a burst together with a tenth
// of the agents, a zone returns after a failure, or servers are replaced. For any number of agents
// and uneven rates, the agents together must not overload a warming server. If they are notified of
// its start at once, they must stay far below its budget.
func TestFleetKeepsSlowStartBudget(t *testing.T) {
	for _, f := range []struct {
		agents, servers int
		seeds           uint64
	}{{5, 9, 2}, {30, 20, 2}, {300, 20, 1}} {
		for _, listMs := range []float64{0, 2000} { // notified at once, or within two seconds
			for seed := range f.seeds {
				cfg := smallConfig(1+seed, f.agents, f.servers, 0.75)
				cfg.Zones, cfg.RateSpread, cfg.ListMs, cfg.RecordArrivals = 3, 0.8, listMs, false
				cfg.Settings.Tenants = []policy.Tenant{{Name: "all"}}
				for _, scenario := range []string{"cold", "zone", "replace"} {
					c := runScenario(t, scenario, cfg, 6)
					failed, maxShare := figure(t, c, "cold servers fallen"), figure(t, c, "cold server's load to its budget, most")
					if failed > 0 || maxShare > 0.75 || listMs == 0 && maxShare > 0.4 || maxShare == 0 {
						t.Errorf("%d agents, list within %.0f ms, seed %d, %s: got %.0f failed servers and load up to %.2f of the budget, want none and less but above 0",
							f.agents, listMs, 1+seed, scenario, failed, maxShare)
					}
				}
			}
		}
	}
}

// When all servers and agents of a service start at once, requests must be served from the first
// second on, although no agent has called a warm server before. The servers must also stay up if the
// load exceeds their capacity and a request takes a third of its latency objective.
func TestStartScenarioServesFromFirstSecond(t *testing.T) {
	for _, f := range []struct{ agents, servers int }{{5, 9}, {30, 20}, {300, 20}} {
		for _, c := range []struct{ load, workMs, least float64 }{{0.4, 30, 0.25}, {1.2, 100, 0}} {
			cfg := smallConfig(1, f.agents, f.servers, c.load*30/c.workMs)
			cfg.WorkMs, cfg.Zones, cfg.RateSpread, cfg.RecordArrivals = c.workMs, 3, 0.8, false
			cfg.Settings.Tenants = []policy.Tenant{{Name: "all"}}
			started := runScenario(t, "start", cfg, 7)
			failed, worst := figure(t, started, "cold servers fallen"), figure(t, started, "worth served in the worst second")
			if failed > 0 || worst < c.least {
				t.Errorf("%d agents, load %.1f: got %.0f failed servers and goodput %.2f in the worst second, want none and at least %.2f",
					f.agents, c.load, failed, worst, c.least)
			}
		}
	}
}

// An interrupted run returns the cause of the interruption.
func TestScenarioRunEndsWhenInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	cause := errors.New("interrupted")
	cancel(cause)
	calm, err := FindScenario("calm")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := calm.Run(ctx, tinyConfig(t, 1), 5, discardLog()); !errors.Is(err, cause) {
		t.Errorf("got error %v, want %v", err, cause)
	}
}

// A run without any requests for several seconds still returns figures.
func TestScenarioCountsFleetWithoutRequests(t *testing.T) {
	cfg := tinyConfig(t, 1)
	cfg.Rate = 0.001
	if n := figure(t, runScenario(t, "calm", cfg, 3), "requests"); n != 0 {
		t.Errorf("got %.0f requests, want none", n)
	}
}
