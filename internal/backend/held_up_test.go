package backend

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

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
			defer a.Cancel(nil)
			a.request.Deadline = time.Now().Add(test.client)
			if got := a.requestTimeout(); got > test.most || got < test.least {
				t.Errorf("%v of the attempt and %v of the client are left: Request-Timeout %v", test.attempt, test.client, got)
			}
		})
	}
}

// An attempt whose time is over before its first byte does not begin, whatever held it up and
// though its connection is up.
func TestNothingBeginsPastTheDeadline(t *testing.T) {
	c := agenttest.NewScriptedConn(agenttest.OKAnswer)
	pool := testPool()
	a := newAttempt(pool.NewConns("127.0.0.1:1"), http.MethodPost, time.Nanosecond)
	pool.DialContext = func(context.Context, string, string) (net.Conn, error) {
		<-a.ctx.Done()
		return c, nil
	}
	if res := a.Run(); res.Status != policy.StatusNotSent || c.Written.Len() > 0 || !c.Closed {
		t.Errorf("ended %d with %d bytes written, closed %v", res.Status, c.Written.Len(), c.Closed)
	}
}
