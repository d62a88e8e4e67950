package model

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"ploverreel/policy"
)

// randomConfig returns a fleet with random classes, tenants and limits drawn from the seed. Latency
// objectives are 4 to 12 times the class's mean work, one class has a higher priority weight, and a
// class may have any effect.
func randomConfig(seed uint64, agents, servers int) Config {
	rng := rand.New(rand.NewPCG(seed, 31))
	cfg := smallConfig(seed, agents, servers, 0.5+0.2*rng.Float64())
	cfg.Zones, cfg.RateSpread, cfg.ListMs, cfg.RecordArrivals = 1+rng.IntN(4), 0.8, 1500, false
	set := &cfg.Settings
	set.Limits.Cancellation = rng.IntN(2) == 0
	cfg.ServesAbandoned = !set.Limits.Cancellation
	cfg.Retries = 2
	set.Clients.MarksRetry = rng.IntN(2) == 0
	set.Limits.MaxAttempts = 1 + rng.IntN(5)
	set.Objective = policy.Objective{Whole: 0.55, WorstWindow: 0.15, WorstClass: 0.2, WorstTenant: 0.1}
	set.OverQuotaFactor = 0.2
	set.Classes = nil
	n := 2 + rng.IntN(3)
	work, shares := 0.0, 0.0
	for range n {
		t := Traffic{Share: 0.5 + rng.Float64(), Work: 0.5 + rng.Float64()}
		cfg.Traffic = append(cfg.Traffic, t)
		shares += t.Share
	}
	for i := range cfg.Traffic {
		cfg.Traffic[i].Share /= shares
		work += cfg.Traffic[i].Share * cfg.Traffic[i].Work
	}
	for i := range cfg.Traffic {
		t := &cfg.Traffic[i]
		t.Work /= work
		objective := cfg.WorkMs * t.Work * (4 + 8*rng.Float64())
		c := policy.Class{Name: fmt.Sprint("class", i), LatencyObjectiveMs: objective, DeadlineMs: objective * (2 + 2*rng.Float64()),
			PriorityWeight: 1,
			Effect:         []policy.Effect{policy.EffectIdempotent, policy.EffectIdempotentWithKey, policy.EffectNonIdempotent}[rng.IntN(3)],
			Group:          policy.GroupAll, IdempotencyWindowMs: 2000}
		if i == n-1 {
			c.PriorityWeight = 1 + 6*rng.Float64()
		}
		set.Classes = append(set.Classes, c)
	}
	set.Tenants = []policy.Tenant{{Name: "large", QuotaShare: 0.7}, {Name: "small", QuotaShare: 0.3}}
	return cfg
}

// The times in seconds of the surge: half of the servers fail under twice the traffic.
const (
	surgeAt    = 5
	surgeEnds  = surgeAt + 6
	afterSurge = 10 // duration of the run after the surge
)

// runSurge runs a fleet that loses half of its servers under twice its traffic.
func runSurge(t *testing.T, cfg Config) *Model {
	t.Helper()
	cfg.MaxRateFactor = 2
	m := newModel(t, cfg)
	m.boot()
	run(t, m, surgeAt)
	m.goodputs.reset(&m.cfg, m.now)
	m.rateFactor = cfg.MaxRateFactor
	m.failHalf()
	run(t, m, surgeEnds-surgeAt)
	m.rateFactor = 1
	run(t, m, afterSurge)
	return m
}

// goodputIn returns the share of requests served within their latency objective. It covers the
// requests first sent in the seconds from "from" up to, but not including, "to".
func (m *Model) goodputIn(from, to int) float64 {
	total := goodput{}
	for _, s := range m.secondCounts[from:to] {
		total.offered += s.Requests
		total.served += s.Served
	}
	return total.share()
}

// During a fault each class, tenant and effect must have at least half of the goodput that it has
// with the delayed-view baseline. It is not checked if the baseline's goodput is below 0.3. The
// fleet must recover soon after the fault. This must hold for any latency objectives, priority
// weights, effects and shares of the classes.
func TestEveryClassKeepsGoodputThroughFault(t *testing.T) {
	for _, f := range []struct {
		agents, servers int
		seeds           uint64
	}{{60, 24, 12}, {300, 100, 3}} {
		for seed := uint64(1); seed <= f.seeds; seed++ {
			t.Run(fmt.Sprintf("%d agents, seed %d", f.agents, seed), func(t *testing.T) {
				t.Parallel()
				cfg := randomConfig(seed, f.agents, f.servers)
				module := runSurge(t, cfg)
				cfg.DelayedView = true
				baseline := runSurge(t, cfg)
				check := func(what string, got, want goodput) {
					if want.share() >= 0.3 && got.share() < want.share()/2 {
						t.Errorf("%s: got goodput %.2f, want at least half of the %.2f with the delayed-view baseline", what, got.share(), want.share())
					}
				}
				for i, c := range cfg.Settings.Classes {
					check(c.Name, module.goodputs.class[i], baseline.goodputs.class[i])
					check(string(c.Effect), *module.goodputs.effect[c.Effect], *baseline.goodputs.effect[c.Effect])
				}
				for i, tenant := range cfg.Settings.Tenants {
					check(tenant.Name, module.goodputs.tenant[i], baseline.goodputs.tenant[i])
				}
				before, after := module.goodputIn(1, surgeAt), module.goodputIn(surgeEnds+6, surgeEnds+afterSurge-1)
				if after < 0.75*before {
					t.Errorf("got goodput %.2f seven seconds after the surge, want at least 0.75 of the %.2f before", after, before)
				}
			})
		}
	}
}

// Requests are distributed by the classes' configured shares. Invalid traffic is an error.
func TestTrafficHasConfiguredShares(t *testing.T) {
	cfg := randomConfig(1, 20, 10)
	m := newModel(t, cfg)
	m.boot()
	run(t, m, 20)
	total := 0
	for _, s := range m.goodputs.class {
		total += s.offered
	}
	for i, want := range cfg.Traffic {
		if got := float64(m.goodputs.class[i].offered) / float64(total); got < want.Share-0.05 || got > want.Share+0.05 {
			t.Errorf("class %d: got %.2f of the requests, want %.2f", i, got, want.Share)
		}
	}
	for name, traffic := range map[string][]Traffic{
		"too few classes":         {{1, 1}},
		"shares add up to over 1": {{0.5, 1}, {0.6, 1}, {0.1, 1}},
		"mean work is not 1":      {{0.5, 2}, {0.3, 1}, {0.2, 1}},
		"a negative share":        {{1.5, 1}, {-0.5, 1}, {0, 1}},
	} {
		cfg.Traffic = traffic
		if _, err := New(cfg); err == nil {
			t.Errorf("%s: got no error for %+v, want one", name, traffic)
		}
	}
}
