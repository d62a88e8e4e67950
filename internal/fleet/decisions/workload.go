package decisions

import (
	"fmt"

	"ploverreel/policy"
)

const (
	// warmingServerAgeMs is the age of warming servers at the start of a run, in ms.
	warmingServerAgeMs = 1000.0
	// longSlowStartMs is the duration of the slow start if some servers warm up, in ms. It is an
	// hour, so that they warm up during the whole measurement.
	longSlowStartMs = 3.6e6
)

// classShares and tenantShares are the shares of the classes and of the tenants in the requests.
var classShares, tenantShares = []float64{0.7, 0.2, 0.1}, []float64{0.6, 0.25, 0.15}

// workload describes the endpoint list and the load of one balancer.
type workload struct {
	servers       int     // listed servers
	replicas      int     // agents of the fleet
	ratePerAgent  float64 // requests a second of each agent
	queued        int     // requests kept queued, with answers at ratePerAgent; 0: uncongested load
	warmingShare  float64 // share of the servers that have just started
	refusingShare float64 // share of the servers that refuse connections
	zones         int
	seed          uint64
}

// settings returns the settings of a deployment with one class of each effect and three tenants.
// The quotas of the tenants are the rates that all agents together send.
func (w workload) settings() policy.Settings {
	s := policy.Settings{
		Classes: []policy.Class{
			{Name: "read", LatencyObjectiveMs: 600, DeadlineMs: 2500, Effect: policy.EffectIdempotent, PriorityWeight: 1},
			{Name: "save", LatencyObjectiveMs: 1500, DeadlineMs: 6000, Effect: policy.EffectIdempotentWithKey, Group: policy.GroupCell,
				IdempotencyWindowMs: 4000, PriorityWeight: 2},
			{Name: "submit", LatencyObjectiveMs: 1500, DeadlineMs: 6000, Effect: policy.EffectNonIdempotent, PriorityWeight: 5},
		},
		Limits: policy.Limits{Cancellation: true, HealthChecks: true, MaxAttempts: 5, MaxRetryAfterMs: 2000,
			ConnectTimeoutMs: 250, KeepaliveMs: 15000},
		Contract: policy.Contract{AnswerSlackMs: 5, MaxListAgeMs: 10000, InitialCapacity: 0.3, SlowStartMs: 7000,
			DrainGraceMs: 1500, OverloadMultiple: 3, OverloadWindowMs: 1000},
		Prices:     policy.Prices{CrossZone: 0.03, Handshake: 0.08, HealthCheck: 0.04, LateFailure: 0.03, Waste: 0.1},
		Objective:  policy.Objective{Whole: 0.55, WorstWindow: 0.15, WorstClass: 0.2, WorstTenant: 0.1},
		Membership: policy.MembershipPushed, Replicas: w.replicas, RoundMs: 1, Weights: "off", PriorityUnit: "request",
		OverQuotaFactor: 0.2,
	}
	for i, portion := range tenantShares {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: fmt.Sprintf("tenant-%d", i+1), QuotaShare: portion,
			QuotaPerS: portion * w.ratePerAgent * float64(w.replicas)})
	}
	if w.warmingShare > 0 {
		s.Contract.SlowStartMs = longSlowStartMs
	}
	return s
}

// params returns the parameters of a case by the names that they have in results.
func (w workload) params() map[string]float64 {
	return map[string]float64{"servers": float64(w.servers), "replicas": float64(w.replicas),
		"held": float64(w.queued), "cold": w.warmingShare, "unhealthy": w.refusingShare}
}
