// This file declares the actions that the Balancer returns for its agent to carry out.

package policy

// ActionKind says what an Action does. It also determines which of its fields are set.
type ActionKind uint8

// The kinds of actions. The comment names the constructor, which documents the kind. The order is
// fixed because logs print the numbers.
const (
	ActionSendAttempt          ActionKind = iota + 1 // SendAttempt
	ActionCancelAttempt                              // CancelAttempt
	ActionRejectRequest                              // RejectRequest
	ActionFailRequest                                // FailRequest
	ActionCheckHealth                                // CheckHealth
	ActionSetTimer                                   // SetTimer
	ActionOpenWatch                                  // OpenWatch
	ActionFetchEndpoints                             // FetchEndpoints
	ActionLogText                                    // LogText
	ActionCloseIdleConnections                       // CloseIdleConnections
)

// Action is something the agent has to do. Actions are carried out in the order in which they are
// returned. The constructor of its kind sets the fields that the kind uses; the others are zero.
// Action is one struct for all kinds and not an interface, because each value in an interface would
// cost an allocation.
type Action struct {
	Kind    ActionKind
	Server  Addr      // target of an attempt, a health check or a closing of connections
	Request RequestID // request of an attempt or an answer
	Token   uint32    // token of a timer
	Attempt int       // number of a cancelled attempt among the request's, from 0

	TimeoutMs     float64 // time after which the agent gives up on an attempt
	BeginWithinMs float64 // time after which an attempt must not begin any more; 0: no bound
	RetryAfterMs  float64 // time after which a client may retry a rejected request
	DelayMs       float64 // delay of a timer
	Text          string  // text for the log
}

// SendAttempt returns the action to send a request to a server, and to give up on an answer after
// timeoutMs. The number of the attempt is the number of the request's attempts before it. If the
// attempt cannot begin within beginWithinMs, because its connection is established late, it must not
// begin at all and ends with StatusNotSent. With 0 it may begin at any time. The Balancer expects an
// AttemptEnded in any case.
func SendAttempt(request RequestID, server Addr, timeoutMs, beginWithinMs float64) Action {
	return Action{Kind: ActionSendAttempt, Request: request, Server: server, TimeoutMs: timeoutMs,
		BeginWithinMs: beginWithinMs}
}

// CancelAttempt returns the action to cancel an attempt in flight, by its number among the request's
// attempts. The Balancer still expects its AttemptEnded.
func CancelAttempt(request RequestID, attempt int) Action {
	return Action{Kind: ActionCancelAttempt, Request: request, Attempt: attempt}
}

// RejectRequest returns the action to answer a request with a rejection. A retry by the client is
// safe, and it may be sent after retryAfterMs.
func RejectRequest(request RequestID, retryAfterMs float64) Action {
	return Action{Kind: ActionRejectRequest, Request: request, RetryAfterMs: retryAfterMs}
}

// FailRequest returns the action to answer a request with a failure. The request may have run.
func FailRequest(request RequestID) Action {
	return Action{Kind: ActionFailRequest, Request: request}
}

// CheckHealth returns the action to check the health of a server. The Balancer expects a
// HealthCheckEnded.
func CheckHealth(server Addr) Action {
	return Action{Kind: ActionCheckHealth, Server: server}
}

// SetTimer returns the action to pass in a TimerFired with the token after delayMs.
func SetTimer(delayMs float64, token uint32) Action {
	return Action{Kind: ActionSetTimer, DelayMs: delayMs, Token: token}
}

// OpenWatch returns the action to open a watch of the endpoint list, unless one is open.
func OpenWatch() Action { return Action{Kind: ActionOpenWatch} }

// FetchEndpoints returns the action to fetch the whole endpoint list once.
func FetchEndpoints() Action { return Action{Kind: ActionFetchEndpoints} }

// LogText returns the action to write a text to the log.
func LogText(text string) Action { return Action{Kind: ActionLogText, Text: text} }

// CloseIdleConnections returns the action to close the idle connections to a server.
func CloseIdleConnections(server Addr) Action {
	return Action{Kind: ActionCloseIdleConnections, Server: server}
}
