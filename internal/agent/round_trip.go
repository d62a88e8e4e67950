package agent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
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

// attempt is one send of a request to a backend. The loop makes it; a goroutine of its own runs
// it and posts the result to the loop.
type attempt struct {
	// Set by the loop before the attempt runs, and only read from then on.
	request *request
	index   int // among the attempts of the request
	backend *backend
	conns   *backendConns // the backend's connections when the attempt began
	started time.Time
	beginBy time.Time // it must have begun by then; zero: at any time
	ctx     context.Context
	cancel  context.CancelCauseFunc

	// stage is shared by the attempt's goroutine, which begins it, and the loop, which withdraws it.
	stage atomic.Int32
}

// begin is asked before the first byte is written. It reports false if the attempt was withdrawn.
func (a *attempt) begin() bool { return a.stage.CompareAndSwap(attemptWaiting, attemptSending) }

// withdraw stops an attempt of which no byte went out, and reports whether it is so.
func (a *attempt) withdraw() bool {
	return a.stage.CompareAndSwap(attemptWaiting, attemptWithdrawn) || a.stage.Load() == attemptWithdrawn
}

// result is how an attempt ended.
type result struct {
	status      policy.Status
	elapsed     time.Duration
	body        []byte
	contentType string // the answer's Content-Type
	load        string // the answer's Server-Load
	broken      error  // a panic in the attempt or in the opening of an extra connection, with its stack
}

// run sends the attempt and waits for its end. When it returns, the connection is closed or free
// for the next attempt, and no further byte of this one goes out. A panic must not end the process
// with all the requests that it serves: it counts as a reset, since the attempt may have run.
func (a *attempt) run() (res result) {
	defer func() {
		if reason := recover(); reason != nil {
			res = result{status: policy.StatusReset, broken: fmt.Errorf("panic in an attempt: %v\n%s", reason, debug.Stack())}
		}
		if res.broken == nil {
			res.broken = a.conns.takePanic()
		}
		a.cancel(nil)
		res.elapsed = time.Since(a.started)
	}()
	res, err := a.roundTrip()
	if err != nil {
		res = result{status: a.outcomeOf(err)}
	}
	return res
}

// roundTrip acquires a connection, checks that the attempt may still begin, writes the request and
// reads the answer. It returns an error where no whole answer came; then the connection is closed.
func (a *attempt) roundTrip() (res result, err error) {
	conn, err := a.conns.get(a.ctx)
	if err != nil {
		return result{}, err
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
	if err := a.outgoing().Write(&message); err != nil {
		return result{}, err
	}
	if err := a.mayBegin(); err != nil {
		return result{}, err
	}
	if err := a.write(conn, message.Bytes()); err != nil {
		return result{}, err
	}
	res, reusable, err = a.read(conn)
	return res, err
}

// mayBegin makes the last checks before the first byte and begins the attempt. Its error is
// errLate, errClientGone or errWithdrawn.
func (a *attempt) mayBegin() error {
	if a.isLate() {
		return errLate
	}
	if a.request.hasClientLeft() {
		return errClientGone
	}
	if !a.begin() {
		return errWithdrawn
	}
	return nil
}

// isLate reports whether the time in which the attempt may begin is over. The end of its context is
// acted on by another goroutine, and so maybe later than the first byte.
func (a *attempt) isLate() bool {
	now := time.Now()
	deadline, _ := a.ctx.Deadline()
	return !now.Before(deadline) || !a.beginBy.IsZero() && now.After(a.beginBy)
}

// write writes the request. Its error is a *writeError.
func (a *attempt) write(conn *backendConn, message []byte) error {
	conn.readBudget = maxAnswerHead
	n, err := conn.Write(message)
	if err == nil && n < len(message) {
		err = io.ErrShortWrite
	}
	if err == nil {
		return nil
	}
	a.conns.pool.used(conn, a.ctx.Err() == nil)
	return &writeError{incomplete: n < len(message), err: err}
}

// readers are kept apart from the connections: only attempts that read an answer need one.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// read reads the answer and reports whether the connection can be used again.
func (a *attempt) read(conn *backendConn) (res result, reusable bool, err error) {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(conn)
	defer func() {
		reader.Reset(nil)
		readers.Put(reader)
	}()
	res, reusable, err = a.answer(conn, reader)
	if a.ctx.Err() == nil { // else it was given up, which says nothing of the connection's age
		a.conns.pool.used(conn, err != nil && conn.readBudget == maxAnswerHead)
	}
	// Bytes behind the answer belong to no request that was made.
	return res, reusable && err == nil && reader.Buffered() == 0, err
}

// outgoing is the request as the backend gets it.
func (a *attempt) outgoing() *http.Request {
	request := a.request
	header := http.Header{
		"Request-Id":      {request.wireID},
		"Request-Timeout": {strconv.FormatInt(a.requestTimeout().Milliseconds(), 10) + "m"},
		"User-Agent":      {""},
	}
	if request.idempotency != "" {
		header["Idempotency-Key"] = []string{request.idempotency}
	}
	if request.contentType != "" {
		header["Content-Type"] = []string{request.contentType}
	}
	out := &http.Request{Method: request.method, URL: &url.URL{Opaque: request.target}, Host: request.host,
		Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(request.body))}
	if len(request.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(request.body))
	}
	return out
}

// requestTimeout is the time in the Request-Timeout field: at most what the client has left,
// whatever held up the decision, less what may hold up the write. It is never under a millisecond.
func (a *attempt) requestTimeout() time.Duration {
	deadline, _ := a.ctx.Deadline()
	if client := a.request.deadline; !client.IsZero() && client.Before(deadline) {
		deadline = client
	}
	left := time.Until(deadline)
	return max(left-min(maxHoldUp, left/holdUpShare), time.Millisecond)
}
