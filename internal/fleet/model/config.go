package model

import (
	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// Config is the size of a fleet, its load and its settings.
type Config struct {
	Variant
	Agents     int // at least as many as services
	Servers    int // at least as many as services
	Services   int
	Zones      int
	Regions    int
	Rate       float64 // requests a second, all agents together
	RateSpread float64 // standard deviation of the logarithms of the agents' rates; 0: all alike
	Peak       float64 // the most that a burst multiplies the rate by; 0: no bursts
	Cores      int     // of a server
	WorkMs     float64 // mean work of a request, on one core at full speed
	// One way between two places, in ms.
	ZoneMs, CrossZoneMs, CrossRegionMs float64
	ListMs                             float64 // within which an agent is notified of a change of the list
	CallMs                             float64 // discovery's work for a call; it takes calls in turn
	Seed                               uint64
	// Traffic is that of each of the settings' classes; none: all requests are of the first.
	Traffic []Traffic
	Retries int // of a client for a request that is not served; at least one
	// Settings are those of each agent but for its index, its zone, the replicas and the quota.
	Settings policy.Settings
}

// Variant is how a fleet differs from the plain one. Its zero value is the plain one.
type Variant struct {
	// WorkSpread is the standard deviation of the logarithm of the requests' work (lognormal). 0: a
	// server's time for each request is exponential, and all count alike in its budget.
	WorkSpread float64
	// Hinted has clients send an estimate of a request's work where WorkSpread is above 0.
	Hinted bool
	// StaleStart has an agent that starts anew in the start scenario use the endpoint list of before the
	// start until it is notified of the change.
	StaleStart bool
	// RestartS is within how many seconds of the start scenario's start each agent starts once more;
	// 0: none does.
	RestartS float64
	// ServesAbandoned has servers work on attempts that no agent waits for any more.
	ServesAbandoned bool
	// DelayedView has agents decide by the servers' true state, seen with a delay, in place of the
	// decision module: the baseline that the module is compared with.
	DelayedView bool
	// QuotaOfService has the settings' replicas and quota be those of the agent's service, not of the
	// whole fleet.
	QuotaOfService bool
	// KeepArrivals has each server keep the times at which attempts arrived.
	KeepArrivals bool
}

// Settings returns those of a plain deployment: one class of idempotent requests.
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

// ConfigOf returns the fleet of that size whose servers have so many cores and, under its whole rate, the load:
// the part of their time in which they work. Its error is a *fleet.UsageError.
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
	cfg.Settings.Tenants = []policy.Tenant{{Name: "all"}} // whose quota is in each agent's settings
	return cfg, nil
}

// Validate returns a *fleet.UsageError for a fleet in which some service has no caller or no server, and for a
// field that is out of range.
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
