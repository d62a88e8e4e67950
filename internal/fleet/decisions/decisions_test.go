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

// uncongestedLoad returns a workload that queues nothing.
func uncongestedLoad(servers int) workload {
	return workload{servers: servers, replicas: servers, ratePerAgent: 110, zones: 9, seed: 1}
}

// startedDriver returns a driver that has sent 600 requests.
func startedDriver(t *testing.T, w workload) *driver {
	t.Helper()
	d, err := newDriver(w)
	if err != nil {
		t.Fatal(err)
	}
	d.advance(600)
	return d
}

// meanWork calls handle n times and returns the balancer's mean work for a call.
func meanWork(d *driver, n int, handle func()) float64 {
	before := d.balancer.Work()
	for range n {
		handle()
	}
	return float64(d.balancer.Work()-before) / float64(n)
}

// The work of the balancer grows no faster than the number of listed servers or of queued requests.
// In lists longer than the subset it hardly grows.
func TestBalancerWorkGrowsNoFasterThanSize(t *testing.T) {
	call := func(d *driver) func() { return func() { d.advance(1) } }
	replacement := func(d *driver) func() { return d.replaceServer }
	for _, c := range []struct {
		name         string
		small, large workload
		event        func(*driver) func()
		maxRatio     float64
	}{
		{"a call, by servers", uncongestedLoad(200), uncongestedLoad(2000), call, 10},
		{"a replacement, by servers", uncongestedLoad(200), uncongestedLoad(2000), replacement, 10},
		{"a call, by queued requests", workload{servers: 20, replicas: 20, ratePerAgent: 110, queued: 64, seed: 1},
			workload{servers: 20, replicas: 20, ratePerAgent: 110, queued: 512, seed: 1}, call, 8},
		{"a call in a list beyond the subset, by servers", uncongestedLoad(1000), uncongestedLoad(2000), call, 1.1},
	} {
		small, large := startedDriver(t, c.small), startedDriver(t, c.large)
		before, after := meanWork(small, 200, c.event(small)), meanWork(large, 200, c.event(large))
		if before <= 0 || after > c.maxRatio*before {
			t.Errorf("%s: got work %.0f and then %.0f, want at most %v times as much", c.name, before, after, c.maxRatio)
		}
	}
}

// The allocations of a call do not grow with the list.
func TestBalancerAllocationsDoNotGrowWithList(t *testing.T) {
	small, large := startedDriver(t, uncongestedLoad(200)), startedDriver(t, uncongestedLoad(2000))
	before := testing.AllocsPerRun(300, func() { small.advance(1) })
	after := testing.AllocsPerRun(300, func() { large.advance(1) })
	if after > before+1 {
		t.Errorf("got %v allocations with 2000 servers, want at most one more than the %v with 200", after, before)
	}
}

// Two runs with the same seed are identical, and a run with another seed differs.
func TestDriverRepeatsRunOfSameSeed(t *testing.T) {
	w := workload{servers: 60, replicas: 2000, ratePerAgent: 110, refusingShare: 0.1, warmingShare: 0.1, zones: 3, seed: 7}
	a, b := startedDriver(t, w), startedDriver(t, w)
	if a.balancer.Work() != b.balancer.Work() || a.nowMs != b.nowMs || !slices.Equal(a.counts.waitsMs, b.counts.waitsMs) {
		t.Error("got two different runs of one seed, want the same")
	}
	w.seed++
	if c := startedDriver(t, w); c.nowMs == a.nowMs {
		t.Error("got the same run for another seed, want another")
	}
}

// The driver keeps the given number of requests queued, lets the given share of servers refuse
// connections, and otherwise sends an uncongested load.
func TestDriverKeepsItsWorkload(t *testing.T) {
	d := startedDriver(t, workload{servers: 20, replicas: 20, ratePerAgent: 110, queued: 64, seed: 1})
	for range 500 {
		lastRequest, short := d.lastRequest, d.queuedRequests < 64
		if d.step(); d.queuedRequests > 64 || short != (d.lastRequest > lastRequest) {
			t.Fatalf("got %d requests queued, want 64 before another event", d.queuedRequests)
		}
	}
	d = startedDriver(t, workload{servers: 100, replicas: 100, ratePerAgent: 110, refusingShare: 0.5, seed: 1})
	if len(d.refusing) != 50 || len(d.notYetTried) != 0 {
		t.Errorf("got %d servers that refuse, %d of them not tried, want 50 and none", len(d.refusing), len(d.notYetTried))
	}
	d = startedDriver(t, uncongestedLoad(200))
	d.counts = requestCounts{}
	d.advance(400)
	if r := d.counts; r.requests != 400 || r.rejected != 0 || r.attempts < 399 || r.served < 398 {
		t.Errorf("uncongested load: got %d requests, %d rejected, %d attempts, %d served, want 400, none, and all but a few",
			r.requests, r.rejected, r.attempts, r.served)
	}
	if d.queuedRequests+d.counts.attempts < 400 || len(d.open) > 5 {
		t.Errorf("uncongested load: got %d queued and %d open, want 400 queued or sent and 5 open at most", d.queuedRequests, len(d.open))
	}
}

// A run has the cases of all series and the fitted lines, and all figures are finite numbers.
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

// An interrupted run returns the cause, and Validate names the invalid option in its error.
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
