package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// fakeClientConn is a client's connection that stays open during the test, with a given time at
// which its request was received.
type fakeClientConn struct{ receivedAt time.Time }

func (c fakeClientConn) BeginRequest() (time.Time, bool) { return c.receivedAt, false }
func (fakeClientConn) BeginBody(int64, time.Time)        {}
func (fakeClientConn) IsBodyTooLong() bool               { return false }
func (fakeClientConn) EndBody(bool) bool                 { return false }
func (fakeClientConn) DelayAnswer(<-chan struct{}) bool  { return false }
func (fakeClientConn) MarkRejected()                     {}
func (fakeClientConn) WatchDisconnect() (<-chan struct{}, func()) {
	return nil, func() {}
}
func (fakeClientConn) NetConn() net.Conn { return nil }

// The timeout that a backend receives counts from when the request's head was read. It includes the
// time until the handler ran.
func TestRequestTimeoutCountsFromReadOfHead(t *testing.T) {
	timeouts := make(chan string, 1)
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		timeouts <- r.Header.Get("Request-Timeout")
	}))
	t.Cleanup(backend.Close)
	agent, _, _, _ := startAgent(t, agenttest.Config(refusingAddr, backend.Listener.Addr().String()))
	const handlerDelay = 5 * time.Second
	conn := fakeClientConn{receivedAt: time.Now().Add(-handlerDelay)}
	req := httptest.NewRequest(http.MethodPost, "/order/u1", nil)
	req.Header.Set("Request-Id", "held")
	req.Header.Set("Request-Timeout", "30000m")
	w := httptest.NewRecorder()
	agent.ServeHTTP(w, req.WithContext(context.WithValue(req.Context(), connKey{}, conn)))
	if w.Code != 200 {
		t.Fatalf("got status %d, want 200", w.Code)
	}
	if left, err := parseTimeout(<-timeouts, time.Minute); err != nil || left > 30*time.Second-handlerDelay {
		t.Fatalf("got timeout %v, %v; want %v at most, as the head was read %v ago", left, err, 30*time.Second-handlerDelay, handlerDelay)
	}
}
