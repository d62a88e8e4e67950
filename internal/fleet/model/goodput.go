package model

import (
	"math"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// goodput counts offered requests and those of them that were served within their latency objective.
type goodput struct{ offered, served int }

// share returns the served share of the offered requests, from 0 to 1.
func (g goodput) share() float64 { return float64(g.served) / float64(max(g.offered, 1)) }

// goodputs holds the goodput of each class, tenant and effect. It counts the requests that clients
// first sent at or after the time from.
type goodputs struct {
	classes []policy.Class
	from    float64 // in ms
	class   []goodput
	tenant  []goodput
	effect  map[policy.Effect]*goodput
}

// newGoodputs returns goodputs that count requests of all times.
func newGoodputs(cfg *Config) *goodputs {
	g := &goodputs{classes: cfg.Settings.Classes, from: math.Inf(-1), class: make([]goodput, len(cfg.Settings.Classes)),
		tenant: make([]goodput, max(len(cfg.Settings.Tenants), 1)), effect: map[policy.Effect]*goodput{}}
	for _, c := range g.classes {
		g.effect[c.Effect] = &goodput{}
	}
	return g
}

// reset resets the counts. From now on they include only requests first sent at or after from, in ms.
func (g *goodputs) reset(cfg *Config, from float64) {
	*g = *newGoodputs(cfg)
	g.from = from
}

// countsOf returns the counts of a request's class, tenant and effect, or none for a request that
// was first sent before from.
func (g *goodputs) countsOf(r *request) []*goodput {
	if r.arrivedAt < g.from {
		return nil
	}
	return []*goodput{&g.class[r.class], &g.tenant[r.tenant], g.effect[g.classes[r.class].Effect]}
}

// addRequest counts an offered request.
func (g *goodputs) addRequest(r *request) {
	for _, c := range g.countsOf(r) {
		c.offered++
	}
}

// addServed counts a request that was served within its latency objective.
func (g *goodputs) addServed(r *request) {
	for _, c := range g.countsOf(r) {
		c.served++
	}
}

// servedPrefix starts the names of the figures for the goodput of a class, an effect or a tenant.
const servedPrefix = "served of "

// addGoodputs adds the goodput of each class and effect to a result if there are several classes, and
// that of each tenant if there are several tenants.
func (m *Model) addGoodputs(result *fleet.Case) {
	settings := &m.cfg.Settings
	if len(settings.Classes) > 1 {
		for i, class := range settings.Classes {
			result.Add(servedPrefix+"class "+class.Name, "share", m.goodputs.class[i].share())
		}
		for _, effect := range []policy.Effect{policy.EffectIdempotent, policy.EffectIdempotentWithKey, policy.EffectNonIdempotent} {
			if counted := m.goodputs.effect[effect]; counted != nil {
				result.Add(servedPrefix+"effect "+string(effect), "share", counted.share())
			}
		}
	}
	if len(settings.Tenants) > 1 {
		for i, tenant := range settings.Tenants {
			result.Add(servedPrefix+"tenant "+tenant.Name, "share", m.goodputs.tenant[i].share())
		}
	}
}
