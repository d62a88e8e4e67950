// Package policy decides, for one agent of a load-balancing sidecar, where each request of its
// client goes: which endpoint, when, for how long, whether again, and when to give up. It is a
// state machine without I/O: the caller hands in events with a clock and carries out the actions
// that come back, in order.
//
// Balancer is the facade. Each of its components holds the decisions of one concern, in a file of
// that name; events.go holds what it is notified of, actions.go what it decides on, types.go what
// both are about, settings.go the settings. All times are in milliseconds of the agent's clock, which
// begins anywhere and never goes back.
package policy

// Addr names a server: four bytes of address and a port. It has no meaning beyond equality and is
// sent back exactly as it came.
type Addr [6]byte

// RequestID names one try of a client; an id is never used twice.
type RequestID uint32

// State is the health of a listed endpoint as an agent sees it.
type State uint8

// The four states, best first.
const (
	StateConnected        State = iota // it has answered
	StateUnknown                       // listed, and nothing is known of it
	StateUnhealthyPending              // ejected for long enough, to be validated
	StateUnhealthy                     // ejected
)

// Effect says whether a request of a class may run more than once.
type Effect string

// The effects a class may have.
const (
	EffectIdempotent        Effect = "free"        // safe to repeat
	EffectIdempotentWithKey Effect = "guarded"     // a group of servers drops repeats, for a time
	EffectNonIdempotent     Effect = "single_shot" // must never run twice
)

// Group says which servers drop repeats of a request with an idempotency key.
type Group string

// The groups a class of EffectIdempotentWithKey may have.
const (
	GroupAll  Group = "all"  // all servers
	GroupZone Group = "zone" // those of the zone of the first attempt
	GroupCell Group = "cell" // those of the cell of the first attempt
)

// Health is the health of a server by the endpoint list.
type Health uint8

// The health of a listed server.
const (
	HealthDraining Health = iota // takes nothing new and finishes what it has
	HealthReady                  // takes requests
	HealthGone                   // no longer there
)

// Entry is one line of the endpoint list.
type Entry struct {
	Server      Addr
	Zone        int     // index of its zone
	Cell        int     // cell within which repeats may be dropped, see GroupCell
	MachineKind int     // index of its kind of machine
	StartedMs   float64 // clock time of the latest start of its process; 0: long past
	Health      Health
	Weight      float64 // hint of its capacity, see Settings.Weights; 0 counts as 1
}

// Status is how an attempt or a health check ended.
type Status uint16

// The statuses.
const (
	StatusOK            Status = 100
	StatusServerError   Status = 301 // the server answered with a failure
	StatusRejected      Status = 302 // the server rejected it before it ran
	StatusTimeout       Status = 303 // no answer within Action.TimeoutMs
	StatusConnectFailed Status = 304 // no connection to the server
	StatusReset         Status = 305 // the connection broke
	StatusCancelled     Status = 306 // CancelAttempt, or the client disconnected
	StatusNotSent       Status = 307 // beyond a limit, or its request was finished
	// StatusLocalFailure is an attempt that this machine could not make, as a table or a range of
	// ports of its own was exhausted: it never ran, and says nothing of its server.
	StatusLocalFailure Status = 308
	// StatusUnreachable is an attempt whose connect failed as there is no route to the server: it
	// never ran. Whether that is the server's failure or this machine's is decided
	// here.
	StatusUnreachable Status = 309
)

// NeverRan reports whether the status proves that the attempt did not run.
func (s Status) NeverRan() bool {
	switch s {
	case StatusRejected, StatusConnectFailed, StatusNotSent, StatusLocalFailure, StatusUnreachable:
		return true
	}
	return false
}
