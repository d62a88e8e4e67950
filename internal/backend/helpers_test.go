package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// unusedAddr is an address for pools whose DialContext doesn't connect to it.
const unusedAddr = "127.0.0.1:1"

// newTestPool returns a pool whose timeouts don't run out.
func newTestPool() *Pool {
	return NewPool((&net.Dialer{}).DialContext, Settings{ConnectTimeout: agenttest.Never, IdleTimeout: agenttest.Never, MaxConns: 100})
}

// newTestAttempt returns an attempt of a request of its own.
func newTestAttempt(conns *Conns, method string, timeout time.Duration) *Attempt {
	request := &Request{Method: method, Target: "/order/u1", Host: "backend.local", RequestID: "id1"}
	if method == http.MethodPost {
		request.Body = []byte("body")
	}
	return NewAttempt(context.Background(), conns, request, time.Now().Add(timeout))
}

// runAttempt runs an attempt of a POST that has all the time it needs.
func runAttempt(conns *Conns) Result {
	return newTestAttempt(conns, http.MethodPost, agenttest.Never).Run()
}

// startAttempt runs an attempt in a goroutine.
func startAttempt(attempt *Attempt) (done chan Result) {
	done = make(chan Result, 1)
	go func() { done <- attempt.Run() }()
	return done
}

// serveOne runs an attempt and fails the test if it isn't answered with 200 within
// agenttest.NoAnswerTimeout.
func serveOne(t *testing.T, conns *Conns) {
	t.Helper()
	result := newTestAttempt(conns, http.MethodPost, agenttest.NoAnswerTimeout).Run()
	if result.Status != policy.StatusOK {
		t.Fatalf("got status %d (%v), want %d", result.Status, result.Err, policy.StatusOK)
	}
}

// counts returns how many connections of a Conns are idle, and how many of its pool are open.
func (c *Conns) counts() (idle, open int) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return len(c.idle), c.pool.open
}

// keepSettling makes the idle connections settle for as long as the test lasts, however slow it is.
func (c *Conns) keepSettling() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	for _, conn := range c.idle {
		conn.idleSince = time.Now().Add(agenttest.Never)
	}
}

// answerAll is a stand-in backend's connection that answers each request with text.
func answerAll(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		for {
			if _, err := agenttest.ReadRequest(reader); err != nil {
				return
			}
			io.WriteString(conn, text)
		}
	}
}

// answerOne is a stand-in backend's connection that answers one request with text, and closes.
func answerOne(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		if _, err := agenttest.ReadRequest(reader); err == nil {
			io.WriteString(conn, text)
		}
	}
}
