// Package policy makes the load-balancing decisions of one agent, a sidecar of a client. For each
// request of the client it decides which endpoint the request is sent to, when, with which timeout,
// whether it is retried, and when the agent gives up. The package is a state machine without I/O: the
// caller passes in events and the time, and carries out the returned actions in order.
//
// An endpoint is a server of the endpoint list. An attempt is one transmission of a request to an
// endpoint. A retry is a further attempt of the agent; a retry by the client is a new request.
//
// Balancer is the facade. Each of its components makes the decisions of one concern, in a file of
// that name. The events are in events.go, the actions in actions.go, the types that both use in
// types.go, and the settings in settings.go. All times are in milliseconds of the agent's clock. The
// clock starts at an arbitrary value and never goes back.
package policy

// Addr identifies a server: four bytes of address and a port. The package only compares it, and
// returns it unchanged.
type Addr [6]byte

// RequestID identifies one try of a client. An id is never reused.
type RequestID uint32

// State is the health of a listed endpoint as the agent knows it.
type State uint8

// The four states, best first.
const (
	StateConnected        State = iota // the endpoint has answered
	StateUnknown                       // the endpoint is listed, and nothing else is known of it
	StateUnhealthyPending              // the next attempt or health check validates the endpoint
	StateUnhealthy                     // the endpoint is ejected
)

// Effect says whether a request of a class may run more than once.
type Effect string

// The effects a class may have.
const (
	EffectIdempotent        Effect = "free"        // safe to repeat
	EffectIdempotentWithKey Effect = "guarded"     // a group of servers drops repeats for some time
	EffectNonIdempotent     Effect = "single_shot" // must never run twice
)

// Group says which servers drop repeats of a request with an idempotency key.
type Group string

// The groups a class of EffectIdempotentWithKey may have.
const (
	GroupAll  Group = "all"  // all servers
	GroupZone Group = "zone" // the servers in the zone of the first attempt
	GroupCell Group = "cell" // the servers in the cell of the first attempt
)

// Health is the health of a server according to the endpoint list.
type Health uint8

// The health of a listed server.
const (
	HealthDraining Health = iota // accepts no new requests and finishes those in progress
	HealthReady                  // accepts requests
	HealthGone                   // no longer exists
)

// Entry is one line of the endpoint list.
type Entry struct {
	Server      Addr
	Zone        int     // index of its zone
	Cell        int     // its cell, see GroupCell
	MachineKind int     // index of its kind of machine
	StartedMs   float64 // clock time of the latest start of its process; 0: long past
	Health      Health
	Weight      float64 // hint of its capacity, see Settings.Weights; 0 counts as 1
}

// Status is the outcome of an attempt or a health check.
type Status uint16

// The statuses.
const (
	StatusOK            Status = 100
	StatusServerError   Status = 301 // the server answered with a failure
	StatusRejected      Status = 302 // the server rejected it before it ran
	StatusTimeout       Status = 303 // no answer within Action.TimeoutMs
	StatusConnectFailed Status = 304 // no connection to the server
	StatusReset         Status = 305 // the connection broke
	StatusCancelled     Status = 306 // it was cancelled by CancelAttempt, or the client disconnected
	StatusNotSent       Status = 307 // a limit of the agent was reached, or its request was finished
	// StatusLocalFailure means that this machine could not make the attempt, because a table or a
	// port range of its own was exhausted. The attempt never ran and says nothing about its server.
	StatusLocalFailure Status = 308
	// StatusUnreachable means that the connect failed because there is no route to the server. The
	// attempt never ran. This package decides whether the failure is the server's or this machine's.
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
