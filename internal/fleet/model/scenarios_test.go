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

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// playScenario plays a day for so many seconds after the settling.
func playScenario(t *testing.T, name string, cfg Config, seconds float64) *fleet.Case {
	t.Helper()
	d, err := FindScenario(name)
	if err != nil {
		t.Fatal(err)
	}
	c, err := d.Play(context.Background(), cfg, seconds, quiet())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func figure(t *testing.T, c *fleet.Case, name string) float64 {
	t.Helper()
	v, ok := c.Figure(name)
	if !ok {
		t.Fatalf("%s: no figure %q", c.Name, name)
	}
	return v
}

// tiny is a fleet of three services whose agents have the quota of the service that they call.
func tiny(t *testing.T, seed uint64) Config {
	t.Helper()
	size := fleet.Size{Agents: 27, Servers: 36, Services: 3, Regions: 3, Zones: 9, Rate: 720, Depth: 10, Seed: seed}
	cfg, err := ConfigOf(size, 1, 0.5)
	if err != nil {
		t.Fatal(err)
	}
	cfg.QuotaOfService = true
	return cfg
}

// The same seed gives the same figures, byte for byte, on all days, and another seed others.
func TestSameSeedSameFigures(t *testing.T) {
	play := func(day string, seed uint64) string {
		text, err := json.Marshal(playScenario(t, day, tiny(t, seed), 5))
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	for _, d := range Scenarios() {
		if first, again := play(d.Name, 1), play(d.Name, 1); first != again {
			t.Errorf("%s gave\n%s and again\n%s", d.Name, first, again)
		}
	}
	if play("calm", 1) == play("calm", 2) {
		t.Error("the seed changes nothing")
	}
}

// Each day has its own fault, and no other's.
func TestDaysDoWhatTheySay(t *testing.T) {
	days := map[string]*fleet.Case{}
	for _, d := range Scenarios() {
		days[d.Name] = playScenario(t, d.Name, tiny(t, 1), 6)
	}
	const cold = "cold server's load to its budget, most"
	for name, want := range map[string]bool{"calm": false, "rack": false, "region": false,
		"half": true, "zone": true, "replace": true, "cold": true, "start": true} {
		if got := figure(t, days[name], cold) > 0; got != want {
			t.Errorf("%s: cold servers met: %v", name, got)
		}
	}
	calm := days["calm"]
	if served := figure(t, calm, "worth served"); served < 0.995 {
		t.Errorf("calm: %.4f served", served)
	}
	for _, name := range []string{"rack", "zone", "region"} {
		if again := figure(t, days[name], "attempts a request"); again <= figure(t, calm, "attempts a request") {
			t.Errorf("%s: no more attempts a request than on calm, %.4f", name, again)
		}
	}
	const regions = "attempts across regions"
	if got, most := figure(t, days["region"], regions), figure(t, calm, regions); got > 0.8*most {
		t.Errorf("region: %.3f of the attempts across regions, on calm %.3f", got, most)
	}
	if got, least := figure(t, days["cold"], "requests"), figure(t, calm, "requests"); got < 1.1*least {
		t.Errorf("cold: no burst: %.0f requests, on calm %.0f", got, least)
	}
}

// All servers of a zone warm up at once under a burst, and a tenth of the agents has just restarted;
// or a zone returns, or servers are replaced. However many agents there are and however uneven their
// rates, together they make no warming server fail, and stay far under its budget where they are
// notified of its start.
func TestSlowStartHoldsForTheFleet(t *testing.T) {
	for _, f := range []struct {
		agents, servers int
		seeds           uint64
	}{{5, 9, 2}, {30, 20, 2}, {300, 20, 1}} {
		for _, listMs := range []float64{0, 2000} { // notified at once, or within two seconds
			for seed := range f.seeds {
				cfg := small(1+seed, f.agents, f.servers, 0.75)
				cfg.Zones, cfg.RateSpread, cfg.ListMs, cfg.KeepArrivals = 3, 0.8, listMs, false
				cfg.Settings.Tenants = []policy.Tenant{{Name: "all"}}
				for _, day := range []string{"cold", "zone", "replace"} {
					c := playScenario(t, day, cfg, 6)
					fell, most := figure(t, c, "cold servers fallen"), figure(t, c, "cold server's load to its budget, most")
					if fell > 0 || most > 0.75 || listMs == 0 && most > 0.4 || most == 0 {
						t.Errorf("%d agents, list within %.0f ms, seed %d, %s: %.0f fell, load up to %.2f of the budget",
							f.agents, listMs, 1+seed, day, fell, most)
					}
				}
			}
		}
	}
}

// A service whose servers and agents all start at once is served from its first second on, though no
// agent has met a warm server. And yet the servers stay up, also where they can't carry the load and
// a request takes a third of its latency objective.
func TestServiceStartsWhole(t *testing.T) {
	for _, f := range []struct{ agents, servers int }{{5, 9}, {30, 20}, {300, 20}} {
		for _, c := range []struct{ load, workMs, least float64 }{{0.4, 30, 0.25}, {1.2, 100, 0}} {
			cfg := small(1, f.agents, f.servers, c.load*30/c.workMs)
			cfg.WorkMs, cfg.Zones, cfg.RateSpread, cfg.KeepArrivals = c.workMs, 3, 0.8, false
			cfg.Settings.Tenants = []policy.Tenant{{Name: "all"}}
			day := playScenario(t, "start", cfg, 7)
			fell, worst := figure(t, day, "cold servers fallen"), figure(t, day, "worth served in the worst second")
			if fell > 0 || worst < c.least {
				t.Errorf("%d agents, load %.1f: %.0f servers fell, %.2f served in the worst second",
					f.agents, c.load, fell, worst)
			}
		}
	}
}

// A run that is interrupted ends with the cause.
func TestInterruptedPlayEnds(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	why := errors.New("interrupted")
	cancel(why)
	d, err := FindScenario("calm")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Play(ctx, tiny(t, 1), 5, quiet()); !errors.Is(err, why) {
		t.Errorf("ended with %v", err)
	}
}

// A fleet without requests for seconds is played and counted all the same.
func TestSilentFleetIsCounted(t *testing.T) {
	cfg := tiny(t, 1)
	cfg.Rate = 0.001
	if n := figure(t, playScenario(t, "calm", cfg, 3), "requests"); n != 0 {
		t.Errorf("%.0f requests", n)
	}
}
