package backend

import (
	"errors"

	"ploverreel/internal/socket"
	"ploverreel/policy"
)

// outcomes maps the Error of an attempt without a complete response to a status. The first entry
// that applies determines the status.
var outcomes = []struct {
	status  policy.Status
	applies func(e *Error) bool
}{
	// The agent itself did not begin the attempt, so the backend is not at fault.
	{policy.StatusNotSent, func(e *Error) bool { return e.neverBegan && e.isOneOf(ErrTooLate, ErrClientDisconnected) }},
	// The attempt had too little time for a connect, which says nothing about the backend.
	{policy.StatusNotSent, func(e *Error) bool { return e.neverBegan && e.connectCut }},
	// The request may be sent to another backend at once. The rejection doesn't make this backend an
	// outlier.
	{policy.StatusRejected, func(e *Error) bool {
		return e.neverBegan && (e.isOneOf(ErrConnLimit) || errors.Is(e.cause, ErrEndpointDraining))
	}},
	// The decision module cancelled the attempt, whether or not it had begun.
	{policy.StatusCancelled, func(e *Error) bool { return errors.Is(e.cause, ErrCancelled) }},
	// This machine has a temporary fault, and the request has not run.
	{policy.StatusLocalFailure, func(e *Error) bool { return e.cannotHaveRun() && socket.IsLocalError(e.err) }},
	// There is no route to the backend. If a byte was written, there was a route, and a later entry
	// applies.
	{policy.StatusUnreachable, func(e *Error) bool { return e.neverBegan && socket.IsUnreachable(e.err) }},
	// The connect failed, or the connection broke before the last byte of the request was written.
	{policy.StatusConnectFailed, (*Error).cannotHaveRun},
	// The attempt's time ran out after the whole request was written, so the request may have run.
	{policy.StatusTimeout, func(e *Error) bool { return e.cause != nil }},
	// The connection broke or the response is unusable, so the request may have run.
	{policy.StatusReset, func(*Error) bool { return true }},
}

// status returns the status of an attempt that got no complete response. If it is uncertain whether
// the request ran, the status says that it may have.
func (e *Error) status() policy.Status {
	for _, outcome := range outcomes {
		if outcome.applies(e) {
			return outcome.status
		}
	}
	return policy.StatusReset
}

// cannotHaveRun reports whether the request certainly did not run. A server runs no request before
// it has received the last byte.
func (e *Error) cannotHaveRun() bool { return e.neverBegan || e.incomplete }

// isOneOf reports whether the underlying error is or wraps one of the targets.
func (e *Error) isOneOf(targets ...error) bool {
	for _, target := range targets {
		if errors.Is(e.err, target) {
			return true
		}
	}
	return false
}
