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

func easy(servers int) workload {
	return workload{servers: servers, replicas: servers, perAgent: 110, zones: 9, seed: 1}
}

func started(t *testing.T, l workload) *player {
	t.Helper()
	p, err := newPlayer(l)
	if err != nil {
		t.Fatal(err)
	}
	p.advance(600)
	return p
}

// workOf is what n calls of do look at, on the mean.
func workOf(p *player, n int, do func()) float64 {
	before := p.balancer.Work()
	for range n {
		do()
	}
	return float64(p.balancer.Work()-before) / float64(n)
}

// What a decision looks at grows at most as fast as the list, or as what is queued.
func TestWorkGrowsNoFasterThanTheSize(t *testing.T) {
	call := func(p *player) func() { return func() { p.advance(1) } }
	replacement := func(p *player) func() { return p.replace }
	for _, c := range []struct {
		name         string
		small, large workload
		do           func(*player) func()
		most         float64
	}{
		{"a call, by servers", easy(200), easy(2000), call, 10},
		{"a replacement, by servers", easy(200), easy(2000), replacement, 10},
		{"a call, by queued requests", workload{servers: 20, replicas: 20, perAgent: 110, queued: 64, seed: 1},
			workload{servers: 20, replicas: 20, perAgent: 110, queued: 512, seed: 1}, call, 8},
		{"a call in a list beyond the subset, by servers", easy(1000), easy(2000), call, 1.1},
	} {
		small, large := started(t, c.small), started(t, c.large)
		before, after := workOf(small, 200, c.do(small)), workOf(large, 200, c.do(large))
		if before <= 0 || after > c.most*before {
			t.Errorf("%s: %.0f and %.0f looked at, want at most %v times", c.name, before, after, c.most)
		}
	}
}

// What a call allocates does not grow with the list.
func TestACallAllocatesTheSameForAnyList(t *testing.T) {
	small, large := started(t, easy(200)), started(t, easy(2000))
	before := testing.AllocsPerRun(300, func() { small.advance(1) })
	after := testing.AllocsPerRun(300, func() { large.advance(1) })
	if after > before+1 {
		t.Errorf("%v allocations with 200 servers, %v with 2000", before, after)
	}
}

// A play is repeated by its seed, and by no other.
func TestAPlayIsRepeatedByItsSeed(t *testing.T) {
	l := workload{servers: 60, replicas: 2000, perAgent: 110, unhealthy: 0.1, cold: 0.1, zones: 3, seed: 7}
	a, b := started(t, l), started(t, l)
	if a.balancer.Work() != b.balancer.Work() || a.now != b.now || !slices.Equal(a.counts.waits, b.counts.waits) {
		t.Error("two plays of one seed differ")
	}
	l.seed++
	if c := started(t, l); c.now == a.now {
		t.Error("another seed played the same")
	}
}

// The loads are what they are named after.
func TestLoadsAreWhatTheySay(t *testing.T) {
	p := started(t, workload{servers: 20, replicas: 20, perAgent: 110, queued: 64, seed: 1})
	for range 500 {
		last, short := p.last, p.waiting < 64
		if p.step(); p.waiting > 64 || short != (p.last > last) {
			t.Fatalf("%d requests are queued, want 64 before anything else comes", p.waiting)
		}
	}
	p = started(t, workload{servers: 100, replicas: 100, perAgent: 110, unhealthy: 0.5, seed: 1})
	if len(p.refusing) != 50 || len(p.untried) != 0 {
		t.Errorf("%d servers refuse, %d of them were not tried", len(p.refusing), len(p.untried))
	}
	p = started(t, easy(200))
	p.counts = requestCounts{}
	p.advance(400)
	if r := p.counts; r.requests != 400 || r.refused != 0 || r.attempts < 399 || r.served < 398 {
		t.Errorf("an easy load: %d requests, %d refused, %d attempts, %d served",
			r.requests, r.refused, r.attempts, r.served)
	}
	if p.waiting+p.counts.attempts < 400 || len(p.open) > 5 {
		t.Errorf("%d wait, %d are open", p.waiting, len(p.open))
	}
}

// A small run has every case with figures that are numbers, and its fits.
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
				t.Errorf("%s: %s is %v", c.Name, f.Name, f.Value)
			}
		}
		if w, ok := c.Figure("work"); ok && w <= 0 {
			t.Errorf("%s: no work", c.Name)
		}
	}
	for _, want := range []string{"servers 4", "servers 40", "held 512", "cold 0.5", "unhealthy 0.1", "replicas 40",
		"lists 40", "limit 4"} {
		if !names[want] {
			t.Errorf("no case %q", want)
		}
	}
	if len(names) != len(r.Cases) || len(r.Fits) == 0 || len(r.Notes) != 0 {
		t.Errorf("%d names of %d cases, %d fits, notes %q", len(names), len(r.Cases), len(r.Fits), r.Notes)
	}
}

// An interrupted run ends with the cause, and options that make no sense are named.
func TestARunEndsWithItsCause(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	o := Options{Size: fleet.Target(), Requests: 1, Repeats: 1}
	if err := Run(ctx, slog.New(slog.DiscardHandler), o, &fleet.Result{}); !errors.Is(err, context.Canceled) {
		t.Errorf("interrupted: %v", err)
	}
	for arg, spoil := range map[string]func(*Options){
		"requests": func(o *Options) { o.Requests = 0 },
		"repeats":  func(o *Options) { o.Repeats = maxRepeats + 1 },
		"agents":   func(o *Options) { o.Size.Agents = 0 },
	} {
		o := Options{Size: fleet.Target(), Requests: 1, Repeats: 1}
		spoil(&o)
		var usage *fleet.UsageError
		if err := o.Validate(); !errors.As(err, &usage) || usage.Arg != arg {
			t.Errorf("%s: %v", arg, err)
		}
	}
}
