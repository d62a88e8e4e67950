package backend

import (
	"context"
	"errors"
	"fmt"

	"ploverreel/internal/socket"
	"ploverreel/policy"
)

// Why an attempt got no whole answer, besides the errors of the network.
var (
	ErrWithdrawn  = errors.New("attempt withdrawn before its first byte")
	ErrClientGone = errors.New("the client has left before the first byte")
	ErrLate       = errors.New("too late for the attempt to begin")
	ErrNoSocket   = errors.New("no socket left for a new connection")
	errTooLong    = errors.New("longer than any may be")
	errNoAnswer   = errors.New("none to this request")
)

// Causes with which the loop ends an attempt's context.
var (
	ErrCancelled        = errors.New("attempt cancelled")
	ErrEndpointDraining = errors.New("backend drains or is gone")
)

// WriteError is a write of a request that failed.
type WriteError struct {
	incomplete bool // not all bytes were taken; the last can no longer follow
	err        error
}

func (e *WriteError) Error() string { return "write: " + e.err.Error() }
func (e *WriteError) Unwrap() error { return e.err }

// AnswerError is an answer that didn't come whole or is not one to the request. Nothing of it is
// believed.
type AnswerError struct{ err error }

func (e *AnswerError) Error() string { return "answer: " + e.err.Error() }
func (e *AnswerError) Unwrap() error { return e.err }

// PanicError is a panic, with its stack.
type PanicError struct {
	where  string
	reason any
	stack  []byte
}

func (e *PanicError) Error() string {
	return fmt.Sprintf("panic in %s: %v\n%s", e.where, e.reason, e.stack)
}

// Error is why an attempt got no whole answer, and what is known of how far it came. It wraps
// one of the errors above or one of the network.
type Error struct {
	err        error
	cause      error // with which the attempt's context ended; nil: it did not
	neverBegan bool  // no byte of the request was written
	incomplete bool  // the last byte of the request was not written
}

func (e *Error) Error() string { return e.err.Error() }
func (e *Error) Unwrap() error { return e.err }

// cannotHaveRun: a server runs nothing of which it has not got the last byte.
func (e *Error) cannotHaveRun() bool { return e.neverBegan || e.incomplete }

// isOneOf reports whether the attempt ended with one of the errors.
func (e *Error) isOneOf(targets ...error) bool {
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
	applies func(e *Error) bool
}{
	// The agent itself did not begin it: the backend is not to blame.
	{policy.StatusNotSent, func(e *Error) bool { return e.neverBegan && e.isOneOf(ErrLate, ErrClientGone) }},
	// It may be sent to another backend at once, and this one is no outlier for it.
	{policy.StatusRejected, func(e *Error) bool {
		return e.neverBegan && (e.isOneOf(ErrNoSocket) || errors.Is(e.cause, ErrEndpointDraining))
	}},
	// The decision module asked for it, whether or not the attempt has begun.
	{policy.StatusCancelled, func(e *Error) bool { return errors.Is(e.cause, ErrCancelled) }},
	// This machine is at fault for the moment, and the request has not run.
	{policy.StatusLocalFailure, func(e *Error) bool { return e.cannotHaveRun() && socket.IsLocalError(e.err) }},
	// There is no way to the backend. After a first byte there was one, so the next row has it.
	{policy.StatusUnreachable, func(e *Error) bool { return e.neverBegan && socket.IsUnreachable(e.err) }},
	// The backend could not be connected to, or the connection broke before the last byte.
	{policy.StatusConnectFailed, (*Error).cannotHaveRun},
	// The attempt's time was over with the request written whole: it may have run.
	{policy.StatusTimeout, func(e *Error) bool { return e.cause != nil }},
	// The connection broke, or the answer was spoilt: it may have run.
	{policy.StatusReset, func(*Error) bool { return true }},
}

// status is that of an attempt that got no whole answer. In doubt it may have run.
func (e *Error) status() policy.Status {
	for _, outcome := range outcomes {
		if outcome.applies(e) {
			return outcome.status
		}
	}
	return policy.StatusReset
}

// failed is the result of an attempt that got no whole answer.
func (a *Attempt) failed(err error) Result {
	var write *WriteError
	failure := &Error{err: err, neverBegan: a.withdraw(), cause: context.Cause(a.ctx)}
	failure.incomplete = errors.As(err, &write) && write.incomplete
	return Result{Status: failure.status(), Err: failure}
}
