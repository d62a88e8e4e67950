package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	const target = "/order/a%2Fb%20c?x=1&y=%2f"
	received := make(chan *http.Request, 1)
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		request.Body = io.NopCloser(strings.NewReader(string(body)))
		received <- request
		io.WriteString(conn, agenttest.OKResponse)
	})
	attempt := newTestAttempt(newTestPool().NewConns(addr), http.MethodPost, agenttest.LongTimeout)
	attempt.request.Target = target
	attempt.request.IdempotencyKey = "k1"
	if result := attempt.Run(); result.Status != policy.StatusOK {
		t.Fatalf("got status %d, want %d", result.Status, policy.StatusOK)
	}
	got := <-received
	body, _ := io.ReadAll(got.Body)
	if got.RequestURI != target || got.Method != http.MethodPost || string(body) != "body" ||
		got.Header.Get("Request-Id") != "id1" || got.Header.Get("Idempotency-Key") != "k1" || got.Host != "backend.local" {
		t.Fatalf("got %v %s, body %q, host %q, %v, want POST %s, body \"body\", host backend.local, id1 and k1",
			got.Method, got.RequestURI, body, got.Host, got.Header, target)
	}
	if timeout := got.Header.Get("Request-Timeout"); !strings.HasSuffix(timeout, "m") || len(timeout) != len("3599999m") {
		t.Fatalf("got Request-Timeout %q, want an hour in milliseconds", timeout)
	}
}

// Request-Timeout is less than the client's remaining time, as a scheduling delay may come before
// the write. It is less by maxSchedulingDelay if much time is left, and by an eighth if little is
// left.
func TestRequestTimeoutLeavesRoomForSchedulingDelay(t *testing.T) {
	for _, c := range []struct {
		name                         string
		attempt, client, most, least time.Duration
	}{
		{"much of both", time.Hour, time.Hour, time.Hour - maxSchedulingDelay, time.Hour - time.Minute},
		{"less of the client", time.Hour, time.Minute, time.Minute - maxSchedulingDelay, 10 * time.Second},
		{"less of the attempt", time.Minute, time.Hour, time.Minute - maxSchedulingDelay, 10 * time.Second},
		{"little of the client", time.Hour, 800 * time.Millisecond, 700 * time.Millisecond, time.Millisecond},
		{"very little of the client", time.Hour, 8 * time.Millisecond, 7 * time.Millisecond, time.Millisecond},
		{"nothing of the client", time.Hour, -time.Second, time.Millisecond, time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			attempt := newTestAttempt(nil, http.MethodPost, c.attempt)
			defer attempt.Cancel(nil)
			attempt.request.Deadline = time.Now().Add(c.client)
			if got := attempt.request.timeout(attempt.Deadline()); got > c.most || got < c.least {
				t.Errorf("attempt has %v, client %v: got Request-Timeout %v, want %v to %v", c.attempt, c.client, got, c.least, c.most)
			}
		})
	}
}
