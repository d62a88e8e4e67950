package model

import (
	"math"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

const (
	// maxWorkSpread is the largest Config.WorkSpread.
	maxWorkSpread = 3.0
	// hintSpread is the standard deviation of the logarithm of a client's estimate over the work.
	hintSpread = 0.3
)

// deadlineMs is the time that a client gives a request where the configuration has no traffic.
const deadlineMs = 1000

// Traffic is the requests of one class.
type Traffic struct {
	Share float64 // of all requests
	Work  float64 // mean of its requests, in requests of mean work
}

// validateTraffic returns a *fleet.UsageError for traffic that does not fit the settings' classes.
func (cfg *Config) validateTraffic() error {
	if len(cfg.Traffic) == 0 {
		return nil
	}
	if len(cfg.Traffic) != len(cfg.Settings.Classes) {
		return fleet.NewUsageError("traffic", "must be of %d classes, is of %d", len(cfg.Settings.Classes), len(cfg.Traffic))
	}
	shares, work := 0.0, 0.0
	for _, traffic := range cfg.Traffic {
		if !(traffic.Share >= 0) || !(traffic.Work > 0) {
			return fleet.NewUsageError("traffic", "shares must be 0 or above and work above 0, are %v and %v", traffic.Share, traffic.Work)
		}
		shares += traffic.Share
		work += traffic.Share * traffic.Work
	}
	if math.Abs(shares-1) > 1e-6 || math.Abs(work-1) > 1e-6 {
		return fleet.NewUsageError("traffic", "shares must add up to 1 and mean work be 1, are %v and %v", shares, work)
	}
	return nil
}

// Mix sets four classes of different latency objectives, priority weights and effects and two tenants
// in place of one of each, with clients that retry twice.
func (cfg *Config) Mix() {
	class := func(name string, objective, weight float64, effect policy.Effect) policy.Class {
		return policy.Class{Name: name, LatencyObjectiveMs: objective * cfg.WorkMs, DeadlineMs: 4 * objective * cfg.WorkMs,
			PriorityWeight: weight, Effect: effect,
			Group: policy.GroupCell, IdempotencyWindowMs: 2 * objective * cfg.WorkMs}
	}
	settings := &cfg.Settings
	settings.Classes = []policy.Class{class("short", 6, 1, policy.EffectIdempotent), class("long", 12, 1, policy.EffectIdempotent),
		class("keyed", 12, 3, policy.EffectIdempotentWithKey), class("once", 12, 8, policy.EffectNonIdempotent)}
	settings.Objective = policy.Objective{Whole: 0.55, WorstWindow: 0.15, WorstClass: 0.2, WorstTenant: 0.1}
	settings.OverQuotaFactor = 0.2
	settings.Tenants = []policy.Tenant{{Name: "large", QuotaShare: 0.7}, {Name: "small", QuotaShare: 0.3}}
	cfg.Traffic = []Traffic{{0.4, 0.7}, {0.3, 1}, {0.2, 1.4}, {0.1, 1.4}}
	cfg.Retries = 2
}

// newRequest draws a client's new request.
func (m *Model) newRequest() *request {
	request := &request{class: m.drawClass(), tenant: m.drawTenant(), key: 1 + m.rng.Uint64N(400), arrivedAt: m.now, workFactor: 1}
	if spread := m.cfg.WorkSpread; spread > 0 {
		request.workFactor = math.Exp(spread*m.rng.NormFloat64() - spread*spread/2) // of mean 1
		if m.cfg.Hinted {
			request.hintMs = m.workOf(request) * math.Exp(hintSpread*m.rng.NormFloat64())
		}
	}
	return request
}

// drawClass draws the class of a request.
func (m *Model) drawClass() int {
	traffic := m.cfg.Traffic
	return m.drawPart(len(traffic), func(i int) float64 { return traffic[i].Share })
}

// drawTenant draws the tenant of a request.
func (m *Model) drawTenant() int {
	tenants := m.cfg.Settings.Tenants
	return m.drawPart(len(tenants), func(i int) float64 { return tenants[i].QuotaShare })
}

// drawPart draws an index below n by the parts of the whole, which add up to 1.
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

// attemptTimeShare is the part of a class's deadline that a client waits for one of its own attempts.
const attemptTimeShare = 0.6

// maxRetries returns how often a client retries a request that is not served.
func (m *Model) maxRetries() int { return max(m.cfg.Retries, 1) }

// clientTimeoutMs returns how long a client waits for one of its own attempts.
func (m *Model) clientTimeoutMs(class int) float64 {
	if len(m.cfg.Traffic) == 0 {
		return deadlineMs
	}
	return attemptTimeShare * m.cfg.Settings.Classes[class].DeadlineMs
}

// workOf returns the mean work of a request in ms, and where work is heavy-tailed its actual work.
func (m *Model) workOf(r *request) float64 { return m.cfg.WorkMs * m.classWorkFactor(r) * r.workFactor }

// classWorkFactor returns the mean work of the request's class, in requests of mean work.
func (m *Model) classWorkFactor(r *request) float64 {
	if len(m.cfg.Traffic) == 0 {
		return 1
	}
	return m.cfg.Traffic[r.class].Work
}

// serviceTime returns how long, in ms, one core at full speed works on a request.
func (m *Model) serviceTime(r *request) float64 {
	if m.cfg.WorkSpread > 0 {
		return m.workOf(r)
	}
	return m.rng.ExpFloat64() * m.workOf(r)
}
