// This file holds the actions: what one agent is to do.

package policy

// ActionKind says what an Action is, and so which of its fields count.
type ActionKind uint8

// The kinds of actions, each with the constructor that says what it means. Their order is fixed, as
// logs print their numbers.
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

// Action is something the agent is to do, in the order given. It is made by the constructor of its
// kind, which sets the fields that count; the others are zero. It is one struct for all kinds and no
// interface, as each value in an interface would be an allocation.
type Action struct {
	Kind    ActionKind
	Server  Addr      // that an attempt, a health check or a closing of connections is for
	Request RequestID // that an attempt or an answer belongs to
	Token   uint32    // of a timer
	Attempt int       // number of a cancelled attempt among the request's, from 0

	TimeoutMs     float64 // after which an attempt is given up
	BeginWithinMs float64 // after which an attempt must not begin any more; 0: it may at any time
	RetryAfterMs  float64 // after which a retry of a rejected request is welcome
	DelayMs       float64 // after which a timer fires
	Text          string  // for the log
}

// SendAttempt returns the action to send a request to a server, and to give up on an answer after
// timeoutMs. The attempt's number is how many of the request came before. One that can't begin within
// beginWithinMs, as its connection comes up late, must not begin at all and ends with StatusNotSent;
// with 0 it may begin at any time. The Balancer waits for its AttemptEnded in any case.
func SendAttempt(request RequestID, server Addr, timeoutMs, beginWithinMs float64) Action {
	return Action{Kind: ActionSendAttempt, Request: request, Server: server, TimeoutMs: timeoutMs,
		BeginWithinMs: beginWithinMs}
}

// CancelAttempt returns the action to cancel an attempt in flight, by its number among the request's
// attempts. Its AttemptEnded still comes.
func CancelAttempt(request RequestID, attempt int) Action {
	return Action{Kind: ActionCancelAttempt, Request: request, Attempt: attempt}
}

// RejectRequest returns the action to answer a request with a rejection: a retry is harmless, and
// welcome after retryAfterMs.
func RejectRequest(request RequestID, retryAfterMs float64) Action {
	return Action{Kind: ActionRejectRequest, Request: request, RetryAfterMs: retryAfterMs}
}

// FailRequest returns the action to answer a request with a failure: it may have run.
func FailRequest(request RequestID) Action {
	return Action{Kind: ActionFailRequest, Request: request}
}

// CheckHealth returns the action to check the health of a server, which leads to a HealthCheckEnded.
func CheckHealth(server Addr) Action {
	return Action{Kind: ActionCheckHealth, Server: server}
}

// SetTimer returns the action to hand in a TimerFired of the token after delayMs.
func SetTimer(delayMs float64, token uint32) Action {
	return Action{Kind: ActionSetTimer, DelayMs: delayMs, Token: token}
}

// OpenWatch returns the action to watch the endpoint list, unless a watch is open.
func OpenWatch() Action { return Action{Kind: ActionOpenWatch} }

// FetchEndpoints returns the action to fetch the whole endpoint list once.
func FetchEndpoints() Action { return Action{Kind: ActionFetchEndpoints} }

// LogText returns the action to write a text to the log.
func LogText(text string) Action { return Action{Kind: ActionLogText, Text: text} }

// CloseIdleConnections returns the action to close the idle connections to a server.
func CloseIdleConnections(server Addr) Action {
	return Action{Kind: ActionCloseIdleConnections, Server: server}
}
