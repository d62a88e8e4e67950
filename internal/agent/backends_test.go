package agent

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/backend"
)

const okAnswer = agenttest.OKAnswer

func rawBackend(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	return agenttest.RawBackend(t, serve)
}

func readRequest(r *bufio.Reader) (*http.Request, error) { return agenttest.ReadRequest(r) }

func counted(t *testing.T, status int, notStarted bool) (addr string, came chan string) {
	t.Helper()
	return agenttest.IDBackend(t, status, notStarted)
}

// newLoopAttempt makes an attempt as the loop keeps it, with a request of its own.
func newLoopAttempt(target *listedBackend) *attempt {
	created := &attempt{request: &request{answers: make(chan response, 1)}, target: target}
	created.request.Request = backend.Request{Method: http.MethodPost, Target: "/order/u1", Host: "backend.local",
		RequestID: "id1", Body: []byte("body")}
	created.Attempt = backend.NewAttempt(context.Background(), target.conns, &created.request.Request, time.Now().Add(agenttest.Never))
	target.attempts[created] = struct{}{}
	return created
}
