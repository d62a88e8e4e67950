package backend

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of attempts that did not begin, besides those of a connect.
var (
	ErrWithdrawn          = errors.New("attempt withdrawn before its first byte was written")
	ErrClientDisconnected = errors.New("client disconnected before the first byte was written")
	ErrTooLate            = errors.New("too late for the attempt to begin")
	ErrConnLimit          = errors.New("connection limit reached and no connection is idle")
)

// Causes with which attempts are withdrawn or cancelled.
var (
	ErrCancelled        = errors.New("attempt cancelled")
	ErrEndpointDraining = errors.New("backend is draining or was removed")
)

// Errors that a ResponseError wraps, besides those of net/http and of the network.
var (
	errResponseTooLong = errors.New("longer than the limit")
	errNotAResponse    = errors.New("not a response to this request")
	errAmbiguousLength = errors.New("ambiguous length")
	errSurplus         = errors.New("more bytes than its length")
)

// Error says why an attempt got no complete response and how much of the request was written. It
// wraps the underlying error.
type Error struct {
	err        error
	cause      error // why the attempt's context ended; nil: it did not end
	neverBegan bool  // no byte of the request was written
	incomplete bool  // the last byte of the request was not written
	connectCut bool  // the attempt's deadline ended it before a connect could be expected to succeed
}

// connectTimeoutDivisor divides the connect timeout. The quotient is the time after which a connect
// that did not succeed counts as a failure of the backend, even if the attempt's deadline ended it.
const connectTimeoutDivisor = 4

func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.err }

// newError returns the Error of an attempt that failed with err. It also prevents the attempt from
// beginning later.
func (a *Attempt) newError(err error) *Error {
	var write *WriteError
	// The attempt is withdrawn before the cause is read. Another goroutine that withdraws it sets the
	// cause right after that, so a cause that was read earlier could be missing.
	neverBegan := a.withdraw()
	now := time.Now()
	return &Error{
		err:        err,
		cause:      context.Cause(a.ctx),
		neverBegan: neverBegan,
		incomplete: errors.As(err, &write) && write.incomplete,
		connectCut: !now.Before(a.Deadline()) &&
			now.Sub(a.started) < a.conns.pool.Settings().ConnectTimeout/connectTimeoutDivisor,
	}
}

// WriteError says why a request could not be written.
type WriteError struct {
	incomplete bool // the last byte was not written and never will be
	err        error
}

func (e *WriteError) Error() string { return "write: " + e.err.Error() }

// Unwrap returns the error of the connection, or io.ErrShortWrite.
func (e *WriteError) Unwrap() error { return e.err }

// ResponseError says why a response is discarded: it is incomplete, too long, or not a response to
// the request.
type ResponseError struct{ err error }

func (e *ResponseError) Error() string { return "response: " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *ResponseError) Unwrap() error { return e.err }

// PanicError is a panic in an attempt or while an extra connection was opened.
type PanicError struct {
	where  string
	reason any
	stack  []byte
}

// Error returns the panic's value and stack.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic in %s: %v\n%s", e.where, e.reason, e.stack)
}
