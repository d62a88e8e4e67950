// This file declares the events that one agent handles.

package policy

// Event is something that happened to one agent, to be passed to Balancer.Handle: a pointer to one
// of the structs of this file. Its numbers are not trusted: the Balancer tolerates indexes out of
// range and times that are NaN, negative or infinite. It neither changes nor keeps an event.
type Event interface {
	isEvent()
}

// RequestArrived is a request of the agent's client.
type RequestArrived struct {
	Request     RequestID // a new one
	Class       int       // index in Settings.Classes
	Tenant      int       // index in Settings.Tenants; out of range: no tenant
	Key         uint64    // shared by requests for the same data; 0: none
	TimeLeftMs  float64   // time until the client gives up
	WorkHintMs  float64   // client's hint of the request's work, if HasWorkHint
	HasWorkHint bool      // the client gave a hint
	Retry       bool      // the client marked the request as its retry
}

// AttemptEnded is the outcome of an attempt.
type AttemptEnded struct {
	Request   RequestID // request of the attempt
	Attempt   int       // number of the attempt among the request's, from 0
	Server    Addr      // server that it was sent to
	Status    Status    // how it ended
	LatencyMs float64   // time from the send to the end
	Final     bool      // the request is finished
	Report    []float32 // load report of the server, see Settings.Report; not used
}

// ResponseStarted is the first byte of a streamed response. An AttemptEnded follows at its end.
type ResponseStarted struct {
	Request   RequestID // request of the attempt
	Attempt   int       // number of the attempt among the request's, from 0
	Server    Addr      // server that it was sent to
	LatencyMs float64   // time from the send to the first byte
}

// ClientDisconnected means that the client no longer waits for its request.
type ClientDisconnected struct {
	Request RequestID
}

// ListKind says how an EndpointsUpdated changes the current endpoint list.
type ListKind uint8

// The kinds of endpoint lists.
const (
	ListDelta  ListKind = iota // the entries replace those of the same servers
	ListFull                   // the entries are the whole list
	ListCached                 // the whole list, as stored before the agent started
)

// EndpointsUpdated is an endpoint list, or a part of one, that discovery delivered.
type EndpointsUpdated struct {
	Kind    ListKind // how it changes the current list
	Entries []Entry  // neither changed nor kept by the Balancer
}

// DiscoveryFailed means that a fetch of the endpoint list failed, or that a watch failed before it
// delivered anything.
type DiscoveryFailed struct{}

// WatchEnded means that a watch of the endpoint list ended after it had delivered something.
type WatchEnded struct{}

// HealthCheckEnded is the outcome of a health check.
type HealthCheckEnded struct {
	Server    Addr      // server that was checked
	Status    Status    // how the check ended
	LatencyMs float64   // time that the check took; not used
	Report    []float32 // load report of the server, see Settings.Report; not used
}

// TimerFired means that the delay of a timer has passed.
type TimerFired struct {
	Token uint32 // token of its SetTimer
}

// PeerMessageReceived is a message from another agent. The Balancer uses nothing of it.
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
