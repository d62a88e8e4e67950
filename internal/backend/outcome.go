package backend

import (
	"errors"

	"ploverreel/internal/socket"
	"ploverreel/policy"
)

// outcomes are the statuses of attempts without a whole answer. The first that applies counts.
var outcomes = []struct {
	status  policy.Status
	applies func(e *Error) bool
}{
	// The agent itself did not begin the attempt: the backend is not to blame.
	{policy.StatusNotSent, func(e *Error) bool { return e.neverBegan && e.isOneOf(ErrTooLate, ErrClientDisconnected) }},
	// The request may be sent to another backend at once, and this one is no outlier for it.
	{policy.StatusRejected, func(e *Error) bool {
		return e.neverBegan && (e.isOneOf(ErrConnLimit) || errors.Is(e.cause, ErrEndpointDraining))
	}},
	// The decision module asked for it, whether or not the attempt has begun.
	{policy.StatusCancelled, func(e *Error) bool { return errors.Is(e.cause, ErrCancelled) }},
	// This machine is at fault for the moment, and the request has not run.
	{policy.StatusLocalFailure, func(e *Error) bool { return e.cannotHaveRun() && socket.IsLocalError(e.err) }},
	// There is no route to the backend. After the first byte there was one, and the next row applies.
	{policy.StatusUnreachable, func(e *Error) bool { return e.neverBegan && socket.IsUnreachable(e.err) }},
	// The connect failed, or the connection broke before the last byte of the request.
	{policy.StatusConnectFailed, (*Error).cannotHaveRun},
	// The attempt's time was over after the request was written whole: it may have run.
	{policy.StatusTimeout, func(e *Error) bool { return e.cause != nil }},
	// The connection broke, or the answer can't be used: the request may have run.
	{policy.StatusReset, func(*Error) bool { return true }},
}

// status returns the status of an attempt that got no whole answer. In doubt the request may have run.
func (e *Error) status() policy.Status {
	for _, outcome := range outcomes {
		if outcome.applies(e) {
			return outcome.status
		}
	}
	return policy.StatusReset
}

// cannotHaveRun reports whether the request certainly didn't run: a server runs nothing of which it
// has not got the last byte.
func (e *Error) cannotHaveRun() bool { return e.neverBegan || e.incomplete }

// isOneOf reports whether the error at fault is one of these.
func (e *Error) isOneOf(targets ...error) bool {
	for _, target := range targets {
		if errors.Is(e.err, target) {
			return true
		}
	}
	return false
}
