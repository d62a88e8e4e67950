package model

import (
	"math"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

const (
	// mostSpread is the largest spread of the requests' work.
	mostSpread = 3.0
	// hintSpread is that of what clients estimate it as: of the logarithm of the ratio.
	hintSpread = 0.3
)

// deadlineMs is what a client gives a request where the configuration tells of no traffic.
const deadlineMs = 1000

// Traffic is what is asked of one class.
type Traffic struct {
	Share float64 // of all requests
	Work  float64 // of its requests, in those of mean work
}

// validateTraffic reports traffic that does not fit the settings' classes.
func (cfg *Config) validateTraffic() error {
	if len(cfg.Traffic) == 0 {
		return nil
	}
	if len(cfg.Traffic) != len(cfg.Settings.Classes) {
		return fleet.Usage("traffic", "must be of %d classes, is of %d", len(cfg.Settings.Classes), len(cfg.Traffic))
	}
	shares, work := 0.0, 0.0
	for _, t := range cfg.Traffic {
		if !(t.Share >= 0) || !(t.Work > 0) {
			return fleet.Usage("traffic", "shares must be 0 or above and work above 0, are %v and %v", t.Share, t.Work)
		}
		shares += t.Share
		work += t.Share * t.Work
	}
	if math.Abs(shares-1) > 1e-6 || math.Abs(work-1) > 1e-6 {
		return fleet.Usage("traffic", "shares must add up to 1 and mean work be 1, are %v and %v", shares, work)
	}
	return nil
}

// Mix has four classes of different aims, worths and effects and two tenants asked in place of
// one of each, by clients that come again twice.
func (cfg *Config) Mix() {
	class := func(name string, aim, worth float64, effect policy.Effect) policy.Class {
		return policy.Class{Name: name, LatencyObjectiveMs: aim * cfg.WorkMs, DeadlineMs: 4 * aim * cfg.WorkMs, PriorityWeight: worth,
			Effect: effect, Group: policy.GroupCell, IdempotencyWindowMs: 2 * aim * cfg.WorkMs}
	}
	set := &cfg.Settings
	set.Classes = []policy.Class{class("short", 6, 1, policy.EffectIdempotent), class("long", 12, 1, policy.EffectIdempotent),
		class("keyed", 12, 3, policy.EffectIdempotentWithKey), class("once", 12, 8, policy.EffectNonIdempotent)}
	set.Objective = policy.Objective{Whole: 0.55, WorstWindow: 0.15, WorstClass: 0.2, WorstTenant: 0.1}
	set.OverQuotaWeight = 0.2
	set.Tenants = []policy.Tenant{{Name: "large", QuotaShare: 0.7}, {Name: "small", QuotaShare: 0.3}}
	cfg.Traffic = []Traffic{{0.4, 0.7}, {0.3, 1}, {0.2, 1.4}, {0.1, 1.4}}
	cfg.Retries = 2
}

// draw is a client's new request.
func (m *Model) draw() *request {
	r := &request{class: m.drawClass(), tenant: m.drawTenant(), key: 1 + m.rng.Uint64N(400), cameAt: m.now, work: 1}
	if spread := m.cfg.Heavy; spread > 0 {
		r.work = math.Exp(spread*m.rng.NormFloat64() - spread*spread/2) // of mean 1
		if m.cfg.Hinted {
			r.hintMs = m.workOf(r) * math.Exp(hintSpread*m.rng.NormFloat64())
		}
	}
	return r
}

func (m *Model) drawClass() int {
	traffic := m.cfg.Traffic
	return m.drawPart(len(traffic), func(i int) float64 { return traffic[i].Share })
}

func (m *Model) drawTenant() int {
	tenants := m.cfg.Settings.Tenants
	return m.drawPart(len(tenants), func(i int) float64 { return tenants[i].QuotaShare })
}

// drawPart draws one of n by their parts of the whole.
func (m *Model) drawPart(n int, part func(i int) float64) int {
	if n < 2 {
		return 0
	}
	at := m.rng.Float64()
	for i := range n {
		if at -= part(i); at < 0 {
			return i
		}
	}
	return n - 1
}

// tryShare is the part of the time after which it gives up that a client waits for a try.
const tryShare = 0.6

// mostRetries is how often a client comes again with a request that is not served.
func (m *Model) mostRetries() int { return max(m.cfg.Retries, 1) }

// patience is how long a client waits for a try.
func (m *Model) patience(class int) float64 {
	if len(m.cfg.Traffic) == 0 {
		return deadlineMs
	}
	return tryShare * m.cfg.Settings.Classes[class].DeadlineMs
}

// workOf is the mean work of a request, and where work is heavy-tailed its very work.
func (m *Model) workOf(r *request) float64 { return m.cfg.WorkMs * m.classWork(r) * r.work }

// classWork is the mean work of the request's class, in requests of mean work.
func (m *Model) classWork(r *request) float64 {
	if len(m.cfg.Traffic) == 0 {
		return 1
	}
	return m.cfg.Traffic[r.class].Work
}

// serviceTime is how long one core at full speed works on a request.
func (m *Model) serviceTime(r *request) float64 {
	if m.cfg.Heavy > 0 {
		return m.workOf(r)
	}
	return m.rng.ExpFloat64() * m.workOf(r)
}

// share counts requests and those of them that were served within their aim.
type share struct{ asked, served int }

func (s share) part() float64 { return float64(s.served) / float64(max(s.asked, 1)) }

// shares are the parts served of each class, tenant and effect, by the time at which a
// request first came.
type shares struct {
	classes []policy.Class
	from    float64 // requests that came before don't count
	class   []share
	tenant  []share
	effect  map[policy.Effect]*share
}

func newShares(cfg *Config) *shares {
	s := &shares{classes: cfg.Settings.Classes, from: math.Inf(-1), class: make([]share, len(cfg.Settings.Classes)),
		tenant: make([]share, max(len(cfg.Settings.Tenants), 1)), effect: map[policy.Effect]*share{}}
	for _, c := range s.classes {
		s.effect[c.Effect] = &share{}
	}
	return s
}

// begin forgets what was counted, and what came before the time from.
func (s *shares) begin(cfg *Config, from float64) {
	*s = *newShares(cfg)
	s.from = from
}

// counts are those that a request counts in.
func (s *shares) counts(r *request) []*share {
	if r.cameAt < s.from {
		return nil
	}
	return []*share{&s.class[r.class], &s.tenant[r.tenant], s.effect[s.classes[r.class].Effect]}
}

func (s *shares) asked(r *request) {
	for _, c := range s.counts(r) {
		c.asked++
	}
}

func (s *shares) served(r *request) {
	for _, c := range s.counts(r) {
		c.served++
	}
}

// servedOf begins the names of the figures of classes, effects and tenants.
const servedOf = "served of "

// addShares adds what was served of each class, tenant and effect, where there are several.
func (m *Model) addShares(c *fleet.Case) {
	set := &m.cfg.Settings
	if len(set.Classes) > 1 {
		for i, class := range set.Classes {
			c.Add(servedOf+"class "+class.Name, "share", m.shares.class[i].part())
		}
		for _, effect := range []policy.Effect{policy.EffectIdempotent, policy.EffectIdempotentWithKey, policy.EffectNonIdempotent} {
			if s := m.shares.effect[effect]; s != nil {
				c.Add(servedOf+"effect "+string(effect), "share", s.part())
			}
		}
	}
	if len(set.Tenants) > 1 {
		for i, tenant := range set.Tenants {
			c.Add(servedOf+"tenant "+tenant.Name, "share", m.shares.tenant[i].part())
		}
	}
}
