package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ploverreel/policy"
)

const (
	// maxHoldUp is how long the agent may be held up between reading its clock and writing. The
	// slack of the deadline in Request-Timeout covers one such time, and another may have passed
	// between the arrival of the request and the reading of the clock.
	maxHoldUp = 150 * time.Millisecond
	// holdUpShare bounds what is taken off for it to a part of the time that is left. A backend
	// drops what has no time left, so a request with little keeps nearly all of it; one that
	// would be answered in the last eighth of its time is rare.
	holdUpShare = 8
)

// The stages of an attempt, by whether a byte of it may have been written. It leaves attemptWaiting
// once, for one of the two others.
const (
	attemptWaiting   int32 = iota // no byte was written
	attemptSending                // a byte may have been written
	attemptWithdrawn              // withdrawn before a byte was written: none will be
)

// Client is who waits for the answer to a request.
type Client interface {
	// HasLeft reports whether nobody waits for the answer any more. It is called from the attempt's
	// goroutine, just before its first byte.
	HasLeft() bool
}

// Request is a request as it is forwarded to a backend. It is only read once an attempt of it runs.
type Request struct {
	Method         string
	Target         string // path and query, as they came
	Host           string
	RequestID      string // the header of that name, as the next two
	IdempotencyKey string // "": none
	ContentType    string // "": none
	Body           []byte
	Deadline       time.Time // the client's; zero: none
	Client         Client    // nil: no attempt looks for it
}

// Attempt is one send of a request to a backend. Whoever makes it runs it once, in a goroutine
// of its own.
type Attempt struct {
	BeginBy time.Time // it must have begun by then; zero: at any time. It is set before Run

	request     *Request
	conns       *Conns
	started     time.Time
	ctx         context.Context
	cancelCause context.CancelCauseFunc
	stopTimer   context.CancelFunc

	// stage is shared by the attempt's goroutine, which begins it, and those that withdraw it.
	stage atomic.Int32
}

// NewAttempt makes an attempt on the connections, which ends at the deadline, or with the
// context, at the latest. One that isn't run has to be cancelled.
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

// begin is asked before the first byte is written. It reports false if the attempt was withdrawn.
func (a *Attempt) begin() bool {
	return a.stage.CompareAndSwap(attemptWaiting, attemptSending)
}

// withdraw keeps an attempt of which no byte went out from beginning, and reports whether it is so.
func (a *Attempt) withdraw() bool {
	return a.stage.CompareAndSwap(attemptWaiting, attemptWithdrawn) || a.stage.Load() == attemptWithdrawn
}

// Withdraw ends the attempt with a cause if no byte of it went out, and reports whether it is so.
// None goes out then.
func (a *Attempt) Withdraw(cause error) bool {
	withdrawn := a.withdraw()
	if withdrawn {
		a.end(cause)
	}
	return withdrawn
}

// Cancel ends the attempt with a cause, whether or not a byte of it went out. If none did, none does.
func (a *Attempt) Cancel(cause error) {
	a.withdraw() // else its first byte could still cross the end of the context
	a.end(cause)
}

// end ends the attempt's context with a cause.
func (a *Attempt) end(cause error) {
	a.cancelCause(cause)
	a.stopTimer()
}

// Result is how an attempt ended.
type Result struct {
	Status      policy.Status // that the decision module is notified of
	Err         *Error        // why there is no whole answer; nil: there is one
	Panic       *PanicError   // in the attempt or in the opening of an extra connection; nil: none
	Elapsed     time.Duration
	Body        []byte // of an answer with status 200
	ContentType string // the answer's Content-Type
	LoadReport  string // the answer's Server-Load, for ParseLoadReport
}

// Run sends the attempt and waits for its end. When it returns, the connection is closed or free
// for the next attempt, and no further byte of this one goes out. A panic must not end the process
// with all the requests that it serves: it counts as a reset, since the attempt may have run.
func (a *Attempt) Run() (res Result) {
	defer func() {
		if reason := recover(); reason != nil {
			panicked := &PanicError{where: "an attempt", reason: reason, stack: debug.Stack()}
			res = Result{Status: policy.StatusReset, Err: &Error{err: panicked}, Panic: panicked}
		}
		if res.Panic == nil {
			res.Panic = a.conns.takePanic()
		}
		a.end(nil)
		res.Elapsed = time.Since(a.started)
	}()
	res, err := a.roundTrip()
	if err != nil {
		res = a.failed(err)
	}
	return res
}

