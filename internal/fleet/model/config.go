package model

import (
	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// Config holds the size of a fleet, its load and the settings of its agents.
type Config struct {
	Variant
	Agents        int // at least one per service
	Servers       int // at least one per service
	Services      int
	Zones         int
	Regions       int
	Rate          float64 // requests per second of all clients together
	RateSpread    float64 // standard deviation of the logarithms of the clients' rates; 0: equal rates
	MaxRateFactor float64 // maximum factor by which a burst multiplies the rate; 0: no bursts
	Cores         int     // per server
	WorkMs        float64 // mean work of a request in ms on one core at full speed
	// One-way network delays in ms: within a zone, between zones of a region, and between regions.
	ZoneMs, CrossZoneMs, CrossRegionMs float64
	ListMs                             float64 // maximum delay in ms of a notification of list changes
	DiscoveryCallMs                    float64 // discovery's work per call in ms, one call at a time
	Seed                               uint64
	// Traffic describes the requests of each class of the settings, in the same order. If it is
	// empty, all requests belong to the first class.
	Traffic []Traffic
	Retries int // maximum retries by a client of a request that is not served; 0 is taken as one
	// Settings holds the settings of all agents. Index, zone, replicas and quota are set per agent.
	Settings policy.Settings
}

// Variant holds the deviations of a fleet from the plain fleet. The zero value is the plain fleet.
type Variant struct {
	// WorkSpread is the standard deviation of the logarithm of a request's work, which is lognormal.
	// 0: the service time of a request is exponential, and all requests of a class have equal weight
	// in a server's budget.
	WorkSpread float64
	// SendsWorkHints makes clients send an estimate of a request's work if WorkSpread is above 0.
	SendsWorkHints bool
	// StaleStart makes agents that restart in the start scenario use the endpoint list from before
	// the restart until they are notified of the change.
	StaleStart bool
	// RestartS is the time in seconds from the beginning of the start scenario within which each
	// agent restarts once more. 0: no agent does.
	RestartS float64
	// ServesAbandoned makes servers serve queued attempts for which no agent waits any more.
	ServesAbandoned bool
	// DelayedView replaces the decision module in all agents by a baseline to compare it with. The
	// baseline decides by the servers' true state, which it sees with a delay.
	DelayedView bool
	// QuotaOfService sets the replicas and the quota in an agent's settings to those of its service
	// instead of the whole fleet.
	QuotaOfService bool
	// RecordArrivals makes each server record the times at which attempts arrive.
	RecordArrivals bool
}

// Settings returns the settings of a plain deployment: one class of idempotent requests.
func Settings() policy.Settings {
	s := policy.Settings{
		Classes: []policy.Class{{Name: "free", LatencyObjectiveMs: 300, DeadlineMs: 1500, Effect: policy.EffectIdempotent, PriorityWeight: 1}},
		Limits: policy.Limits{Cancellation: true, HealthChecks: true, MaxAttempts: 5, MaxRetryAfterMs: 2000,
			ConnectTimeoutMs: 250, KeepaliveMs: 15000},
		Contract: policy.Contract{AnswerSlackMs: 5, MaxListAgeMs: 10000, InitialCapacity: 0.3, SlowStartMs: 7000,
			DrainGraceMs: 1500, OverloadMultiple: 3, OverloadWindowMs: 1000},
		Prices:     policy.Prices{CrossZone: 0.03, Handshake: 0.08, HealthCheck: 0.08, Membership: 0.05, Waste: 0.1},
		Membership: policy.MembershipPushed, RoundMs: 1, PriorityUnit: "request", Weights: "off",
	}
	s.Clients.MarksRetry = true
	return s
}

// ConfigOf returns the configuration of a fleet with a given size, number of cores per server and
// load. The load is the utilization of the servers under the fleet's total rate. It sets the mean
// work of a request. An error is a *fleet.UsageError.
func ConfigOf(size fleet.Size, cores int, load float64) (Config, error) {
	switch {
	case cores < 1 || cores > 1024:
		return Config{}, fleet.NewUsageError("cores", "must be from 1 to 1024, is %d", cores)
	case !(load > 0) || load > 10:
		return Config{}, fleet.NewUsageError("load", "must be above 0 and at most 10, is %v", load)
	}
	cfg := Config{Agents: size.Agents, Servers: size.Servers, Services: size.Services, Zones: size.Zones,
		Regions: size.Regions, Rate: size.Rate, RateSpread: 0.8, Cores: cores, Seed: size.Seed, ListMs: 2000,
		ZoneMs: 0.1, CrossZoneMs: 0.5, CrossRegionMs: 10, Settings: Settings()}
	cfg.WorkMs = load * float64(cores*size.Servers) * 1000 / size.Rate
	cfg.Settings.Tenants = []policy.Tenant{{Name: "all"}} // client.start sets its quota
	return cfg, nil
}

// Validate returns a *fleet.UsageError if a service would have no agent or no server, or if a field
// is out of range.
func (cfg *Config) Validate() error {
	switch {
	case cfg.Agents < cfg.Services:
		return fleet.NewUsageError("agents", "must be at least as many as the %d services, is %d", cfg.Services, cfg.Agents)
	case cfg.Servers < cfg.Services:
		return fleet.NewUsageError("servers", "must be at least as many as the %d services, is %d", cfg.Services, cfg.Servers)
	}
	if !(cfg.WorkSpread >= 0) || cfg.WorkSpread > maxWorkSpread {
		return fleet.NewUsageError("heavy", "must be from 0 to %v, is %v", maxWorkSpread, cfg.WorkSpread)
	}
	if !(cfg.RestartS >= 0) {
		return fleet.NewUsageError("restart", "must be 0 or above, is %v", cfg.RestartS)
	}
	return cfg.validateTraffic()
}
