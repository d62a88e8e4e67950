package agent

import (
	"net/http"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/backend"
	"ploverreel/policy"
)

// heldUp is a loop with a request, whose last decision was made some time ago.
func heldUp(t *testing.T, ago time.Duration) (*loop, *request) {
	l := quietLoop(t, "127.0.0.1:1")
	r := &request{id: 1, answers: make(chan response, 1), Request: backend.Request{Method: http.MethodPost,
		Target: "/send/u1", Host: "b", RequestID: "id", Deadline: time.Now().Add(agenttest.Never)}}
	l.requests[r.id] = r
	l.decidedAt = time.Now().Add(-ago)
	return l, r
}

// What the module decided counts from when its clock was read: a hold-up between that and the
// send must not carry a repeat out of its window, nor an attempt past its deadline.
func TestSpansCountFromTheDecision(t *testing.T) {
	l, r := heldUp(t, time.Minute)
	var server policy.Addr
	for server = range l.backends {
	}
	sent := policy.SendAttempt(1, server, 90_000, 30_000)
	l.send(r, &sent)
	a := r.attempts[0]
	defer a.Cancel(nil)
	if !a.BeginBy.Before(time.Now()) {
		t.Errorf("a repeat whose window is over may begin for %v", time.Until(a.BeginBy))
	}
	if end := a.Deadline(); time.Until(end) > 30*time.Second {
		t.Errorf("an attempt with 30 s left may last %v", time.Until(end))
	}
}
