package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// An answer without a length lasts to the end of its connection: an end in order makes it whole,
// a reset does not. What is too long is spoilt. The connection is not used again.
func TestAnswerWithoutLength(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\n"
	for _, test := range []struct {
		name, answer string
		reset        bool
		want         policy.Status
		body         string
	}{
		{name: "whole", answer: head + "done", want: policy.StatusOK, body: "done"},
		{name: "empty", answer: head, want: policy.StatusOK},
		{name: "of an old protocol", answer: "HTTP/1.0 200 OK\r\n\r\ndone", want: policy.StatusOK, body: "done"},
		{name: "longest", answer: head + strings.Repeat("x", maxAnswerBody), want: policy.StatusOK, body: strings.Repeat("x", maxAnswerBody)},
		{name: "too long", answer: head + strings.Repeat("x", maxAnswerBody+1), want: policy.StatusReset},
		{name: "reset", answer: head + "done", reset: true, want: policy.StatusReset},
		{name: "reset before the body", answer: head, reset: true, want: policy.StatusReset},
		{name: "end within the head", answer: "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n", want: policy.StatusReset},
		{name: "error", answer: "HTTP/1.1 500 No\r\n\r\nbad", want: policy.StatusServerError},
		{name: "rejected", answer: "HTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\n", want: policy.StatusRejected},
		{name: "rejected and reset", answer: "HTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\n", reset: true, want: policy.StatusReset},
	} {
		t.Run(test.name, func(t *testing.T) {
			read := make(chan struct{})
			addr := agenttest.RawBackend(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := agenttest.ReadRequest(r); err != nil {
					return
				}
				io.WriteString(c, test.answer)
				if test.reset {
					<-read // else the reset could overtake what is to be read before it
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			backend := testPool().NewConns(addr)
			defer backend.CloseIdle()
			plain := backend.pool.DialContext
			backend.pool.DialContext = wholeReads(plain, len(test.answer), read)
			res := newAttempt(backend, http.MethodPost, agenttest.NoAnswerTimeout).Run()
			if res.Status != test.want || string(res.Body) != test.body {
				t.Fatalf("ended %d with %d bytes, want %d with %d", res.Status, len(res.Body), test.want, len(test.body))
			}
			if backend.pool.open != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}
