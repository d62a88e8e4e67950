package backend

import (
	"strings"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// Regression test: the head of a response was limited in bytes alone, and thousands of short lines
// took many times as much memory as their text while the body was awaited.
func TestAttemptDiscardsResponseOfTooManyLines(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
	for _, c := range []struct {
		name, response string
		want           policy.Status
	}{
		{"as many as allowed", head + strings.Repeat("X: \r\n", maxHeadLines-2) + "\r\ndone", policy.StatusOK},
		{"one more", head + strings.Repeat("X: \r\n", maxHeadLines-1) + "\r\ndone", policy.StatusReset},
		{"behind 1xx", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + head + strings.Repeat("X: \r\n", maxHeadLines-1) + "\r\ndone", policy.StatusReset},
		{"in 1xx", "HTTP/1.1 103 Early\r\n" + strings.Repeat("X: \r\n", maxHeadLines) + "\r\n" + agenttest.OKResponse, policy.StatusReset},
	} {
		t.Run(c.name, func(t *testing.T) {
			conns := newTestPool().NewConns(agenttest.RawBackend(t, answerOne(c.response)))
			defer conns.CloseIdle()
			if got := runAttempt(conns); got.Status != c.want {
				t.Fatalf("got status %d (%v), want %d", got.Status, got.Err, c.want)
			}
		})
	}
}
