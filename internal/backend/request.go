package backend

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// maxSchedulingDelay is how long the agent may be suspended between reading its clock and
	// writing. The slack of the deadline in Request-Timeout covers one such delay, and another may
	// have passed between the arrival of the request and the reading of the clock.
	maxSchedulingDelay = 150 * time.Millisecond
	// schedulingDelayDivisor limits what is subtracted for it to a fraction of the time that is
	// left. A backend drops what has no time left, so a request with little keeps nearly all of it;
	// one that would be answered in the last eighth of its time is rare.
	schedulingDelayDivisor = 8
)

// Client waits for the answer to a request.
type Client interface {
	// Disconnected reports whether the client waits no longer. An attempt calls it in its own goroutine,
	// just before the first byte.
	Disconnected() bool
}

// Request is a request as it is forwarded to a backend. It must not be changed while an attempt of it
// runs.
type Request struct {
	Method         string
	Target         string // path and query, unchanged
	Host           string
	RequestID      string // the Request-Id
	IdempotencyKey string // the Idempotency-Key; "": none
	ContentType    string // the Content-Type; "": none
	Body           []byte
	Deadline       time.Time // the client's; zero: none
	Client         Client    // nil: attempts don't check whether the client has left
}

// outgoing returns the request as the backend gets it, with this Request-Timeout.
func (r *Request) outgoing(timeout time.Duration) *http.Request {
	header := http.Header{
		"Request-Id":      {r.RequestID},
		"Request-Timeout": {strconv.FormatInt(timeout.Milliseconds(), 10) + "m"},
		"User-Agent":      {""},
	}
	if r.IdempotencyKey != "" {
		header["Idempotency-Key"] = []string{r.IdempotencyKey}
	}
	if r.ContentType != "" {
		header["Content-Type"] = []string{r.ContentType}
	}
	out := &http.Request{Method: r.Method, URL: &url.URL{Opaque: r.Target}, Host: r.Host,
		Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(r.Body))}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return out
}

// timeout returns the time in the Request-Timeout header of an attempt with a deadline: at most what
// the client has left, however late the attempt is, less a scheduling delay before the write. It is
// never below a millisecond.
func (r *Request) timeout(deadline time.Time) time.Duration {
	if !r.Deadline.IsZero() && r.Deadline.Before(deadline) {
		deadline = r.Deadline
	}
	left := time.Until(deadline)
	return max(left-min(maxSchedulingDelay, left/schedulingDelayDivisor), time.Millisecond)
}
