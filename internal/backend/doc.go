// Package backend forwards requests to backends over HTTP/1.1. Each attempt of a request is sent
// once, on one connection, and ends with a Result that says whether the request may have run.
//
// A Pool owns all connections to backends and enforces the process's limit of descriptors for them.
// A Conns holds the connections to one process of one backend. A single mutex, the Pool's, guards
// the fields of both and those of idle connections. A connection in use belongs to its attempt
// alone.
//
// The methods of Pool and Conns, and Attempt.Withdraw and Attempt.Cancel, may be called from any
// goroutine. None of them blocks for longer than the close of a socket. Attempt.Run is called once,
// in a goroutine of its own. It returns when the attempt's context ends, or earlier.
//
// If no complete response was received, Result.Err is an *Error. It wraps one of ErrConnLimit,
// ErrTooLate, ErrClientDisconnected, ErrWithdrawn, *WriteError, *ResponseError and *PanicError, or
// the error of the connect or of the context. A response that is wrong in any part is discarded as
// a whole. If it is uncertain whether a request ran, the Result says that it may have.
package backend
