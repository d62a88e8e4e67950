package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"ploverreel/policy"
)

// The stages of an attempt. An attempt starts in attemptWaiting and changes its stage at most once.
const (
	attemptWaiting   int32 = iota // no byte was written
	attemptSending                // a byte may have been written
	attemptWithdrawn              // withdrawn before a byte was written; no byte will be written
)

// Attempt is one attempt to send a request to a backend. It is run once, in a goroutine of its own.
type Attempt struct {
	// BeginBy is the latest time at which the attempt may begin; zero: no limit. It must not be
	// changed while the attempt runs.
	BeginBy time.Time

	request     *Request
	conns       *Conns
	started     time.Time
	ctx         context.Context
	cancelCause context.CancelCauseFunc
	stopTimer   context.CancelFunc

	// stage is changed by Run, which begins the attempt, and by the methods that withdraw it.
	stage atomic.Int32
}

// Result is the outcome of an attempt.
type Result struct {
	Status      policy.Status // for the decision module
	Err         *Error        // why there is no complete response; nil: there is one
	Panic       *PanicError   // in the attempt or while an extra connection was opened; nil: none
	Elapsed     time.Duration // time since NewAttempt
	Body        []byte        // the body of a response with status 200
	ContentType string        // the Content-Type of a response with status 200
	LoadReport  string        // the response's Server-Load, for ParseLoadReport
}

// MayHaveRun reports whether the request may have run. It is certain that it has not if the attempt
// never began, if the request was not written to its end, or if the backend says so.
func (r *Result) MayHaveRun() bool {
	switch {
	case r.Err != nil && r.Panic == nil:
		return !r.Err.cannotHaveRun()
	case r.Status == policy.StatusRejected, r.Status == policy.StatusNotSent:
		return false
	}
	return true
}

// NewAttempt returns an attempt to send the request on one of the connections. The attempt ends
// when the context ends, and at the deadline at the latest. An attempt that is not run must be
// cancelled.
func NewAttempt(ctx context.Context, conns *Conns, request *Request, deadline time.Time) *Attempt {
	a := &Attempt{request: request, conns: conns, started: time.Now()}
	ctx, a.cancelCause = context.WithCancelCause(ctx)
	a.ctx, a.stopTimer = context.WithDeadline(ctx, deadline)
	return a
}

// Deadline returns the latest time at which the attempt ends.
func (a *Attempt) Deadline() time.Time {
	deadline, _ := a.ctx.Deadline()
	return deadline
}

// Withdraw cancels the attempt unless a byte of the request may have been written. It reports
// whether no byte was written and none will be.
func (a *Attempt) Withdraw(cause error) bool {
	withdrawn := a.withdraw()
	if withdrawn {
		a.end(cause)
	}
	return withdrawn
}

// Cancel ends the attempt. If no byte of the request was written yet, none will be.
func (a *Attempt) Cancel(cause error) {
	a.withdraw() // without this the attempt could begin before it notices that its context ended
	a.end(cause)
}

// withdraw prevents the attempt from beginning. It reports whether the attempt had not begun.
func (a *Attempt) withdraw() bool {
	return a.stage.CompareAndSwap(attemptWaiting, attemptWithdrawn) || a.stage.Load() == attemptWithdrawn
}

// begin reports whether the first byte may be written, which is so unless the attempt was
// withdrawn. After begin the attempt can't be withdrawn any more.
func (a *Attempt) begin() bool {
	return a.stage.CompareAndSwap(attemptWaiting, attemptSending)
}

// end cancels the attempt's context with a cause.
func (a *Attempt) end(cause error) {
	a.cancelCause(cause)
	a.stopTimer()
}

// Run sends the request and waits for the response. When it returns, the connection is closed or
// available to other attempts, and no further byte of the request is written. Run recovers a panic,
// which would otherwise end the process with all the requests that it serves. The status is then
// StatusReset, as the request may have run.
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

// roundTrip gets a connection, checks that the attempt may still begin, writes the request and
// reads the response. If no complete response is received, it closes the connection and returns an
// error.
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
			reusable = false // interrupt has set the connection's deadline or is about to
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

// checkAndBegin makes the last checks before the first byte is written and begins the attempt. The
// error is ErrTooLate, ErrClientDisconnected or ErrWithdrawn.
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

// isLate reports whether it is too late for the attempt to begin. It reads the clock because the
// context may end too late: another goroutine ends it, perhaps after the first byte was written.
func (a *Attempt) isLate() bool {
	now := time.Now()
	return !now.Before(a.Deadline()) || !a.BeginBy.IsZero() && now.After(a.BeginBy)
}

// write writes the request. The error is a *WriteError.
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

// read reads the response to the request and reports whether the connection can be reused. The
// error is a *ResponseError.
func (a *Attempt) read(conn *pooledConn, outgoing *http.Request) (result Result, reusable bool, err error) {
	reader := newResponseReader(conn)
	defer reader.release()
	result, reusable, err = readResponse(conn, reader, outgoing)
	if a.ctx.Err() == nil { // how a cancelled attempt ends doesn't depend on the connection's idle time
		a.conns.pool.observeReuse(conn, err != nil && conn.readBudget == maxResponseHead)
	}
	if err != nil {
		return result, false, err
	}
	surplus, err := checkSurplus(conn, reader, outgoing, &result)
	if err != nil {
		return Result{}, false, &ResponseError{err}
	}
	return result, reusable && !surplus, nil
}
