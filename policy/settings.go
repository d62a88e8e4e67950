// This file declares the settings of an agent and validates them.

package policy

import (
	"fmt"
	"slices"
)

// Settings is the configuration of an agent. The JSON keys are those used on the wire.
type Settings struct {
	Classes    []Class   `json:"classes"`
	Tenants    []Tenant  `json:"tenants"` // may be empty
	Limits     Limits    `json:"limits"`
	Contract   Contract  `json:"contract"`
	Prices     Prices    `json:"prices"`
	Objective  Objective `json:"objectiveMix"`
	Report     Report    `json:"report"`
	Membership string    `json:"membershipMode"` // one of the Membership constants
	Clients    struct {
		MarksRetry bool `json:"marksRetry"` // clients mark their retries
	} `json:"clients"`
	ServerTraits struct {
		WarmKeys bool `json:"warmKeys"` // a server that served a key recently needs less work for it
	} `json:"familyInfo"`
	Index           int     `json:"index"`          // number of this agent, from 0
	Replicas        int     `json:"replicasOfMe"`   // number of agents, this one included
	OverQuotaFactor float64 `json:"overShareWorth"` // factor on the priority of a request beyond its quota
	RoundMs         float64 `json:"roundMs"`        // longest time for which events are batched
	Weights         string  `json:"weights"`        // of Entry.Weight: "off", "nominal", "rough" or "live"
	PriorityUnit    string  `json:"worthBy"`        // unit of the priority: per "request" or per "work"
	Zone            int     `json:"zone"`           // index of this agent's zone
}

// Class is one class of requests.
type Class struct {
	Name               string  `json:"name"`
	LatencyObjectiveMs float64 `json:"aimMs"` // an answer within this time earns the full weight
	// ObjectiveStretch multiplies a request's hinted work. The product is added to the latency
	// objective, up to the deadline.
	ObjectiveStretch float64 `json:"aimStretch"`
	DeadlineMs       float64 `json:"giveUpMs"` // how long a client waits, over all its tries
	Effect           Effect  `json:"effect"`
	Group            Group   `json:"group"` // only for EffectIdempotentWithKey
	// IdempotencyWindowMs is the time for which the servers of the Group drop repeats. It starts
	// when the first attempt that may have run is sent.
	IdempotencyWindowMs float64 `json:"keyTtlMs"`
	PriorityWeight      float64 `json:"credit"`
	LateShare           float64 `json:"lateShare"` // share of PriorityWeight for a late answer
	Streamed            bool    `json:"streamed"`  // responses are streamed
}

// Tenant is a customer with a quota of the servers' capacity.
type Tenant struct {
	Name       string  `json:"name"`
	QuotaPerS  float64 `json:"quotaPerS"` // requests a second, over all agents
	QuotaShare float64 `json:"portion"`   // share of all requests, from 0 to 1
}

