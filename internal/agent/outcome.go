package agent

import (
	"context"
	"errors"

	"ploverreel/internal/socket"
	"ploverreel/policy"
)

// Why an attempt got no whole answer, besides the errors of the network.
var (
	errWithdrawn  = errors.New("attempt withdrawn before its first byte")
	errClientGone = errors.New("the client has left before the first byte")
	errLate       = errors.New("too late for the attempt to begin")
	errNoSocket   = errors.New("no socket left for a new connection")
	errTooLong    = errors.New("answer: longer than any may be")
	errNoAnswer   = errors.New("answer: none to this request")
)

// Causes with which the loop ends an attempt's context.
var (
	errCancelled        = errors.New("attempt cancelled")
	errEndpointDraining = errors.New("backend drains or is gone")
)

// writeError is a write of a request that failed.
type writeError struct {
	incomplete bool // not all bytes were taken; the last can no longer follow
	err        error
}

func (e *writeError) Error() string { return "write: " + e.err.Error() }
func (e *writeError) Unwrap() error { return e.err }

// attemptEnd is what is known of an attempt that got no whole answer.
type attemptEnd struct {
	err        error // why there is none
	cause      error // why the attempt's context ended; nil: it did not
	neverBegan bool  // no byte of the request was written
	incomplete bool  // the last byte of the request was not written
}

// cannotHaveRun: a server runs nothing of which it has not got the last byte.
func (e *attemptEnd) cannotHaveRun() bool { return e.neverBegan || e.incomplete }

// isOneOf reports whether the attempt ended with one of the errors.
func (e *attemptEnd) isOneOf(targets ...error) bool {
	for _, target := range targets {
		if errors.Is(e.err, target) {
			return true
		}
	}
	return false
}

// outcomes has the statuses of attempts without a whole answer; the first row that applies counts.
var outcomes = []struct {
	status  policy.Status
	applies func(end *attemptEnd) bool
}{
	// The agent itself did not begin it: the backend is not to blame.
	{policy.StatusNotSent, func(end *attemptEnd) bool { return end.neverBegan && end.isOneOf(errLate, errClientGone) }},
	// It may be sent to another backend at once, and this one is no outlier for it.
	{policy.StatusRejected, func(end *attemptEnd) bool {
		return end.neverBegan && (end.isOneOf(errNoSocket) || errors.Is(end.cause, errEndpointDraining))
	}},
	// The decision module asked for it, whether or not the attempt has begun.
	{policy.StatusCancelled, func(end *attemptEnd) bool { return errors.Is(end.cause, errCancelled) }},
	// This machine is at fault for the moment, and the request has not run.
	{policy.StatusLocalFailure, func(end *attemptEnd) bool { return end.cannotHaveRun() && socket.IsLocalError(end.err) }},
	// There is no way to the backend. After a first byte there was one, so the next row has it.
	{policy.StatusUnreachable, func(end *attemptEnd) bool { return end.neverBegan && socket.IsUnreachable(end.err) }},
	// The backend could not be connected to, or the connection broke before the last byte.
	{policy.StatusConnectFailed, (*attemptEnd).cannotHaveRun},
	// The attempt's time was over with the request written whole: it may have run.
	{policy.StatusTimeout, func(end *attemptEnd) bool { return end.cause != nil }},
	// The connection broke, or the answer was spoilt: it may have run.
	{policy.StatusReset, func(*attemptEnd) bool { return true }},
}

// outcomeOf is the status of an attempt that got no whole answer. In doubt it may have run.
func (a *attempt) outcomeOf(err error) policy.Status {
	var write *writeError
	end := &attemptEnd{err: err, neverBegan: a.withdraw(), cause: context.Cause(a.ctx)}
	end.incomplete = errors.As(err, &write) && write.incomplete
	for _, outcome := range outcomes {
		if outcome.applies(end) {
			return outcome.status
		}
	}
	return policy.StatusReset
}
