package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"ploverreel/policy"
)

const (
	maxBody       = 64 << 10 // of a request and of an answer
	maxAnswerHead = 16 << 10 // of an answer, with the 1xx answers ahead of it
	maxInterim    = 8        // 1xx answers ahead of an answer
)

var (
	errWithdrawn        = errors.New("attempt withdrawn before its first byte")
	errClientGone       = errors.New("the client has left before the first byte")
	errNoSocket         = errors.New("no socket left for a new connection")
	errCancelled        = errors.New("attempt cancelled")
	errEndpointDraining = errors.New("backend drains or is gone")
	errLate             = errors.New("too late for the attempt to begin")
)

// backend is one listed server. The loop owns it; the group of its connections is
// shared with the attempts.
type backend struct {
	addr     policy.Addr
	bornMs   float64
	usable   bool
	conns    *backendConns
	attempts map[*attempt]struct{} // out now
}

const (
	// holdUp is how long the agent may be held up between reading its clock and writing. The slack
	// of the deadline that a backend is told covers one such time, and another may have passed
	// between the arrival of the request and the reading of the clock.
	holdUp = 150 * time.Millisecond
	// holdUpShare bounds what is taken off for it to a part of the time that is left. A backend
	// drops what has no time left, so a request with little keeps nearly all of it; one that
	// would be answered in the last eighth of its time is rare.
	holdUpShare = 8
)

// The stages of an attempt.
const (
	attemptWaiting   int32 = iota // no byte was written
	attemptSending                // a byte may have been written
	attemptWithdrawn              // withdrawn before a byte was written: none will be
)

// attempt is one send of a request to a backend.
type attempt struct {
	request *request
	index   int
	backend *backend
	conns   *backendConns // the backend's connections when the attempt began
	started time.Time
	beginBy time.Time // it must have begun by then; zero: at any time

	ctx             context.Context
	cancel          context.CancelCauseFunc
	stage           atomic.Int32
	writeIncomplete bool // a write failed: the request did not go out whole
}

// begin is asked before the first byte is written.
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
	load        string // the answer's load report
	broken      error  // a panic, with its stack
}

// run sends the attempt and waits for its end. When it returns, the connection is
// closed or free for the next, and no further byte of the attempt goes out. A panic
// must not end the process with all that it holds: what began may have run.
func (a *attempt) run() (res result) {
	defer func() {
		if p := recover(); p != nil {
			res = result{status: policy.StatusReset, broken: fmt.Errorf("panic in an attempt: %v\n%s", p, debug.Stack())}
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

// roundTrip returns an error where no whole answer came; then the connection is closed.
func (a *attempt) roundTrip() (res result, err error) {
	c, err := a.conns.get(a.ctx)
	if err != nil {
		return res, err
	}
	keep := false
	defer func() {
		if keep {
			a.conns.put(c)
		} else {
			c.Close()
		}
	}()
	end := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !end() {
			keep = false // its deadline is set, or is about to be
		}
	}()
	var out bytes.Buffer
	if err := a.outgoing().Write(&out); err != nil {
		a.withdraw()
		return res, err
	}
	if a.late() {
		return res, errLate
	}
	if a.request.hasClientLeft() {
		return res, errClientGone
	}
	if !a.begin() {
		return res, errWithdrawn
	}
	c.left = maxAnswerHead
	n, err := c.Write(out.Bytes())
	if err == nil && n < out.Len() {
		err = io.ErrShortWrite
	}
	if err != nil {
		a.conns.pool.used(c, a.ctx.Err() == nil)
		a.writeIncomplete = n < out.Len() // the last byte can no longer follow
		return res, err
	}
	r := readers.Get().(*bufio.Reader)
	r.Reset(c)
	defer func() {
		r.Reset(nil)
		readers.Put(r)
	}()
	res, keep, err = a.answer(c, r)
	if a.ctx.Err() == nil { // else it was given up, which says nothing of its age
		a.conns.pool.used(c, err != nil && c.left == maxAnswerHead)
	}
	// Bytes behind the answer belong to nothing that was asked for.
	keep = keep && err == nil && r.Buffered() == 0
	return res, err
}

// late tells whether the time in which the attempt may begin is over. The end of its context is
// acted on by another goroutine, and so maybe later than the first byte.
func (a *attempt) late() bool {
	now := time.Now()
	deadline, _ := a.ctx.Deadline()
	return !now.Before(deadline) || !a.beginBy.IsZero() && now.After(a.beginBy)
}

// outgoing is the request as the backend gets it.
func (a *attempt) outgoing() *http.Request {
	r := a.request
	h := http.Header{
		"Request-Id":      {r.wireID},
		"Request-Timeout": {strconv.FormatInt(a.toldTimeout().Milliseconds(), 10) + "m"},
		"User-Agent":      {""},
	}
	if r.idempotency != "" {
		h["Idempotency-Key"] = []string{r.idempotency}
	}
	if r.contentType != "" {
		h["Content-Type"] = []string{r.contentType}
	}
	out := &http.Request{Method: r.method, URL: &url.URL{Opaque: r.target}, Host: r.host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(r.body))}
	if len(r.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	return out
}

// toldTimeout is how long the backend is told that it has: at most what the client has left,
// whatever held up the decision, less what may hold up the write. It is never under a millisecond.
func (a *attempt) toldTimeout() time.Duration {
	deadline, _ := a.ctx.Deadline()
	if d := a.request.deadline; !d.IsZero() && d.Before(deadline) {
		deadline = d
	}
	left := time.Until(deadline)
	return max(left-min(holdUp, left/holdUpShare), time.Millisecond)
}

// ending tells how an attempt ended that got no whole answer. In doubt it may have run.
func (a *attempt) outcomeOf(err error) policy.Status {
	never := a.withdraw()
	cause := context.Cause(a.ctx)
	switch {
	case never && (errors.Is(err, errLate) || errors.Is(err, errClientGone)):
		return policy.StatusNotSent
	case never && (errors.Is(err, errNoSocket) || errors.Is(cause, errEndpointDraining)):
		return policy.StatusRejected
	case errors.Is(cause, errCancelled):
		return policy.StatusCancelled
	case (never || a.writeIncomplete) && isLocalError(err):
		return policy.StatusLocalFailure
	case never && isUnreachable(err):
		return policy.StatusUnreachable
	case never || a.writeIncomplete:
		return policy.StatusConnectFailed
	case cause != nil:
		return policy.StatusTimeout
	}
	return policy.StatusReset
}
