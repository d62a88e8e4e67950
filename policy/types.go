// Package policy decides, for one agent (a sidecar balancer), where each
// request of its client goes: which server, when, for how long, whether again,
// and when to give up. It is a state machine without I/O: the caller hands in
// events with a clock and carries out the actions that come back, in order.
//
// Each file holds the decisions of one concern; types.go and settings.go hold the interface.
package policy

// Addr names a server: four bytes of address and a port. It has no meaning
// beyond equality and is sent back exactly as it came.
type Addr [6]byte

// RequestID names one try of a client; an id is never used twice.
type RequestID uint32

// State is what an agent holds a listed server to be.
type State uint8

// The four states, best first.
const (
	StateConnected State = iota
	StateUnknown
	StateUnhealthyPending
	StateUnhealthy
)

// Effect tells whether a request of a class may run more than once.
type Effect string

// The effects a class may have.
const (
	EffectIdempotent        Effect = "free"        // safe to repeat
	EffectIdempotentWithKey Effect = "guarded"     // a group of servers drops repeats, for a time
	EffectNonIdempotent     Effect = "single_shot" // must never run twice
)

// Group tells which servers drop repeats of a guarded request.
type Group string

// The groups a guarded class may have.
const (
	GroupAll  Group = "all"
	GroupZone Group = "zone"
	GroupCell Group = "cell"
)

// Class is one class of requests.
type Class struct {
	Name                string  `json:"name"`
	LatencyObjectiveMs  float64 `json:"aimMs"`
	ObjectiveStretch    float64 `json:"aimStretch"`
	DeadlineMs          float64 `json:"giveUpMs"`
	Effect              Effect  `json:"effect"`
	Group               Group   `json:"group"`
	IdempotencyWindowMs float64 `json:"keyTtlMs"`
	PriorityWeight      float64 `json:"credit"`
	LateWeight          float64 `json:"lateShare"`
	Streamed            bool    `json:"streamed"`
}

// Tenant is a customer with a share of what the servers can do.
type Tenant struct {
	Name       string  `json:"name"`
	QuotaPerS  float64 `json:"quotaPerS"`
	QuotaShare float64 `json:"portion"`
}

// Limits is what a deployment permits an agent.
type Limits struct {
	Cancellation     bool    `json:"cancelling"`
	ConnectTimeoutMs float64 `json:"connectTimeoutMs"`
	KeepaliveMs      float64 `json:"keepaliveMs"`
	MaxAttempts      int     `json:"maxAttempts"`
	MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`
	HedgedRequests   bool    `json:"parallelTries"`
	HealthChecks     bool    `json:"probing"`
	RetryAfter       bool    `json:"retryAfter"`
	MaxOpenRequests  int     `json:"openCap"`
}

// Contract holds the figures of the four rules.
type Contract struct {
	AnswerSlackMs    float64 `json:"answerSlackMs"`
	PollWithinMs     float64 `json:"askWithinMs"`
	SlowStartFrom    float64 `json:"coldFrom"`
	SlowStartMs      float64 `json:"coldMs"`
	DrainGraceMs     float64 `json:"drainGraceMs"`
	OverloadMultiple float64 `json:"fallMultiple"`
	OverloadWindowMs float64 `json:"tipAfterMs"`
}

// Prices are points taken off the result, each times its share or rate.
type Prices struct {
	CrossZone   float64 `json:"crossZone"`
	Handshake   float64 `json:"handshake"`
	Connection  float64 `json:"connection"`
	LateFail    float64 `json:"lateFail"`
	HealthCheck float64 `json:"probe"`
	Waste       float64 `json:"waste"`
	Membership  float64 `json:"membershipMode"`
}

// Objective holds the weights of the result's components.
type Objective struct {
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worstWindow"`
	WorstClass  float64 `json:"worstClass"`
	WorstTenant float64 `json:"worstTenant"`
}

// How changes of the list reach an agent.
const (
	MembershipPushed    = "pushed"     // by themselves
	MembershipOnRequest = "on_request" // to who watches or polls; each call is work for discovery
	MembershipWatched   = "watched"    // to who follows, at no cost
)

// Report names the values of the servers' load reports.
type Report struct {
	How   string   `json:"how"`
	Names []string `json:"names"`
}

