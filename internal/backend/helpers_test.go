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

// unusedAddr is an address for pools whose DialContext does not use it.
const unusedAddr = "127.0.0.1:1"

// newTestPool returns a pool whose timeouts are longer than any test.
func newTestPool() *Pool {
	return NewPool((&net.Dialer{}).DialContext, Settings{ConnectTimeout: agenttest.LongTimeout, IdleTimeout: agenttest.LongTimeout, MaxConns: 100})
}

// newTestAttempt returns an attempt of a new request.
func newTestAttempt(conns *Conns, method string, timeout time.Duration) *Attempt {
	request := &Request{Method: method, Target: "/order/u1", Host: "backend.local", RequestID: "id1"}
	if method == http.MethodPost {
		request.Body = []byte("body")
	}
	return NewAttempt(context.Background(), conns, request, time.Now().Add(timeout))
}

// runAttempt runs an attempt of a POST whose deadline is longer than any test.
func runAttempt(conns *Conns) Result {
	return newTestAttempt(conns, http.MethodPost, agenttest.LongTimeout).Run()
}

// startAttempt runs an attempt in a goroutine, which sends the Result on done.
func startAttempt(attempt *Attempt) (done chan Result) {
	done = make(chan Result, 1)
	go func() { done <- attempt.Run() }()
	return done
}

// serveOne runs an attempt and fails the test if it isn't answered with 200 within
// agenttest.WaitTimeout.
func serveOne(t *testing.T, conns *Conns) {
	t.Helper()
	result := newTestAttempt(conns, http.MethodPost, agenttest.WaitTimeout).Run()
	if result.Status != policy.StatusOK {
		t.Fatalf("got status %d (%v), want %d", result.Status, result.Err, policy.StatusOK)
	}
}

// counts returns the number of idle connections of the Conns and of open connections of its pool.
func (c *Conns) counts() (idle, open int) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return len(c.idle), c.pool.open
}

// keepSettling makes the idle connections settle until the test ends, however slow it is.
func (c *Conns) keepSettling() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	for _, conn := range c.idle {
		conn.idleSince = time.Now().Add(agenttest.LongTimeout)
	}
}

// answerOne returns a connection handler for a fake backend, which answers one request with text
// and closes the connection.
func answerOne(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		if _, err := agenttest.ReadRequest(reader); err == nil {
			io.WriteString(conn, text)
		}
	}
}
