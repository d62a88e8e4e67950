package model

import (
	"math"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

const (
	// maxWorkSpread is the upper bound of Variant.WorkSpread.
	maxWorkSpread = 3.0
	// hintSpread is the standard deviation of the logarithm of a work hint divided by the actual
	// work: the error of a client's estimate is lognormal.
	hintSpread = 0.3
	// idempotencyKeys is the number of idempotency keys from which a request's key is drawn.
	idempotencyKeys = 400
	// sumTolerance is the rounding error that is allowed in the sums of the traffic's shares and
	// work.
	sumTolerance = 1e-6
)

// defaultClientTimeoutMs is the timeout in ms of a client's attempt if Config.Traffic is empty.
const defaultClientTimeoutMs = 1000

// Traffic describes the requests of one class.
type Traffic struct {
	Share float64 // share of all requests
	Work  float64 // mean work of a request, as a multiple of Config.WorkMs
}

// validateTraffic returns a *fleet.UsageError if the traffic does not match the settings' classes,
// or if a share or the work is invalid.
func (cfg *Config) validateTraffic() error {
	if len(cfg.Traffic) == 0 {
		return nil
	}
	if len(cfg.Traffic) != len(cfg.Settings.Classes) {
		return fleet.NewUsageError("traffic", "must have %d classes, has %d", len(cfg.Settings.Classes), len(cfg.Traffic))
	}
	shares, work := 0.0, 0.0
	for _, traffic := range cfg.Traffic {
		if !(traffic.Share >= 0) || !(traffic.Work > 0) {
			return fleet.NewUsageError("traffic", "shares must be 0 or above and work above 0, are %v and %v", traffic.Share, traffic.Work)
		}
		shares += traffic.Share
		work += traffic.Share * traffic.Work
	}
	if math.Abs(shares-1) > sumTolerance || math.Abs(work-1) > sumTolerance {
		return fleet.NewUsageError("traffic", "shares must add up to 1 and the mean work must be 1, are %v and %v", shares, work)
	}
	return nil
}

// SetMixedTraffic replaces the single class and tenant of the plain fleet by four classes with
// different latency objectives, priority weights and effects, and by two tenants. It sets two
// retries by the client. Latency objectives, deadlines and idempotency windows are multiples of the
// mean work.
func (cfg *Config) SetMixedTraffic() {
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

// newRequest returns a new request with a random class, tenant, idempotency key and work.
func (m *Model) newRequest() *request {
	request := &request{class: m.drawClass(), tenant: m.drawTenant(), key: 1 + m.rng.Uint64N(idempotencyKeys), arrivedAt: m.now, workFactor: 1}
	if spread := m.cfg.WorkSpread; spread > 0 {
		request.workFactor = math.Exp(spread*m.rng.NormFloat64() - spread*spread/2) // lognormal with mean 1
		if m.cfg.SendsWorkHints {
			request.hintMs = m.workOf(request) * math.Exp(hintSpread*m.rng.NormFloat64())
		}
	}
	return request
}

// drawClass draws a request's class by the classes' shares of the traffic.
func (m *Model) drawClass() int {
	traffic := m.cfg.Traffic
	return m.drawIndex(len(traffic), func(i int) float64 { return traffic[i].Share })
}

// drawTenant draws a request's tenant by the tenants' shares of the quota.
func (m *Model) drawTenant() int {
	tenants := m.cfg.Settings.Tenants
	return m.drawIndex(len(tenants), func(i int) float64 { return tenants[i].QuotaShare })
}

// drawIndex draws an index below n. probability returns that of an index; the sum is 1.
func (m *Model) drawIndex(n int, probability func(i int) float64) int {
	if n < 2 {
		return 0
	}
	remaining := m.rng.Float64()
	for i := range n {
		if remaining -= probability(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}

// attemptTimeoutShare is a client's timeout for one of its own attempts, as a fraction of the class's
// deadline.
const attemptTimeoutShare = 0.6

// maxRetries returns the maximum number of retries by a client of a request that is not served.
func (m *Model) maxRetries() int { return max(m.cfg.Retries, 1) }

// clientTimeoutMs returns a client's timeout in ms for one of its own attempts at a request of a
// class.
func (m *Model) clientTimeoutMs(class int) float64 {
	if len(m.cfg.Traffic) == 0 {
		return defaultClientTimeoutMs
	}
	return attemptTimeoutShare * m.cfg.Settings.Classes[class].DeadlineMs
}

// workOf returns a request's work in ms on one core at full speed: its actual work if
// Variant.WorkSpread is above 0, else the mean of its class.
func (m *Model) workOf(r *request) float64 { return m.cfg.WorkMs * m.classWorkFactor(r) * r.workFactor }

// classWorkFactor returns the mean work of the request's class, as a multiple of Config.WorkMs.
func (m *Model) classWorkFactor(r *request) float64 {
	if len(m.cfg.Traffic) == 0 {
		return 1
	}
	return m.cfg.Traffic[r.class].Work
}

// serviceTime returns the time in ms that one core at full speed needs for a request. It is drawn
// from an exponential distribution unless Variant.WorkSpread is above 0.
func (m *Model) serviceTime(r *request) float64 {
	if m.cfg.WorkSpread > 0 {
		return m.workOf(r)
	}
	return m.rng.ExpFloat64() * m.workOf(r)
}