// Settings is what an agent is told at its start.
type Settings struct {
	Classes    []Class   `json:"classes"`
	Tenants    []Tenant  `json:"tenants"`
	Limits     Limits    `json:"limits"`
	Contract   Contract  `json:"contract"`
	Prices     Prices    `json:"prices"`
	Objective  Objective `json:"objectiveMix"`
	Report     Report    `json:"report"`
	Membership string    `json:"membershipMode"` // Pushed, OnRequest or Watched
	Clients    struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	FamilyInfo struct {
		WarmKeys bool `json:"warmKeys"`
	} `json:"familyInfo"`
	Index           int     `json:"index"`
	Replicas        int     `json:"replicasOfMe"`
	OverQuotaWeight float64 `json:"overShareWorth"`
	RoundMs         float64 `json:"roundMs"`
	Weights         string  `json:"weights"` // "off", "nominal", "rough" or "live"
	WeightBy        string  `json:"worthBy"` // "request" or "work"
	Zone            int     `json:"zone"`
}

// Health is what the list says of a server.
type Health uint8

// The list's words.
const (
	HealthDraining Health = iota
	HealthReady
	HealthGone
)

// Entry is one line of the list of servers.
type Entry struct {
	Server      Addr
	Zone        int
	Cell        int
	MachineKind int
	StartedMs   float64 // clock time of the latest start; 0: long past
	Health      Health
	Weight      float64
}

// ListKind tells how a list event changes the list at hand.
type ListKind uint8

// The kinds of list events.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed
	ListWatchEnded // a watch that had told something has ended
)

// Status is how an attempt or a probe ended.
type Status uint16

// The endings.
const (
	StatusOK            Status = 100
	StatusServerError   Status = 301
	StatusRejected      Status = 302
	StatusTimeout       Status = 303
	StatusConnectFailed Status = 304
	StatusReset         Status = 305
	StatusCancelled     Status = 306
	StatusNotSent       Status = 307
	// LocalFailure is an attempt that this machine could not make, as a table or a range of ports
	// of its own was exhausted: it never ran, and says nothing of its server.
	StatusLocalFailure Status = 308
	// Unreachable is an attempt whose connect ended with the word that there is no way to the
	// server: it never ran. Whether that is the server's failure or this machine's is decided here.
	StatusUnreachable Status = 309
)

// NeverRan tells whether the ending proves that the attempt did not run.
func (s Status) NeverRan() bool {
	switch s {
	case StatusRejected, StatusConnectFailed, StatusNotSent, StatusLocalFailure, StatusUnreachable:
		return true
	}
	return false
}

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events.
const (
	EventRequest         EventKind = iota + 1 // Request, Class, Tenant, Key, LeftMs, HintMs, HasHint, Retry
	EventOutcome                              // Request, Attempt, Server, Status, LatencyMs, Final, Report
	EventResponseStarted                      // Request, Attempt, Server, LatencyMs: a streamed answer began
	EventClientGone                           // Request: the client left
	EventEndpointList                         // List, Entries
	EventHealthChecked                        // Server, Status, LatencyMs, Report
	EventTimer                                // Token
	EventPeerMessage                          // a message of another agent; carries nothing that is used
)

// Event is something that happened to one agent.
type Event struct {
	Kind       EventKind
	Request    RequestID
	Class      int
	Tenant     int
	Key        uint64 // 0: none
	TimeLeftMs float64
	HintMs     float64
	HasHint    bool
	Retry      bool
	Attempt    int
	Server     Addr
	Status     Status
	LatencyMs  float64
	Final      bool // the request is finished
	Report     []float32
	List       ListKind
	Entries    []Entry // not changed and not kept by the Balancer
	Token      uint32
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions.
const (
	ActionSend        ActionKind = iota + 1 // Request, Server, Ms: time-out, WithinMs
	ActionCancel                            // Request, Attempt
	ActionReject                            // Request, Ms: advice
	ActionFail                              // Request
	ActionHealthCheck                       // Server
	ActionTimer                             // Ms, Token
	ActionWatch                             // subscribe to the list
	ActionFetch                             // ask for the whole list once
	ActionLog                               // Text
	ActionCloseIdle                         // Server: close idle connections to it
)

// Action is something the agent is to do, in the order given.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Server  Addr
	Attempt int
	DelayMs float64
	// WithinMs is how soon an attempt must begin: one that can't, as its connection comes up
	// late, must not begin at all. 0: at any time.
	WithinMs float64
	Token    uint32
	Text     string
}
