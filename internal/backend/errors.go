package backend

import (
	"context"
	"errors"
	"fmt"
)

// The errors of attempts that didn't begin, besides those of a connect.
var (
	ErrWithdrawn          = errors.New("attempt withdrawn before its first byte")
	ErrClientDisconnected = errors.New("the client has left before the first byte")
	ErrTooLate            = errors.New("too late for the attempt to begin")
	ErrConnLimit          = errors.New("no socket left for a new connection")
)

// The causes with which attempts are withdrawn and cancelled.
var (
	ErrCancelled        = errors.New("attempt cancelled")
	ErrEndpointDraining = errors.New("backend drains or is gone")
)

// What a ResponseError wraps, besides the errors of package http and of the network.
var (
	errTooLong      = errors.New("longer than the limit")
	errNotAResponse = errors.New("not one to this request")
)

// Error is why an attempt got no whole answer, and how far it came. It wraps the error at fault.
type Error struct {
	err        error
	cause      error // of the end of the attempt's context; nil: the context did not end
	neverBegan bool  // no byte of the request was written
	incomplete bool  // the last byte of the request was not written
}

func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the error at fault.
func (e *Error) Unwrap() error { return e.err }

// failure returns the Error of an attempt, which can't begin any more.
func (a *Attempt) failure(err error) *Error {
	var write *WriteError
	neverBegan := a.withdraw() // before the cause is read: who withdraws an attempt cancels it next
	return &Error{
		err:        err,
		cause:      context.Cause(a.ctx),
		neverBegan: neverBegan,
		incomplete: errors.As(err, &write) && write.incomplete,
	}
}

// WriteError is why a request could not be written.
type WriteError struct {
	incomplete bool // the last byte was not written, and can't be any more
	err        error
}

func (e *WriteError) Error() string { return "write: " + e.err.Error() }

// Unwrap returns the error of the connection, or io.ErrShortWrite.
func (e *WriteError) Unwrap() error { return e.err }

// ResponseError is why an answer is not used: it didn't come whole, is too long, or is not one to the
// request.
type ResponseError struct{ err error }

func (e *ResponseError) Error() string { return "answer: " + e.err.Error() }

// Unwrap returns the error at fault.
func (e *ResponseError) Unwrap() error { return e.err }

// PanicError is a panic of an attempt, or of the opening of an extra connection.
type PanicError struct {
	where  string
	reason any
	stack  []byte
}

// Error returns the panic with its stack.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic in %s: %v\n%s", e.where, e.reason, e.stack)
}
