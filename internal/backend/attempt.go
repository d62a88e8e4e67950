package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"ploverreel/policy"
)

// The stages of an attempt, by whether a byte of it may have been written. It leaves attemptWaiting
// once, for one of the two others.
const (
	attemptWaiting   int32 = iota // no byte was written
	attemptSending                // a byte may have been written
	attemptWithdrawn              // withdrawn before a byte was written: none will be
)

// Attempt is one attempt to send a request to a backend. It is run once, in a goroutine of its own.
type Attempt struct {
	// BeginBy is when the attempt must have begun; zero: at any time. It must not be changed while
	// the attempt runs.
	BeginBy time.Time

	request     *Request
	conns       *Conns
	started     time.Time
	ctx         context.Context
	cancelCause context.CancelCauseFunc
	stopTimer   context.CancelFunc

	// stage is set by Run, which begins the attempt, and by those who withdraw it.
	stage atomic.Int32
}

// Result is how an attempt ended.
type Result struct {
	Status      policy.Status // for the decision module
	Err         *Error        // why there is no whole answer; nil: there is one
	Panic       *PanicError   // in the attempt or while an extra connection was opened; nil: none
	Elapsed     time.Duration // since NewAttempt
	Body        []byte        // of an answer with status 200
	ContentType string        // the Content-Type of an answer with status 200
	LoadReport  string        // the answer's Server-Load, for ParseLoadReport
}

// NewAttempt returns an attempt of a request on one of the connections. It ends with the context, and
// at the deadline at the latest. An attempt that is not run must be cancelled.
func NewAttempt(ctx context.Context, conns *Conns, request *Request, deadline time.Time) *Attempt {
	a := &Attempt{request: request, conns: conns, started: time.Now()}
	ctx, a.cancelCause = context.WithCancelCause(ctx)
	a.ctx, a.stopTimer = context.WithDeadline(ctx, deadline)
	return a
}

// Deadline returns when the attempt ends at the latest.
func (a *Attempt) Deadline() time.Time {
	deadline, _ := a.ctx.Deadline()
	return deadline
}

// Withdraw cancels the attempt unless a byte of it may have been written, and reports whether no
// byte was, or will be.
func (a *Attempt) Withdraw(cause error) bool {
	withdrawn := a.withdraw()
	if withdrawn {
		a.end(cause)
	}
	return withdrawn
}

// Cancel ends the attempt. If no byte of it was written, none will be.
func (a *Attempt) Cancel(cause error) {
	a.withdraw() // the attempt could still begin until it notices the end of its context
	a.end(cause)
}

// withdraw keeps the attempt from beginning, and reports whether it has not begun.
func (a *Attempt) withdraw() bool {
	return a.stage.CompareAndSwap(attemptWaiting, attemptWithdrawn) || a.stage.Load() == attemptWithdrawn
}

// begin reports whether the first byte may be written: the attempt was not withdrawn, and can't be
// any more.
func (a *Attempt) begin() bool {
	return a.stage.CompareAndSwap(attemptWaiting, attemptSending)
}

// end ends the attempt's context.
func (a *Attempt) end(cause error) {
	a.cancelCause(cause)
	a.stopTimer()
}

// Run sends the request and waits for the answer. When it returns, the connection is closed or
// available to the next attempt, and no further byte of this one is written. A panic must not end the
// process with all the requests that it serves: it counts as a reset, since the attempt may have run.
func (a *Attempt) Run() (result Result) {
	defer func() {
		if reason := recover(); reason != nil {
			err := &PanicError{where: "an attempt", reason: reason, stack: debug.Stack()}
			result = Result{Status: policy.StatusReset, Err: &Error{err: err}, Panic: err}
		}
		if result.Panic == nil {
			result.Panic = a.conns.takeExtraPanic()
		}
		a.end(nil)
		result.Elapsed = time.Since(a.started)
	}()
	result, err := a.roundTrip()
	if err != nil {
		failure := a.newError(err)
		return Result{Status: failure.status(), Err: failure}
	}
	return result
}

// roundTrip gets a connection, checks that the attempt may still begin, writes the request and reads
// the answer. It returns an error if no whole answer came; the connection is closed then.
func (a *Attempt) roundTrip() (result Result, err error) {
	conn, err := a.conns.get(a.ctx)
	if err != nil {
		return Result{}, err
	}
	reusable := false
	defer func() {
		if reusable {
			a.conns.put(conn)
		} else {
			conn.Close()
		}
	}()
	stop := context.AfterFunc(a.ctx, conn.interrupt)
	defer func() {
		if !stop() {
			reusable = false // its deadline is set, or is about to be
		}
	}()
	var message bytes.Buffer
	outgoing := a.request.outgoing(a.request.timeout(a.Deadline()))
	if err := outgoing.Write(&message); err != nil {
		return Result{}, err
	}
	if err := a.checkAndBegin(); err != nil {
		return Result{}, err
	}
	if err := a.write(conn, message.Bytes()); err != nil {
		return Result{}, err
	}
	result, reusable, err = a.read(conn, outgoing)
	return result, err
}

// checkAndBegin makes the last checks before the first byte and begins the attempt. Its error is
// ErrTooLate, ErrClientDisconnected or ErrWithdrawn.
func (a *Attempt) checkAndBegin() error {
	if a.isLate() {
		return ErrTooLate
	}
	if a.request.Client != nil && a.request.Client.Disconnected() {
		return ErrClientDisconnected
	}
	if !a.begin() {
		return ErrWithdrawn
	}
	return nil
}

// isLate reports whether the time in which the attempt may begin is over. The context doesn't tell
// that in time: another goroutine acts on its end, perhaps after the first byte.
func (a *Attempt) isLate() bool {
	now := time.Now()
	return !now.Before(a.Deadline()) || !a.BeginBy.IsZero() && now.After(a.BeginBy)
}

// write writes the request. Its error is a *WriteError.
func (a *Attempt) write(conn *pooledConn, message []byte) error {
	conn.readBudget = maxResponseHead
	n, err := conn.Write(message)
	if err == nil && n < len(message) {
		err = io.ErrShortWrite
	}
	if err == nil {
		return nil
	}
	a.conns.pool.observeReuse(conn, a.ctx.Err() == nil)
	return &WriteError{incomplete: n < len(message), err: err}
}

// readers are not part of the connections: only attempts that read an answer need one.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// read reads the answer to the request and reports whether the connection can be used again. Its
// error is a *ResponseError.
func (a *Attempt) read(conn *pooledConn, outgoing *http.Request) (result Result, reusable bool, err error) {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(conn)
	defer func() {
		reader.Reset(nil)
		readers.Put(reader)
	}()
	result, reusable, err = readResponse(conn, reader, outgoing)
	if a.ctx.Err() == nil { // a cancelled attempt says nothing about the connection's age
		a.conns.pool.observeReuse(conn, err != nil && conn.readBudget == maxResponseHead)
	}
	// Bytes behind the answer belong to no request that was made.
	return result, reusable && err == nil && reader.Buffered() == 0, err
}
