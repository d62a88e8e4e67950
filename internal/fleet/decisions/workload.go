package decisions

import (
	"fmt"

	"ploverreel/policy"
)

const (
	// warmingAgeMs is the age of warming servers when they are listed.
	warmingAgeMs = 1000.0
	// longSlowStartMs is the slow start where some servers warm up: they do so while they are measured.
	longSlowStartMs = 3.6e6
)

// Shares of the requests by class and by tenant.
var classShares, tenantShares = []float64{0.7, 0.2, 0.1}, []float64{0.6, 0.25, 0.15}

// workload describes the load that is played to one balancer.
type workload struct {
	servers   int     // listed
	replicas  int     // agents of the fleet
	perAgent  float64 // requests a second of each
	queued    int     // requests kept queued, where answers come no faster than perAgent; 0: an easy load
	warming   float64 // share of the servers that started just now
	unhealthy float64 // share that refuses connections
	zones     int
	seed      uint64
}

// settings returns those of a deployment with a class of each effect and three tenants, whose quotas are what all
// agents send.
func (l workload) settings() policy.Settings {
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
		Membership: policy.MembershipPushed, Replicas: l.replicas, RoundMs: 1, Weights: "off", PriorityUnit: "request",
		OverQuotaFactor: 0.2,
	}
	for i, portion := range tenantShares {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: fmt.Sprintf("tenant-%d", i+1), QuotaShare: portion,
			QuotaPerS: portion * l.perAgent * float64(l.replicas)})
	}
	if l.warming > 0 {
		s.Contract.SlowStartMs = longSlowStartMs
	}
	return s
}

// params returns the parameters of a case, by the names that results have.
func (l workload) params() map[string]float64 {
	return map[string]float64{"servers": float64(l.servers), "replicas": float64(l.replicas),
		"held": float64(l.queued), "cold": l.warming, "unhealthy": l.unhealthy}
}
