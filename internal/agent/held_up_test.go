package agent

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// heldUp is a loop with a request, whose last decision was made some time ago.
func heldUp(t *testing.T, ago time.Duration) (*loop, *request) {
	l := quietLoop(t, "127.0.0.1:1")
	r := &request{id: 1, method: http.MethodPost, target: "/send/u1", host: "b", wireID: "id", answers: make(chan response, 1),
		deadline: time.Now().Add(agenttest.Never)}
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
	defer a.cancel(nil)
	if !a.beginBy.Before(time.Now()) {
		t.Errorf("a repeat whose window is over may begin for %v", time.Until(a.beginBy))
	}
	if end, _ := a.ctx.Deadline(); time.Until(end) > 30*time.Second {
		t.Errorf("an attempt with 30 s left may last %v", time.Until(end))
	}
}

// The time in Request-Timeout is under what the client has left, by what may hold up the
// write where there is much time and by an eighth where there is little.
func TestRequestTimeoutAllowsForAHoldUp(t *testing.T) {
	for _, test := range []struct {
		name                         string
		attempt, client, most, least time.Duration
	}{
		{name: "much of both", attempt: time.Hour, client: time.Hour, most: time.Hour - maxHoldUp, least: time.Hour - time.Minute},
		{name: "less of the client", attempt: time.Hour, client: time.Minute, most: time.Minute - maxHoldUp, least: 10 * time.Second},
		{name: "less of the attempt", attempt: time.Minute, client: time.Hour, most: time.Minute - maxHoldUp, least: 10 * time.Second},
		{name: "little of the client", attempt: time.Hour, client: 800 * time.Millisecond, most: 700 * time.Millisecond, least: time.Millisecond},
		{name: "very little of the client", attempt: time.Hour, client: 8 * time.Millisecond, most: 7 * time.Millisecond, least: time.Millisecond},
		{name: "the client's time is over", attempt: time.Hour, client: -time.Second, most: time.Millisecond, least: time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newAttempt(nil, http.MethodPost, test.attempt)
			defer a.cancel(nil)
			a.request.deadline = time.Now().Add(test.client)
			if got := a.requestTimeout(); got > test.most || got < test.least {
				t.Errorf("%v of the attempt and %v of the client are left: Request-Timeout %v", test.attempt, test.client, got)
			}
		})
	}
}

// An attempt whose time is over before its first byte does not begin, whatever held it up and
// though its connection is up.
func TestNothingBeginsPastTheDeadline(t *testing.T) {
	c := &scriptedConn{answer: []byte(okAnswer), writeEnd: -1, readEnd: -1}
	pool := testPool()
	a := newAttempt(pool.newBackendConns("127.0.0.1:1"), http.MethodPost, time.Nanosecond)
	pool.connect = func(context.Context, string, string) (net.Conn, error) {
		<-a.ctx.Done()
		return c, nil
	}
	if res := a.run(); res.status != policy.StatusNotSent || c.written.Len() > 0 || !c.closed {
		t.Errorf("ended %d with %d bytes written, closed %v", res.status, c.written.Len(), c.closed)
	}
}
