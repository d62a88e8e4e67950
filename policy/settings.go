// This file holds the settings of an agent and which of them make sense.

package policy

import (
	"fmt"
	"slices"
)

// Settings holds what an agent is configured with. The JSON keys are those of the wire.
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
	FamilyInfo struct {
		WarmKeys bool `json:"warmKeys"` // a server that lately served a key serves it with less work
	} `json:"familyInfo"`
	Index           int     `json:"index"`          // number of this agent, from 0
	Replicas        int     `json:"replicasOfMe"`   // number of agents
	OverQuotaWeight float64 `json:"overShareWorth"` // part of its priority that a request beyond quota keeps
	RoundMs         float64 `json:"roundMs"`        // longest time that events are gathered
	Weights         string  `json:"weights"`        // of Entry.Weight: "off", "nominal", "rough" or "live"
	WeightBy        string  `json:"worthBy"`        // priority counts per "request" or per "work"
	Zone            int     `json:"zone"`           // index of this agent's zone
}

// Class is one class of requests.
type Class struct {
	Name               string  `json:"name"`
	LatencyObjectiveMs float64 `json:"aimMs"` // an answer within this time earns the whole weight
	// ObjectiveStretch is how far the objective grows with a request's hinted work, as a multiple
	// of it, up to the deadline.
	ObjectiveStretch float64 `json:"aimStretch"`
	DeadlineMs       float64 `json:"giveUpMs"` // how long a client waits, over all its tries
	Effect           Effect  `json:"effect"`
	Group            Group   `json:"group"` // of EffectIdempotentWithKey
	// IdempotencyWindowMs is for how long the Group drops repeats, from the send of the first
	// attempt that may have run.
	IdempotencyWindowMs float64 `json:"keyTtlMs"`
	PriorityWeight      float64 `json:"credit"`
	LateWeight          float64 `json:"lateShare"` // part of it that an answer after the objective earns
	Streamed            bool    `json:"streamed"`  // answers come as streams
}

// Tenant is a customer with a share of what the servers can do.
type Tenant struct {
	Name       string  `json:"name"`
	QuotaPerS  float64 `json:"quotaPerS"` // requests a second, over all agents
	QuotaShare float64 `json:"portion"`   // part of all requests, from 0 to 1
}

// Limits holds what a deployment permits an agent.
type Limits struct {
	Cancellation     bool    `json:"cancelling"`       // attempts may be cancelled
	ConnectTimeoutMs float64 `json:"connectTimeoutMs"` // after which a connect fails; 0: not told
	KeepaliveMs      float64 `json:"keepaliveMs"`      // after which idle connections close; 0: none are kept
	MaxAttempts      int     `json:"maxAttempts"`      // of one request
	MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`  // longest advice to wait that a client heeds
	HedgedRequests   bool    `json:"parallelTries"`    // two attempts of a request may be in flight; not used
	HealthChecks     bool    `json:"probing"`          // servers may be checked beside the requests
	RetryAfter       bool    `json:"retryAfter"`       // clients are told how long to wait
	MaxOpenRequests  int     `json:"openCap"`          // requests an agent may have open; 0: any number
}

// Contract holds the figures of what servers and clients are owed.
type Contract struct {
	AnswerSlackMs    float64 `json:"answerSlackMs"` // how long past its deadline a final answer still counts
	PollWithinMs     float64 `json:"askWithinMs"`   // age after which a list that is polled counts as old
	SlowStartFrom    float64 `json:"coldFrom"`      // part of its capacity that a new server has
	SlowStartMs      float64 `json:"coldMs"`        // age at which it has all of it
	DrainGraceMs     float64 `json:"drainGraceMs"`  // within which sends to a draining server must end
	OverloadMultiple float64 `json:"fallMultiple"`  // multiple of its capacity that overloads a new server,
	OverloadWindowMs float64 `json:"tipAfterMs"`    // if sent for this time
}

// Prices are points taken off the result, each times its share or rate.
type Prices struct {
	CrossZone   float64 `json:"crossZone"`      // attempts at servers of other zones, by first attempts
	Handshake   float64 `json:"handshake"`      // new connections, by first attempts
	Connection  float64 `json:"connection"`     // mean open connections, over 100 times the servers
	LateFail    float64 `json:"lateFail"`       // weight left unserved once its objective had passed
	HealthCheck float64 `json:"probe"`          // health checks, by first attempts
	Waste       float64 `json:"waste"`          // work of servers that served no answer, by the work offered
	Membership  float64 `json:"membershipMode"` // lines of lists sent, over 100 times the first attempts
}

// Objective holds the weights of the result's components.
type Objective struct {
	Whole       float64 `json:"whole"`       // weight served of the whole day
	WorstWindow float64 `json:"worstWindow"` // the same in the worst 10 s
	WorstClass  float64 `json:"worstClass"`  // of the class served worst
	WorstTenant float64 `json:"worstTenant"` // of the tenant served worst, within its quota
}

// How changes of the endpoint list reach an agent.
const (
	MembershipPushed    = "pushed"     // by themselves
	MembershipOnRequest = "on_request" // to who watches or polls; each call is work for discovery
	MembershipWatched   = "watched"    // to who watches, at no cost
)

// Report names the values of the servers' load reports.
type Report struct {
	How   string   `json:"how"`   // "inline", "on_probe" or "off"
	Names []string `json:"names"` // in the order of the events' Report
}

// The values that settings may hold.
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

// validate reports the first setting of the class that makes no sense; index is its index.
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
	case !(c.LateWeight >= 0):
		return fmt.Errorf("%s: must be 0 or above, is %v", at("lateShare"), c.LateWeight)
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

// validate reports the first setting of the tenant that makes no sense; index is its index.
func (t *Tenant) validate(index int) error {
	switch {
	case !(t.QuotaShare >= 0):
		return fmt.Errorf("settings: tenants[%d].portion: must be 0 or above, is %v", index, t.QuotaShare)
	case !(t.QuotaPerS >= 0):
		return fmt.Errorf("settings: tenants[%d].quotaPerS: must be 0 or above, is %v", index, t.QuotaPerS)
	}
	return nil
}

// validateFigures reports the first figure that must be from 0 to maxMs and isn't.
func (s *Settings) validateFigures() error {
	for _, figure := range []struct {
		key   string
		value float64
	}{
		{"contract.answerSlackMs", s.Contract.AnswerSlackMs},
		{"contract.askWithinMs", s.Contract.PollWithinMs},
		{"contract.coldFrom", s.Contract.SlowStartFrom},
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
