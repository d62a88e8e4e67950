package model

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// playDay plays a day for so many seconds after the settling.
func playDay(t *testing.T, name string, cfg Config, seconds float64) *fleet.Case {
	t.Helper()
	d, err := FindDay(name)
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

// tiny is a fleet of three services whose agents are told of the service that they call.
func tiny(t *testing.T, seed uint64) Config {
	t.Helper()
	size := fleet.Size{Agents: 27, Servers: 36, Services: 3, Regions: 3, Zones: 9, Rate: 720, Depth: 10, Seed: seed}
	cfg, err := ConfigOf(size, 1, 0.5)
	if err != nil {
		t.Fatal(err)
	}
	cfg.ToldService = true
	return cfg
}

// The same seed gives the same figures, byte for byte, on all days, and another seed others.
func TestSameSeedSameFigures(t *testing.T) {
	play := func(day string, seed uint64) string {
		text, err := json.Marshal(playDay(t, day, tiny(t, seed), 5))
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	for _, d := range Days() {
		if first, again := play(d.Name, 1), play(d.Name, 1); first != again {
			t.Errorf("%s gave\n%s and again\n%s", d.Name, first, again)
		}
	}
	if play("calm", 1) == play("calm", 2) {
		t.Error("the seed changes nothing")
	}
}

// Each day's trouble is there, and only its own.
func TestDaysDoWhatTheySay(t *testing.T) {
	days := map[string]*fleet.Case{}
	for _, d := range Days() {
		days[d.Name] = playDay(t, d.Name, tiny(t, 1), 6)
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

// A cold server falls by one more request in a window than its budget, and not by as many
// spread over two; its fall is the agents' that knew if over two thirds came from them.
func TestColdServersFallOverTheirBudget(t *testing.T) {
	for _, c := range []struct {
		over, known int // one in so many came from an agent that had been told
		gapMs       float64
		fell, ours  bool
	}{{0, 1, 0, false, false}, {1, 1, 0, true, true}, {1, 2, 0, true, false}, {40, 1, 60, false, false}} {
		m := newModel(t, small(1, 2, 2, 0.5))
		s := m.servers[0]
		s.begin()
		most := int(s.budget(m.now))
		if most != 30+10+2 { // 3 x 0.3 of the 33 that it can do in the window, and chance
			t.Fatalf("budget %d", most)
		}
		for i := range most + c.over {
			s.weigh(&request{work: 1}, i%c.known == 0)
			m.now += c.gapMs
		}
		if s.cold.fell != c.fell || s.cold.ours != c.ours || s.down != c.fell {
			t.Errorf("%+v: fell %v, by who knew %v, down %v", c, s.cold.fell, s.cold.ours, s.down)
		}
	}
}

// All servers of a zone are cold at once under a burst, and a tenth of the agents has just
// restarted; or a zone returns, or servers are replaced. However many agents there are and
// however unevenly they are asked, together they bring no cold server down, and stay far under
// its budget where they know of its start.
func TestSlowStartHoldsForTheFleet(t *testing.T) {
	for _, f := range []struct {
		agents, servers int
		seeds           uint64
	}{{5, 9, 2}, {30, 20, 2}, {300, 20, 1}} {
		for _, listMs := range []float64{0, 2000} { // told at once, or within two seconds
			for seed := range f.seeds {
				cfg := small(1+seed, f.agents, f.servers, 0.75)
				cfg.Zones, cfg.Uneven, cfg.ListMs, cfg.KeepArrivals = 3, 0.8, listMs, false
				cfg.Settings.Tenants = []policy.Tenant{{Name: "all"}}
				for _, day := range []string{"cold", "zone", "replace"} {
					c := playDay(t, day, cfg, 6)
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

// A service that starts whole, servers and agents alike, is served from its first second on:
// agents that had met no warm server sent nothing until all were warm. And yet the servers
// stay up, also where they can't do what is asked and a request takes a third of its aim.
func TestServiceStartsWhole(t *testing.T) {
	for _, f := range []struct{ agents, servers int }{{5, 9}, {30, 20}, {300, 20}} {
		for _, c := range []struct{ load, workMs, least float64 }{{0.4, 30, 0.25}, {1.2, 100, 0}} {
			cfg := small(1, f.agents, f.servers, c.load*30/c.workMs)
			cfg.WorkMs, cfg.Zones, cfg.Uneven, cfg.KeepArrivals = c.workMs, 3, 0.8, false
			cfg.Settings.Tenants = []policy.Tenant{{Name: "all"}}
			day := playDay(t, "start", cfg, 7)
			fell, worst := figure(t, day, "cold servers fallen"), figure(t, day, "worth served in the worst second")
			if fell > 0 || worst < c.least {
				t.Errorf("%d agents, load %.1f: %.0f servers fell, %.2f served in the worst second",
					f.agents, c.load, fell, worst)
			}
		}
	}
}

// Events come in the order of their times, and of one time in that of their making.
func TestQueueKeepsOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var q queue
	type mark struct {
		at    float64
		order int
	}
	var want, got []mark
	take := func() {
		e := q.pop()
		got = append(got, mark{e.at, int(e.order)})
	}
	now := 0.0
	for i := range 5000 {
		at := now + float64(rng.IntN(50))
		want = append(want, mark{at, i + 1})
		if i%2 == 0 {
			q.push(at, call(nil))
		} else {
			q.pushLate(at+20, call(nil))
			want[i].at += 20
		}
		if i%3 == 0 {
			now = q.next().at
			take()
		}
	}
	for !q.empty() {
		take()
	}
	slices.SortFunc(want, func(a, b mark) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.order - b.order
	})
	if !slices.Equal(got, want) {
		t.Error("events came out of order")
	}
}

// Services get all of the servers, two at the least, and are of uneven size.
func TestServicesAreUneven(t *testing.T) {
	for _, n := range [][2]int{{2000, 160}, {320, 160}, {160, 160}, {2001, 7}, {5, 1}} {
		parts := divide(n[0], n[1])
		sum := 0
		for _, p := range parts {
			sum += p
		}
		if sum != n[0] || len(parts) != n[1] || slices.Min(parts) < min(2, n[0]/n[1]) {
			t.Errorf("%v: %d in all, from %d", n, sum, slices.Min(parts))
		}
		if n[0] == 2000 && slices.Max(parts) < 10*slices.Min(parts) {
			t.Errorf("%v: from %d to %d", n, slices.Min(parts), slices.Max(parts))
		}
	}
}

// A run that is interrupted ends with the cause.
func TestInterruptedPlayEnds(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	why := errors.New("interrupted")
	cancel(why)
	d, err := FindDay("calm")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Play(ctx, tiny(t, 1), 5, quiet()); !errors.Is(err, why) {
		t.Errorf("ended with %v", err)
	}
}

// A fleet of which nobody asks anything for seconds is played and counted all the same.
func TestSilentFleetIsCounted(t *testing.T) {
	cfg := tiny(t, 1)
	cfg.Rate = 0.001
	if n := figure(t, playDay(t, "calm", cfg, 3), "requests"); n != 0 {
		t.Errorf("%.0f requests", n)
	}
}
