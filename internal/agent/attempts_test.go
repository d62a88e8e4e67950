package agent

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/backend"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// newTestAttempt returns an attempt in the loop's form, with its own request.
func newTestAttempt(target *listedBackend) *attempt {
	created := &attempt{target: target, request: &request{responses: make(chan response, 1)}}
	created.request.Request = backend.Request{Method: http.MethodPost, Target: "/order/u1", Host: "backend.local",
		RequestID: "id1", Body: []byte("body")}
	created.Attempt = backend.NewAttempt(context.Background(), target.conns, &created.request.Request, time.Now().Add(agenttest.LongTimeout))
	target.attempts[created] = struct{}{}
	return created
}

// The timeouts of an action count from when the module's clock was read. A scheduling delay between
// that and the send must not let an attempt begin after its window, nor run past its deadline.
func TestAttemptTimesCountFromDecision(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:1")
	late := &request{id: 1, responses: make(chan response, 1), Request: backend.Request{Method: http.MethodPost,
		Target: "/send/u1", Host: "b", RequestID: "id", Deadline: time.Now().Add(agenttest.LongTimeout)}}
	l.requests[late.id] = late
	l.decidedAt = time.Now().Add(-time.Minute)
	const timeoutMs, beginWithinMs = 90_000, 30_000
	action := policy.SendAttempt(late.id, endpointlist.AddressOf("s-0"), timeoutMs, beginWithinMs)
	l.startAttempt(late, &action)
	got := late.attempts[0]
	defer got.Cancel(nil)
	if !got.BeginBy.Before(time.Now()) {
		t.Errorf("a minute after the decision: got %v left to begin, want none of 30 s", time.Until(got.BeginBy))
	}
	if left := time.Until(got.Deadline()); left > 30*time.Second {
		t.Errorf("a minute after the decision: got %v left, want at most 30 s of 90 s", left)
	}
}

func TestLoopLogsPanicOfAttempt(t *testing.T) {
	l, text := newLoggingLoop(t, refusingAddr)
	l.pool.DialContext = func(context.Context, string, string) (net.Conn, error) { panic("boom") }
	panicking := newTestAttempt(l.backends[endpointlist.AddressOf("s-0")])
	l.handle(attemptEnded{attempt: panicking, result: panicking.Run()})
	want := `level=ERROR msg="attempt panicked" err="panic in an attempt: boom\n`
	if got := text.String(); !strings.HasPrefix(got, want) || strings.Count(got, "\n") != 1 {
		t.Errorf("got log\n%s, want one line that begins with\n%s", got, want)
	}
	text.Reset()
	l.pool.DialContext = (&net.Dialer{}).DialContext
	failing := newTestAttempt(l.backends[endpointlist.AddressOf("s-0")])
	l.handle(attemptEnded{attempt: failing, result: failing.Run()})
	if got := text.String(); got != "" {
		t.Errorf("got log\n%s, want none of an attempt that fails without a panic", got)
	}
}
