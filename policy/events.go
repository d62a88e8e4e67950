// This file holds the events: what happens to one agent.

package policy

// Event is something that happened to one agent, for Balancer.Handle: a pointer to one of the
// structs of this file. What comes from outside may be any number: an index out of range, not a
// number, negative or infinite times are survived. The Balancer neither changes nor keeps an event.
type Event interface {
	isEvent()
}

// RequestArrived is a request of the agent's client.
type RequestArrived struct {
	Request     RequestID // a new one
	Class       int       // index in Settings.Classes
	Tenant      int       // index in Settings.Tenants; others: none
	Key         uint64    // that requests for the same data share; 0: none
	TimeLeftMs  float64   // until the client gives up
	WorkHintMs  float64   // hint of the request's work, if HasWorkHint
	HasWorkHint bool      // the client gave a hint
	Retry       bool      // the client marked the request as its retry
}

// AttemptEnded is the outcome of an attempt.
type AttemptEnded struct {
	Request   RequestID // that the attempt belongs to
	Attempt   int       // its number among the request's attempts, from 0
	Server    Addr      // that it went to
	Status    Status    // how it ended
	LatencyMs float64   // after which it ended
	Final     bool      // the request is finished
	Report    []float32 // load report of the server, by Settings.Report; not used
}

// ResponseStarted is the first byte of a streamed response, which ends with its AttemptEnded.
type ResponseStarted struct {
	Request   RequestID // that the attempt belongs to
	Attempt   int       // its number among the request's attempts, from 0
	Server    Addr      // that it went to
	LatencyMs float64   // after which the response began
}

// ClientDisconnected is the end of a client's wait for its request.
type ClientDisconnected struct {
	Request RequestID // that nobody waits for any more
}

// ListKind says how an EndpointsUpdated changes the endpoint list in force.
type ListKind uint8

// The kinds of endpoint lists.
const (
	ListDelta  ListKind = iota // its entries replace those of the same servers
	ListFull                   // its entries are the whole list
	ListCached                 // the whole list as it was kept before the agent started
)

// EndpointsUpdated is an endpoint list, or a part of one, that discovery delivered.
type EndpointsUpdated struct {
	Kind    ListKind // how it changes the list in force
	Entries []Entry  // neither changed nor kept by the Balancer
}

// DiscoveryFailed is a fetch of the endpoint list that failed, or a watch that failed before it had
// delivered anything.
type DiscoveryFailed struct{}

// WatchEnded is the end of a watch of the endpoint list that had delivered something.
type WatchEnded struct{}

// HealthCheckEnded is the outcome of a health check.
type HealthCheckEnded struct {
	Server    Addr      // that was checked
	Status    Status    // how the check ended
	LatencyMs float64   // after which it ended; not used
	Report    []float32 // load report of the server, by Settings.Report; not used
}

// TimerFired is the end of a timer's delay.
type TimerFired struct {
	Token uint32 // of its SetTimer
}

// PeerMessageReceived is a message of another agent. It carries nothing that is used.
type PeerMessageReceived struct{}

func (*RequestArrived) isEvent()      {}
func (*AttemptEnded) isEvent()        {}
func (*ResponseStarted) isEvent()     {}
func (*ClientDisconnected) isEvent()  {}
func (*EndpointsUpdated) isEvent()    {}
func (*DiscoveryFailed) isEvent()     {}
func (*WatchEnded) isEvent()          {}
func (*HealthCheckEnded) isEvent()    {}
func (*TimerFired) isEvent()          {}
func (*PeerMessageReceived) isEvent() {}
