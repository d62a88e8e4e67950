package backend

import (
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// Regression test: a response whose length is ambiguous was served with the body that only one of
// its lengths gives, which may not be the one that the backend meant.
func TestAttemptDiscardsResponseOfAmbiguousLength(t *testing.T) {
	const chunkedBody = "4\r\ndone\r\n0\r\n\r\n"
	for _, c := range []struct {
		name, response string
		want           policy.Status
	}{
		{"both lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody, policy.StatusReset},
		{"lengths swapped", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n" + chunkedBody, policy.StatusReset},
		{"HTTP/1.0, both lengths", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\ndone" + chunkedBody, policy.StatusReset},
		{"HTTP/1.0, chunked", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody, policy.StatusReset},
		{"a space behind the field's name", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding : chunked\r\n\r\ndone", policy.StatusReset},
		{"a space behind Content-Length", "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\ndone", policy.StatusReset},
		{"behind 1xx", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody, policy.StatusReset},
		{"503 not started, both lengths", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody, policy.StatusReset},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody, policy.StatusOK},
		{"names in capitals", "HTTP/1.1 200 OK\r\nCONTENT-LENGTH: 4\r\n\r\ndone", policy.StatusOK},
		{"equal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone", policy.StatusOK},
		{"line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 4\n\ndone", policy.StatusOK},
		{"length in an interim response", "HTTP/1.1 103 Early\r\nContent-Length: 0\r\n\r\n" + agenttest.OKResponse, policy.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			conns := newTestPool().NewConns(agenttest.RawBackend(t, answerOne(c.response)))
			defer conns.CloseIdle()
			got := runAttempt(conns)
			if got.Status != c.want {
				t.Fatalf("got status %d with %q (%v), want %d", got.Status, got.Body, got.Err, c.want)
			}
			if c.want == policy.StatusOK && string(got.Body) != "done" {
				t.Fatalf("got body %q, want \"done\"", got.Body)
			}
		})
	}
}
