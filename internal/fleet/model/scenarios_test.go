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

// playScenario plays a scenario for so many seconds after SettleS and returns its figures.
func playScenario(t *testing.T, name string, cfg Config, seconds float64) *fleet.Case {
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

// figure returns a figure of a case, which must have it.
func figure(t *testing.T, c *fleet.Case, name string) float64 {
	t.Helper()
	v, ok := c.Figure(name)
	if !ok {
		t.Fatalf("%s: got no figure %q, want one", c.Name, name)
	}
	return v
}

// tinyConfig returns a fleet of three services whose agents have the quota of the service that they
// call.
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

// The same seed gives the same figures, byte for byte, in all scenarios, and another seed others.
func TestScenarioRepeatsFiguresOfSameSeed(t *testing.T) {
	play := func(scenario string, seed uint64) string {
		text, err := json.Marshal(playScenario(t, scenario, tinyConfig(t, seed), 5))
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	for _, scenario := range Scenarios() {
		if first, again := play(scenario.Name, 1), play(scenario.Name, 1); first != again {
			t.Errorf("%s: got\n%s, want the same as before:\n%s", scenario.Name, again, first)
		}
	}
	if play("calm", 1) == play("calm", 2) {
		t.Error("calm: got the same figures for another seed, want others")
	}
}

// Each scenario has its own fault, and no other's.
func TestScenariosHaveTheirFault(t *testing.T) {
	played := map[string]*fleet.Case{}
	for _, scenario := range Scenarios() {
		played[scenario.Name] = playScenario(t, scenario.Name, tinyConfig(t, 1), 6)
	}
	const warmupLoad = "cold server's load to its budget, most"
	for name, want := range map[string]bool{"calm": false, "rack": false, "region": false,
		"half": true, "zone": true, "replace": true, "cold": true, "start": true} {
		if got := figure(t, played[name], warmupLoad) > 0; got != want {
			t.Errorf("%s: got load on warming servers %v, want %v", name, got, want)
		}
	}
	calm := played["calm"]
	if served := figure(t, calm, "worth served"); served < 0.995 {
		t.Errorf("calm: got goodput %.4f, want 0.995 at least", served)
	}
	for _, name := range []string{"rack", "zone", "region"} {
		if again := figure(t, played[name], "attempts a request"); again <= figure(t, calm, "attempts a request") {
			t.Errorf("%s: got %.4f attempts a request, want more than in calm", name, again)
		}
	}
	const regions = "attempts across regions"
	if got, most := figure(t, played["region"], regions), figure(t, calm, regions); got > 0.8*most {
		t.Errorf("region: got %.3f of the attempts across regions, want at most 0.8 of the %.3f in calm", got, most)
	}
	if got, least := figure(t, played["cold"], "requests"), figure(t, calm, "requests"); got < 1.1*least {
		t.Errorf("cold: got %.0f requests, want a burst: at least 1.1 of the %.0f in calm", got, least)
	}
}

// All servers of a zone warm up at once under a burst, and a tenth of the agents has just restarted;
// or a zone returns, or servers are replaced. However many agents there are and however uneven their
// rates, together they make no warming server fail, and stay far under its budget where they are
// notified of its start.
func TestFleetKeepsSlowStartBudget(t *testing.T) {
	for _, f := range []struct {
		agents, servers int
		seeds           uint64
	}{{5, 9, 2}, {30, 20, 2}, {300, 20, 1}} {
		for _, listMs := range []float64{0, 2000} { // notified at once, or within two seconds
			for seed := range f.seeds {
				cfg := smallConfig(1+seed, f.agents, f.servers, 0.75)
				cfg.Zones, cfg.RateSpread, cfg.ListMs, cfg.KeepArrivals = 3, 0.8, listMs, false
				cfg.Settings.Tenants = []policy.Tenant{{Name: "all"}}
				for _, scenario := range []string{"cold", "zone", "replace"} {
					c := playScenario(t, scenario, cfg, 6)
					failed, most := figure(t, c, "cold servers fallen"), figure(t, c, "cold server's load to its budget, most")
					if failed > 0 || most > 0.75 || listMs == 0 && most > 0.4 || most == 0 {
						t.Errorf("%d agents, list within %.0f ms, seed %d, %s: got %.0f failed servers and load up to %.2f of the budget, want none and less",
							f.agents, listMs, 1+seed, scenario, failed, most)
					}
				}
			}
		}
	}
}

// A service whose servers and agents all start at once is served from its first second on, though no
// agent has met a warm server. And yet the servers stay up, also where they can't carry the load and
// a request takes a third of its latency objective.
func TestStartScenarioServesFromFirstSecond(t *testing.T) {
	for _, f := range []struct{ agents, servers int }{{5, 9}, {30, 20}, {300, 20}} {
		for _, c := range []struct{ load, workMs, least float64 }{{0.4, 30, 0.25}, {1.2, 100, 0}} {
			cfg := smallConfig(1, f.agents, f.servers, c.load*30/c.workMs)
			cfg.WorkMs, cfg.Zones, cfg.RateSpread, cfg.KeepArrivals = c.workMs, 3, 0.8, false
			cfg.Settings.Tenants = []policy.Tenant{{Name: "all"}}
			started := playScenario(t, "start", cfg, 7)
			failed, worst := figure(t, started, "cold servers fallen"), figure(t, started, "worth served in the worst second")
			if failed > 0 || worst < c.least {
				t.Errorf("%d agents, load %.1f: got %.0f failed servers and goodput %.2f in the worst second, want none and %.2f at least",
					f.agents, c.load, failed, worst, c.least)
			}
		}
	}
}

// A run that is interrupted ends with the cause.
func TestScenarioPlayEndsWhenInterrupted(t *testing.T) {
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

// A fleet without requests for seconds is played and counted all the same.
func TestScenarioCountsFleetWithoutRequests(t *testing.T) {
	cfg := tinyConfig(t, 1)
	cfg.Rate = 0.001
	if n := figure(t, playScenario(t, "calm", cfg, 3), "requests"); n != 0 {
		t.Errorf("got %.0f requests, want none", n)
	}
}
