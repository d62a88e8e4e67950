package model

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"ploverreel/policy"
)

// drawn is a fleet whose classes, tenants and permissions come from the seed: aims of three to
// ten times the work, one class that is worth more, effects of all kinds.
func drawn(seed uint64, agents, servers int) Config {
	rng := rand.New(rand.NewPCG(seed, 31))
	cfg := small(seed, agents, servers, 0.5+0.2*rng.Float64())
	cfg.Zones, cfg.Uneven, cfg.ListMs, cfg.KeepArrivals = 1+rng.IntN(4), 0.8, 1500, false
	set := &cfg.Settings
	set.Limits.Cancellation = rng.IntN(2) == 0
	cfg.RunsOn = !set.Limits.Cancellation
	cfg.Retries = 2
	set.Clients.MarksRetry = rng.IntN(2) == 0
	set.Limits.MaxAttempts = 1 + rng.IntN(5)
	set.Objective = policy.Objective{Whole: 0.55, WorstWindow: 0.15, WorstClass: 0.2, WorstTenant: 0.1}
	set.OverQuotaWeight = 0.2
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
		aim := cfg.WorkMs * t.Work * (4 + 8*rng.Float64())
		c := policy.Class{Name: fmt.Sprint("class", i), LatencyObjectiveMs: aim, DeadlineMs: aim * (2 + 2*rng.Float64()), PriorityWeight: 1,
			Effect: []policy.Effect{policy.EffectIdempotent, policy.EffectIdempotentWithKey, policy.EffectNonIdempotent}[rng.IntN(3)],
			Group:  policy.GroupAll, IdempotencyWindowMs: 2000}
		if i == n-1 {
			c.PriorityWeight = 1 + 6*rng.Float64()
		}
		set.Classes = append(set.Classes, c)
	}
	set.Tenants = []policy.Tenant{{Name: "large", QuotaShare: 0.7}, {Name: "small", QuotaShare: 0.3}}
	return cfg
}

// The times of the surge, in seconds: half of the servers are lost under twice the traffic.
const (
	surgeAt   = 5
	surgeEnds = surgeAt + 6
	surgeLeft = 10 // played after it
)

// surge plays a drawn fleet through the loss of half its servers under twice its traffic.
func surge(t *testing.T, cfg Config) *Model {
	t.Helper()
	cfg.Peak = 2
	m := newModel(t, cfg)
	m.boot()
	play(t, m, surgeAt)
	m.shares.begin(&m.cfg, m.now)
	m.burst = cfg.Peak
	m.loseHalf()
	play(t, m, surgeEnds-surgeAt)
	m.burst = 1
	play(t, m, surgeLeft)
	return m
}

// servedIn is the part of what was asked in some seconds that was served within its aim.
func (m *Model) servedIn(from, to int) float64 {
	all := share{}
	for _, s := range m.seconds[from:to] {
		all.asked += s.Asked
		all.served += s.Served
	}
	return all.part()
}

// Whatever the classes' aims, worths, effects and parts are: through a trouble each class,
// tenant and effect gets at least half of what it would get of a policy that sees the servers
// late, unless that serves it hardly, and the fleet is back soon after.
func TestEveryClassIsServedThroughATrouble(t *testing.T) {
	for _, f := range []struct {
		agents, servers int
		seeds           uint64
	}{{60, 24, 12}, {300, 100, 3}} {
		for seed := uint64(1); seed <= f.seeds; seed++ {
			t.Run(fmt.Sprintf("%d agents, seed %d", f.agents, seed), func(t *testing.T) {
				t.Parallel()
				cfg := drawn(seed, f.agents, f.servers)
				mine := surge(t, cfg)
				cfg.LateView = true
				late := surge(t, cfg)
				check := func(what string, is, want share) {
					if want.part() >= 0.3 && is.part() < want.part()/2 {
						t.Errorf("%s: %.2f served, %.2f by what sees the servers late", what, is.part(), want.part())
					}
				}
				for i, c := range cfg.Settings.Classes {
					check(c.Name, mine.shares.class[i], late.shares.class[i])
					check(string(c.Effect), *mine.shares.effect[c.Effect], *late.shares.effect[c.Effect])
				}
				for i, tenant := range cfg.Settings.Tenants {
					check(tenant.Name, mine.shares.tenant[i], late.shares.tenant[i])
				}
				before, after := mine.servedIn(1, surgeAt), mine.servedIn(surgeEnds+6, surgeEnds+surgeLeft-1)
				if after < 0.75*before {
					t.Errorf("%.2f served before, %.2f seven seconds after", before, after)
				}
			})
		}
	}
}

// The traffic comes in the shares that it is given, and traffic that makes no sense is refused.
func TestTrafficIsAsConfigured(t *testing.T) {
	cfg := drawn(1, 20, 10)
	m := newModel(t, cfg)
	m.boot()
	play(t, m, 20)
	all := 0
	for _, s := range m.shares.class {
		all += s.asked
	}
	for i, want := range cfg.Traffic {
		if got := float64(m.shares.class[i].asked) / float64(all); got < want.Share-0.05 || got > want.Share+0.05 {
			t.Errorf("class %d is %.2f of the requests, want %.2f", i, got, want.Share)
		}
	}
	for _, traffic := range [][]Traffic{{{1, 1}}, {{0.5, 1}, {0.6, 1}, {0.1, 1}}, {{0.5, 2}, {0.3, 1}, {0.2, 1}},
		{{1.5, 1}, {-0.5, 1}, {0, 1}}} {
		cfg.Traffic = traffic
		if _, err := New(cfg); err == nil {
			t.Errorf("taken: %+v", traffic)
		}
	}
}

// Servers that run on with what nobody waits for hold it; others let go of it.
func TestServersRunOn(t *testing.T) {
	for _, runsOn := range []bool{false, true} {
		cfg := small(1, 1, 1, 0.5)
		cfg.RunsOn = runsOn
		m := newModel(t, cfg)
		s := m.servers[0]
		left := &try{server: s, waiting: true}
		s.queue, s.held = []*try{left}, 1
		s.leave(left)
		if want := map[bool]int{false: 0, true: 1}[runsOn]; s.held != want {
			t.Errorf("runs on %v: holds %d, want %d", runsOn, s.held, want)
		}
	}
}
