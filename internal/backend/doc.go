// Package backend forwards requests to backends over HTTP/1.1. Each attempt of a request is sent once,
// on one connection, and ends with a Result that says whether the request may have run.
//
// A Pool owns all connections to backends and the process's share of descriptors for them; a Conns is
// those to one process of one backend. One mutex, the Pool's, guards the fields of both and of the
// connections that are idle. A connection in use belongs to its attempt alone.
//
// The methods of Pool and Conns, and Attempt.Withdraw and Attempt.Cancel, may be called from any
// goroutine, and none of them blocks for longer than the close of a socket. Attempt.Run is called
// once, in a goroutine of the attempt's own; it ends with the attempt's context.
//
// Where no whole answer came, Result.Err is an *Error. It wraps one of ErrConnLimit, ErrTooLate,
// ErrClientDisconnected, ErrWithdrawn, *WriteError, *ResponseError and *PanicError, or the error of the connect
// or of the context. If any part of an answer is wrong, none of it is used. In doubt a request counts
// as one that may have run.
package backend