// roundTrip acquires a connection, checks that the attempt may still begin, writes the request and
// reads the answer. It returns an error where no whole answer came; then the connection is closed.
func (a *Attempt) roundTrip() (res Result, err error) {
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
	outgoing := a.outgoing()
	if err := outgoing.Write(&message); err != nil {
		return Result{}, err
	}
	if err := a.mayBegin(); err != nil {
		return Result{}, err
	}
	if err := a.write(conn, message.Bytes()); err != nil {
		return Result{}, err
	}
	res, reusable, err = a.read(conn, outgoing)
	return res, err
}

// mayBegin makes the last checks before the first byte and begins the attempt. Its error is
// ErrLate, ErrClientGone or ErrWithdrawn.
func (a *Attempt) mayBegin() error {
	if a.isLate() {
		return ErrLate
	}
	if a.request.Client != nil && a.request.Client.HasLeft() {
		return ErrClientGone
	}
	if !a.begin() {
		return ErrWithdrawn
	}
	return nil
}

// isLate reports whether the time in which the attempt may begin is over. The end of its context is
// acted on by another goroutine, and so maybe later than the first byte.
func (a *Attempt) isLate() bool {
	now := time.Now()
	return !now.Before(a.Deadline()) || !a.BeginBy.IsZero() && now.After(a.BeginBy)
}

// write writes the request. Its error is a *WriteError.
func (a *Attempt) write(conn *pooledConn, message []byte) error {
	conn.readBudget = maxAnswerHead
	n, err := conn.Write(message)
	if err == nil && n < len(message) {
		err = io.ErrShortWrite
	}
	if err == nil {
		return nil
	}
	a.conns.pool.used(conn, a.ctx.Err() == nil)
	return &WriteError{incomplete: n < len(message), err: err}
}

// readers are kept apart from the connections: only attempts that read an answer need one.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// read reads the answer to the request and reports whether the connection can be used again.
func (a *Attempt) read(conn *pooledConn, outgoing *http.Request) (res Result, reusable bool, err error) {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(conn)
	defer func() {
		reader.Reset(nil)
		readers.Put(reader)
	}()
	res, reusable, err = answer(conn, reader, outgoing)
	if a.ctx.Err() == nil { // else it was given up, which says nothing of the connection's age
		a.conns.pool.used(conn, err != nil && conn.readBudget == maxAnswerHead)
	}
	// Bytes behind the answer belong to no request that was made.
	return res, reusable && err == nil && reader.Buffered() == 0, err
}

// outgoing is the request as the backend gets it.
func (a *Attempt) outgoing() *http.Request {
	request := a.request
	header := http.Header{
		"Request-Id":      {request.RequestID},
		"Request-Timeout": {strconv.FormatInt(a.requestTimeout().Milliseconds(), 10) + "m"},
		"User-Agent":      {""},
	}
	if request.IdempotencyKey != "" {
		header["Idempotency-Key"] = []string{request.IdempotencyKey}
	}
	if request.ContentType != "" {
		header["Content-Type"] = []string{request.ContentType}
	}
	out := &http.Request{Method: request.Method, URL: &url.URL{Opaque: request.Target}, Host: request.Host,
		Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(request.Body))}
	if len(request.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return out
}

// requestTimeout is the time in the Request-Timeout field: at most what the client has left,
// whatever held up the decision, less what may hold up the write. It is never under a millisecond.
func (a *Attempt) requestTimeout() time.Duration {
	deadline := a.Deadline()
	if client := a.request.Deadline; !client.IsZero() && client.Before(deadline) {
		deadline = client
	}
	left := time.Until(deadline)
	return max(left-min(maxHoldUp, left/holdUpShare), time.Millisecond)
}
