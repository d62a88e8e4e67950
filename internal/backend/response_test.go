package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// responseWithoutLength is a response that lasts until its connection ends.
const responseWithoutLength = "HTTP/1.1 200 OK\r\n\r\ndone"

// The status says whether the request has run. If that is uncertain, it says that the request may
// have.
func TestAttemptStatusFollowsResponse(t *testing.T) {
	for _, c := range []struct {
		name, response string
		want           policy.Status
	}{
		{"whole", agenttest.OKResponse, policy.StatusOK},
		{"missing", "", policy.StatusReset},
		{"half the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone", policy.StatusReset},
		{"half the chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", policy.StatusReset},
		{"unknown length", responseWithoutLength, policy.StatusOK},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537), policy.StatusReset},
		{"length of gigabytes", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\ndone", policy.StatusReset},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone", policy.StatusReset},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone", policy.StatusReset},
		{"no HTTP", "\x00\xff\x17noise\r\n\r\n", policy.StatusReset},
		{"endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 40), policy.StatusReset},
		{"half a 503", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\nx", policy.StatusReset},
		{"behind 1xx", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + agenttest.OKResponse, policy.StatusOK},
		{"behind too many 1xx", strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 100) + agenttest.OKResponse, policy.StatusReset},
		{"another protocol", "HTTP/1.1 101 Switching\r\n\r\n" + agenttest.OKResponse, policy.StatusReset},
		{"500", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", policy.StatusServerError},
		{"204", "HTTP/1.1 204 No\r\n\r\n", policy.StatusServerError},
		{"503 that may have run", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", policy.StatusServerError},
		{"503 not started", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", policy.StatusRejected},
		{"504 not started", "HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", policy.StatusRejected},
		{"500 not started", "HTTP/1.1 500 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", policy.StatusServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			conns := newTestPool().NewConns(agenttest.RawBackend(t, answerOne(c.response)))
			defer conns.CloseIdle()
			got := runAttempt(conns)
			if got.Status != c.want {
				t.Fatalf("got status %d (%v), want %d", got.Status, got.Err, c.want)
			}
			if ok := c.want == policy.StatusOK; (string(got.Body) == "done") != ok {
				t.Fatalf("got body %q, want \"done\" with status %d alone", got.Body, policy.StatusOK)
			}
		})
	}
}

// readCounter closes done once the given number of bytes were read from the connection.
type readCounter struct {
	net.Conn
	left int
	done chan struct{}
	once sync.Once
}

func (c *readCounter) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.left -= n; c.left <= 0 {
		c.once.Do(func() { close(c.done) })
	}
	return n, err
}

// A response without a length is complete if the connection ends with an orderly close, but not if
// it ends with a reset. The connection is closed.
func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\n"
	for _, c := range []struct {
		name, response string
		reset          bool
		want           policy.Status
		body           string
	}{
		{name: "whole", response: head + "done", want: policy.StatusOK, body: "done"},
		{name: "empty", response: head, want: policy.StatusOK},
		{name: "HTTP/1.0", response: "HTTP/1.0 200 OK\r\n\r\ndone", want: policy.StatusOK, body: "done"},
		{name: "longest", response: head + strings.Repeat("x", maxResponseBody), want: policy.StatusOK, body: strings.Repeat("x", maxResponseBody)},
		{name: "too long", response: head + strings.Repeat("x", maxResponseBody+1), want: policy.StatusReset},
		{name: "reset", response: head + "done", reset: true, want: policy.StatusReset},
		{name: "reset before the body", response: head, reset: true, want: policy.StatusReset},
		{name: "end within the head", response: "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n", want: policy.StatusReset},
		{name: "500", response: "HTTP/1.1 500 No\r\n\r\nbad", want: policy.StatusServerError},
		{name: "503 not started", response: "HTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\n", want: policy.StatusRejected},
		{name: "503 not started and reset", response: "HTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\n", reset: true, want: policy.StatusReset},
	} {
		t.Run(c.name, func(t *testing.T) {
			read := make(chan struct{}) // closed once the response was read
			addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
				answerOne(c.response)(conn, reader)
				if c.reset {
					<-read // otherwise the reset could discard unread bytes of the response
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			conns := newTestPool().NewConns(addr)
			defer conns.CloseIdle()
			dial := conns.pool.DialContext
			conns.pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dial(ctx, network, addr)
				return &readCounter{Conn: conn, left: len(c.response), done: read}, err
			}
			got := newTestAttempt(conns, http.MethodPost, agenttest.WaitTimeout).Run()
			if got.Status != c.want || string(got.Body) != c.body {
				t.Fatalf("got status %d with %d bytes, want %d with %d", got.Status, len(got.Body), c.want, len(c.body))
			}
			if conns.pool.open != 0 {
				t.Errorf("got %d connections open, want 0", conns.pool.open)
			}
		})
	}
}