// Limits holds what a deployment allows an agent to do.
type Limits struct {
	Cancellation     bool    `json:"cancelling"`       // attempts may be cancelled
	ConnectTimeoutMs float64 `json:"connectTimeoutMs"` // time after which a connect fails; 0: not given
	KeepaliveMs      float64 `json:"keepaliveMs"`      // idle time until a connection closes; 0: at once
	MaxAttempts      int     `json:"maxAttempts"`      // attempts of one request
	MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`  // longest Retry-After that a client respects
	HedgedRequests   bool    `json:"parallelTries"`    // two attempts of a request may be in flight; not used
	HealthChecks     bool    `json:"probing"`          // servers may be sent health checks besides requests
	RetryAfter       bool    `json:"retryAfter"`       // clients are told how long to wait
	MaxOpenRequests  int     `json:"openCap"`          // requests an agent may have open; 0: any number
}

// Contract holds the figures of the contract with servers and clients.
type Contract struct {
	AnswerSlackMs    float64 `json:"answerSlackMs"` // time past its deadline in which a final answer counts
	MaxListAgeMs     float64 `json:"askWithinMs"`   // age from which on a polled list is out of date
	InitialCapacity  float64 `json:"coldFrom"`      // share of its capacity that a new server has
	SlowStartMs      float64 `json:"coldMs"`        // age at which a new server has its full capacity
	DrainGraceMs     float64 `json:"drainGraceMs"`  // time within which sends to a draining server must end
	OverloadMultiple float64 `json:"fallMultiple"`  // multiple of its capacity that overloads a new server
	OverloadWindowMs float64 `json:"tipAfterMs"`    // time under that load after which it is overloaded
}

// Prices are points that are subtracted from the result, see Objective. Each price multiplies the
// share or the rate that its comment names.
type Prices struct {
	CrossZone   float64 `json:"crossZone"`      // attempts at servers of other zones, per first attempt
	Handshake   float64 `json:"handshake"`      // new connections, per first attempt
	Connection  float64 `json:"connection"`     // mean open connections, per 100 times the servers
	LateFailure float64 `json:"lateFail"`       // weight of requests left unserved after their objective
	HealthCheck float64 `json:"probe"`          // health checks, per first attempt
	Waste       float64 `json:"waste"`          // work of servers that served no answer, per work offered
	Membership  float64 `json:"membershipMode"` // lines of lists sent, per 100 times the first attempts
}

// Objective holds the weights of the result's components. The result is their weighted sum, less the
// prices. The weight that a component names is Class.PriorityWeight.
type Objective struct {
	Whole       float64 `json:"whole"`       // weight served over the whole day
	WorstWindow float64 `json:"worstWindow"` // weight served in the worst 10 s
	WorstClass  float64 `json:"worstClass"`  // weight served of the worst class
	WorstTenant float64 `json:"worstTenant"` // weight served of the worst tenant, within its quota
}

// The ways in which changes of the endpoint list reach an agent.
const (
	MembershipPushed    = "pushed"     // discovery pushes each change
	MembershipOnRequest = "on_request" // the agent watches or polls; each call is work for discovery
	MembershipWatched   = "watched"    // the agent watches, at no cost
)

// Report names the values of the servers' load reports.
type Report struct {
	How   string   `json:"how"`   // "inline", "on_probe" or "off"
	Names []string `json:"names"` // in the order of the Report field of events
}

// The valid values of settings.
var (
	effects     = []Effect{EffectIdempotent, EffectIdempotentWithKey, EffectNonIdempotent}
	groups      = []Group{GroupAll, GroupZone, GroupCell}
	memberships = []string{MembershipPushed, MembershipOnRequest, MembershipWatched}
)

// maxMs bounds times, in ms, and other figures. It is about three years: much longer times overflow
// when they are converted to a duration.
const maxMs = 1e11

// validate returns an error that names the key of the first invalid setting.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: none given")
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(i); err != nil {
			return err
		}
	}
	for i := range s.Tenants {
		if err := s.Tenants[i].validate(i); err != nil {
			return err
		}
	}
	if s.Limits.MaxAttempts < 1 {
		return fmt.Errorf("settings: limits.maxAttempts: must be 1 or above, is %d", s.Limits.MaxAttempts)
	}
	if !slices.Contains(memberships, s.Membership) {
		return fmt.Errorf("settings: membershipMode: unknown mode %q", s.Membership)
	}
	return s.validateFigures()
}

// validate returns an error that names the first invalid setting of the class with the given index.
func (c *Class) validate(index int) error {
	at := func(key string) string { return fmt.Sprintf("settings: classes[%d].%s", index, key) }
	switch {
	case !(c.LatencyObjectiveMs > 0) || c.LatencyObjectiveMs > maxMs:
		return fmt.Errorf("%s: must be above 0 and at most %v, is %v",
			at("aimMs"), maxMs, c.LatencyObjectiveMs)
	case !(c.DeadlineMs > 0) || c.DeadlineMs > maxMs:
		return fmt.Errorf("%s: must be above 0 and at most %v, is %v",
			at("giveUpMs"), maxMs, c.DeadlineMs)
	case !(c.ObjectiveStretch >= 0):
		return fmt.Errorf("%s: must be 0 or above, is %v", at("aimStretch"), c.ObjectiveStretch)
	case !(c.LateShare >= 0):
		return fmt.Errorf("%s: must be 0 or above, is %v", at("lateShare"), c.LateShare)
	case !(c.PriorityWeight >= 0):
		return fmt.Errorf("%s: must be 0 or above, is %v", at("credit"), c.PriorityWeight)
	case !slices.Contains(effects, c.Effect):
		return fmt.Errorf("%s: unknown effect %q", at("effect"), c.Effect)
	case c.Effect == EffectIdempotentWithKey && !slices.Contains(groups, c.Group):
		return fmt.Errorf("%s: unknown group %q", at("group"), c.Group)
	case c.Effect == EffectIdempotentWithKey && !(c.IdempotencyWindowMs >= 0):
		return fmt.Errorf("%s: must be 0 or above, is %v", at("keyTtlMs"), c.IdempotencyWindowMs)
	}
	return nil
}

// validate returns an error that names the first invalid setting of the tenant with the given index.
func (t *Tenant) validate(index int) error {
	switch {
	case !(t.QuotaShare >= 0):
		return fmt.Errorf("settings: tenants[%d].portion: must be 0 or above, is %v", index, t.QuotaShare)
	case !(t.QuotaPerS >= 0):
		return fmt.Errorf("settings: tenants[%d].quotaPerS: must be 0 or above, is %v", index, t.QuotaPerS)
	}
	return nil
}

// validateFigures returns an error that names the first figure that is not between 0 and maxMs.
func (s *Settings) validateFigures() error {
	for _, figure := range []struct {
		key   string
		value float64
	}{
		{"contract.answerSlackMs", s.Contract.AnswerSlackMs},
		{"contract.askWithinMs", s.Contract.MaxListAgeMs},
		{"contract.coldFrom", s.Contract.InitialCapacity},
		{"contract.coldMs", s.Contract.SlowStartMs},
		{"contract.drainGraceMs", s.Contract.DrainGraceMs},
		{"contract.fallMultiple", s.Contract.OverloadMultiple},
		{"contract.tipAfterMs", s.Contract.OverloadWindowMs},
		{"limits.keepaliveMs", s.Limits.KeepaliveMs},
		{"limits.connectTimeoutMs", s.Limits.ConnectTimeoutMs},
		{"limits.maxRetryAfterMs", s.Limits.MaxRetryAfterMs},
		{"prices.connection", s.Prices.Connection},
		{"prices.crossZone", s.Prices.CrossZone},
		{"prices.handshake", s.Prices.Handshake},
		{"replicasOfMe", float64(s.Replicas)},
		{"roundMs", s.RoundMs},
	} {
		if !(figure.value >= 0) || figure.value > maxMs {
			return fmt.Errorf("settings: %s: must be 0 or above and at most %v, is %v",
				figure.key, maxMs, figure.value)
		}
	}
	return nil
}
