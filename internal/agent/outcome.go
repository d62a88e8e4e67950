package agent

import (
	"context"
	"errors"
	"fmt"

	"ploverreel/internal/socket"
	"ploverreel/policy"
)

// Why an attempt got no whole answer, besides the errors of the network.
var (
	errWithdrawn  = errors.New("attempt withdrawn before its first byte")
	errClientGone = errors.New("the client has left before the first byte")
	errLate       = errors.New("too late for the attempt to begin")
	errNoSocket   = errors.New("no socket left for a new connection")
	errTooLong    = errors.New("longer than any may be")
	errNoAnswer   = errors.New("none to this request")
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

// answerError is an answer that didn't come whole or is not one to the request. Nothing of it is
// believed.
type answerError struct{ err error }

func (e *answerError) Error() string { return "answer: " + e.err.Error() }
func (e *answerError) Unwrap() error { return e.err }

// panicError is a panic, with its stack.
type panicError struct {
	where  string
	reason any
	stack  []byte
}

func (e *panicError) Error() string {
	return fmt.Sprintf("panic in %s: %v\n%s", e.where, e.reason, e.stack)
}

// attemptError is why an attempt got no whole answer, and what is known of how far it came. It wraps
// one of the errors above or one of the network.
type attemptError struct {
	err        error
	cause      error // with which the attempt's context ended; nil: it did not
	neverBegan bool  // no byte of the request was written
	incomplete bool  // the last byte of the request was not written
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// cannotHaveRun: a server runs nothing of which it has not got the last byte.
func (e *attemptError) cannotHaveRun() bool { return e.neverBegan || e.incomplete }

// isOneOf reports whether the attempt ended with one of the errors.
func (e *attemptError) isOneOf(targets ...error) bool {
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
	applies func(e *attemptError) bool
}{
	// The agent itself did not begin it: the backend is not to blame.
	{policy.StatusNotSent, func(e *attemptError) bool { return e.neverBegan && e.isOneOf(errLate, errClientGone) }},
	// It may be sent to another backend at once, and this one is no outlier for it.
	{policy.StatusRejected, func(e *attemptError) bool {
		return e.neverBegan && (e.isOneOf(errNoSocket) || errors.Is(e.cause, errEndpointDraining))
	}},
	// The decision module asked for it, whether or not the attempt has begun.
	{policy.StatusCancelled, func(e *attemptError) bool { return errors.Is(e.cause, errCancelled) }},
	// This machine is at fault for the moment, and the request has not run.
	{policy.StatusLocalFailure, func(e *attemptError) bool { return e.cannotHaveRun() && socket.IsLocalError(e.err) }},
	// There is no way to the backend. After a first byte there was one, so the next row has it.
	{policy.StatusUnreachable, func(e *attemptError) bool { return e.neverBegan && socket.IsUnreachable(e.err) }},
	// The backend could not be connected to, or the connection broke before the last byte.
	{policy.StatusConnectFailed, (*attemptError).cannotHaveRun},
	// The attempt's time was over with the request written whole: it may have run.
	{policy.StatusTimeout, func(e *attemptError) bool { return e.cause != nil }},
	// The connection broke, or the answer was spoilt: it may have run.
	{policy.StatusReset, func(*attemptError) bool { return true }},
}

// status is that of an attempt that got no whole answer. In doubt it may have run.
func (e *attemptError) status() policy.Status {
	for _, outcome := range outcomes {
		if outcome.applies(e) {
			return outcome.status
		}
	}
	return policy.StatusReset
}

// failed is the result of an attempt that got no whole answer.
func (a *backendAttempt) failed(err error) result {
	var write *writeError
	failure := &attemptError{err: err, neverBegan: a.withdraw(), cause: context.Cause(a.ctx)}
	failure.incomplete = errors.As(err, &write) && write.incomplete
	return result{status: failure.status(), err: failure}
}
