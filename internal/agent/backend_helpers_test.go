package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// rawBackend hands each connection to serve; it ends with the test.
func rawBackend(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// readRequest reads one whole request.
func readRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return req, err
}

// byteCounter is a backend that answers nothing and reports how many bytes its first connection brought.
func byteCounter(t *testing.T) (addr string, read chan int64) {
	t.Helper()
	read = make(chan int64, 1)
	addr = rawBackend(t, func(_ net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		read <- n
	})
	return addr, read
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

func testPool() *pool {
	return newPool((&net.Dialer{}).DialContext, agenttest.Never, agenttest.Never, 100)
}

// newAttempt makes an attempt with a request of its own.
func newAttempt(conns *backendConns, method string, timeout time.Duration) *backendAttempt {
	request := &backendRequest{Method: method, Target: "/order/u1", Host: "backend.local", RequestID: "id1"}
	if method == http.MethodPost {
		request.Body = []byte("body")
	}
	return newBackendAttempt(context.Background(), conns, request, time.Now().Add(timeout))
}

// newLoopAttempt makes an attempt of a request as the loop keeps it.
func newLoopAttempt(target *listedBackend) *attempt {
	created := &attempt{request: &request{answers: make(chan response, 1)}, backend: target}
	created.backendAttempt = newAttempt(target.conns, http.MethodPost, agenttest.Never)
	target.attempts[created] = struct{}{}
	return created
}
