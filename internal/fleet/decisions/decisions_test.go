package decisions

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"slices"
	"testing"

	"ploverreel/internal/fleet"
)

// easyLoad returns a workload that queues nothing.
func easyLoad(servers int) workload {
	return workload{servers: servers, replicas: servers, perAgent: 110, zones: 9, seed: 1}
}

// started returns a player that has played some requests.
func started(t *testing.T, l workload) *player {
	t.Helper()
	p, err := newPlayer(l)
	if err != nil {
		t.Fatal(err)
	}
	p.advance(600)
	return p
}

// workOf returns the balancer's work for a call of do, the mean of n calls.
func workOf(p *player, n int, do func()) float64 {
	before := p.balancer.Work()
	for range n {
		do()
	}
	return float64(p.balancer.Work()-before) / float64(n)
}

// The work of a decision grows at most as fast as the list, or as the queue.
func TestBalancerWorkGrowsNoFasterThanSize(t *testing.T) {
	call := func(p *player) func() { return func() { p.advance(1) } }
	replacement := func(p *player) func() { return p.replace }
	for _, c := range []struct {
		name         string
		small, large workload
		do           func(*player) func()
		most         float64
	}{
		{"a call, by servers", easyLoad(200), easyLoad(2000), call, 10},
		{"a replacement, by servers", easyLoad(200), easyLoad(2000), replacement, 10},
		{"a call, by queued requests", workload{servers: 20, replicas: 20, perAgent: 110, queued: 64, seed: 1},
			workload{servers: 20, replicas: 20, perAgent: 110, queued: 512, seed: 1}, call, 8},
		{"a call in a list beyond the subset, by servers", easyLoad(1000), easyLoad(2000), call, 1.1},
	} {
		small, large := started(t, c.small), started(t, c.large)
		before, after := workOf(small, 200, c.do(small)), workOf(large, 200, c.do(large))
		if before <= 0 || after > c.most*before {
			t.Errorf("%s: got work %.0f and then %.0f, want at most %v times as much", c.name, before, after, c.most)
		}
	}
}

// The allocations of a call do not grow with the list.
func TestBalancerAllocationsDoNotGrowWithList(t *testing.T) {
	small, large := started(t, easyLoad(200)), started(t, easyLoad(2000))
	before := testing.AllocsPerRun(300, func() { small.advance(1) })
	after := testing.AllocsPerRun(300, func() { large.advance(1) })
	if after > before+1 {
		t.Errorf("got %v allocations with 2000 servers, want at most one more than the %v with 200", after, before)
	}
}

// A play is the same for the same seed, and another for another seed.
func TestPlayerRepeatsPlayOfSameSeed(t *testing.T) {
	l := workload{servers: 60, replicas: 2000, perAgent: 110, unhealthy: 0.1, warming: 0.1, zones: 3, seed: 7}
	a, b := started(t, l), started(t, l)
	if a.balancer.Work() != b.balancer.Work() || a.now != b.now || !slices.Equal(a.counts.waits, b.counts.waits) {
		t.Error("got two plays of one seed that differ, want the same")
	}
	l.seed++
	if c := started(t, l); c.now == a.now {
		t.Error("got the same play for another seed, want another")
	}
}

// A player keeps its queue full, has servers refuse, or plays an easy load, as its workload says.
func TestPlayerKeepsItsWorkload(t *testing.T) {
	p := started(t, workload{servers: 20, replicas: 20, perAgent: 110, queued: 64, seed: 1})
	for range 500 {
		last, short := p.last, p.waiting < 64
		if p.step(); p.waiting > 64 || short != (p.last > last) {
			t.Fatalf("got %d requests queued, want 64 before another event", p.waiting)
		}
	}
	p = started(t, workload{servers: 100, replicas: 100, perAgent: 110, unhealthy: 0.5, seed: 1})
	if len(p.refusing) != 50 || len(p.untried) != 0 {
		t.Errorf("got %d servers that refuse, %d of them not tried, want 50 and none", len(p.refusing), len(p.untried))
	}
	p = started(t, easyLoad(200))
	p.counts = requestCounts{}
	p.advance(400)
	if r := p.counts; r.requests != 400 || r.rejected != 0 || r.attempts < 399 || r.served < 398 {
		t.Errorf("easy load: got %d requests, %d rejected, %d attempts, %d served, want 400, none, and all but a few",
			r.requests, r.rejected, r.attempts, r.served)
	}
	if p.waiting+p.counts.attempts < 400 || len(p.open) > 5 {
		t.Errorf("easy load: got %d queued and %d open, want 400 queued or sent and 5 open at most", p.waiting, len(p.open))
	}
}

// A run has a case for each series, with figures that are numbers, and its fits.
func TestRunMeasuresEveryCase(t *testing.T) {
	size := fleet.Size{Agents: 40, Servers: 40, Services: 10, Regions: 1, Zones: 3, Rate: 4400, Depth: 1, Seed: 1}
	o := Options{Size: size, Requests: 40, Repeats: 1}
	r := &fleet.Result{}
	if err := Run(context.Background(), slog.New(slog.DiscardHandler), o, r); err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, c := range r.Cases {
		names[c.Name] = true
		for _, f := range c.Figures {
			if math.IsNaN(f.Value) || math.IsInf(f.Value, 0) {
				t.Errorf("%s: got %s %v, want a number", c.Name, f.Name, f.Value)
			}
		}
		if w, ok := c.Figure("work"); ok && w <= 0 {
			t.Errorf("%s: got work %v, want some", c.Name, w)
		}
	}
	for _, want := range []string{"servers 4", "servers 40", "held 512", "cold 0.5", "unhealthy 0.1", "replicas 40",
		"lists 40", "limit 4"} {
		if !names[want] {
			t.Errorf("got no case %q, want one", want)
		}
	}
	if len(names) != len(r.Cases) || len(r.Fits) == 0 || len(r.Notes) != 0 {
		t.Errorf("got %d names of %d cases, %d fits, notes %q, want as many names as cases, fits and no notes", len(names), len(r.Cases), len(r.Fits), r.Notes)
	}
}

// An interrupted run ends with the cause, and the error of an invalid option names it.
func TestRunEndsWithItsCause(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	o := Options{Size: fleet.TargetSize(), Requests: 1, Repeats: 1}
	if err := Run(ctx, slog.New(slog.DiscardHandler), o, &fleet.Result{}); !errors.Is(err, context.Canceled) {
		t.Errorf("interrupted: got error %v, want %v", err, context.Canceled)
	}
	for arg, change := range map[string]func(*Options){
		"requests": func(o *Options) { o.Requests = 0 },
		"repeats":  func(o *Options) { o.Repeats = maxRepeats + 1 },
		"agents":   func(o *Options) { o.Size.Agents = 0 },
	} {
		o := Options{Size: fleet.TargetSize(), Requests: 1, Repeats: 1}
		change(&o)
		var usage *fleet.UsageError
		if err := o.Validate(); !errors.As(err, &usage) || usage.Arg != arg {
			t.Errorf("got error %v, want a usage error of --%s", err, arg)
		}
	}
}
