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
	// maxSchedulingDelay is the longest time that the agent may be suspended between reading its
	// clock and writing the request. The timeout that it sends is reduced by this delay. The contract
	// allows a response some slack after its deadline, but that covers only one such delay, and
	// another one may already have passed between the arrival of the request and the reading of the
	// clock.
	maxSchedulingDelay = 150 * time.Millisecond
	// schedulingDelayDivisor divides the time that an attempt has left. The quotient is the upper
	// bound of that reduction. A backend drops requests that have no time left, so a request with
	// little time must keep most of it. Requests that would be answered only in the last eighth of
	// their time are rare.
	schedulingDelayDivisor = 8
)

// Client is the client that waits for the response to a request.
type Client interface {
	// Disconnected reports whether the client no longer waits for the response. An attempt calls it
	// in its own goroutine just before it writes the first byte.
	Disconnected() bool
}

// Request is a request that is forwarded to a backend. It must not be changed while one of its
// attempts runs.
type Request struct {
	Method         string
	Target         string // path and query, unchanged
	Host           string
	RequestID      string // the Request-Id
	IdempotencyKey string // the Idempotency-Key; "": none
	ContentType    string // the Content-Type; "": none
	Body           []byte
	Deadline       time.Time // the client's; zero: none
	Client         Client    // nil: attempts don't check whether the client has disconnected
}

// outgoing returns the HTTP request to the backend, with the timeout in its Request-Timeout header.
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

// timeout returns the Request-Timeout of an attempt that has a deadline. It is the time until that
// deadline or the client's, whichever is earlier, less an allowance for a scheduling delay before
// the write. However late the attempt is, it is at most what the client has left, but at least one
// millisecond.
func (r *Request) timeout(deadline time.Time) time.Duration {
	if !r.Deadline.IsZero() && r.Deadline.Before(deadline) {
		deadline = r.Deadline
	}
	left := time.Until(deadline)
	return max(left-min(maxSchedulingDelay, left/schedulingDelayDivisor), time.Millisecond)
}
