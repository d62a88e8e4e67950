package backend

import (
	"context"
	"net"
	"net/http"
	"time"

	"ploverreel/internal/agenttest"
)

func testPool() *Pool {
	return NewPool((&net.Dialer{}).DialContext, Settings{ConnectTimeout: agenttest.Never, IdleTimeout: agenttest.Never, MaxConns: 100})
}

// newAttempt makes an attempt with a request of its own.
func newAttempt(conns *Conns, method string, timeout time.Duration) *Attempt {
	request := &Request{Method: method, Target: "/order/u1", Host: "backend.local", RequestID: "id1"}
	if method == http.MethodPost {
		request.Body = []byte("body")
	}
	return NewAttempt(context.Background(), conns, request, time.Now().Add(timeout))
}
