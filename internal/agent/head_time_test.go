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

// standInConn is a client's connection, open as long as the test lasts, whose request was received
// at a time.
type standInConn struct{ receivedAt time.Time }

func (c standInConn) BeginRequest() (time.Time, bool) { return c.receivedAt, false }
func (standInConn) MarkRejected()                     {}
func (standInConn) NetConn() net.Conn                 { return nil }

// The timeout that a backend is sent counts from when the request's head was read: the time until
// the handler ran is part of it.
func TestRequestTimeoutCountsFromReadOfHead(t *testing.T) {
	timeouts := make(chan string, 1)
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		timeouts <- r.Header.Get("Request-Timeout")
	}))
	t.Cleanup(backend.Close)
	agent, _, _, _ := start(t, agenttest.Config(nowhere, backend.Listener.Addr().String()))
	const held = 5 * time.Second
	conn := standInConn{receivedAt: time.Now().Add(-held)}
	req := httptest.NewRequest(http.MethodPost, "/order/u1", nil)
	req.Header.Set("Request-Id", "held")
	req.Header.Set("Request-Timeout", "30000m")
	w := httptest.NewRecorder()
	agent.ServeHTTP(w, req.WithContext(context.WithValue(req.Context(), connKey{}, conn)))
	if w.Code != 200 {
		t.Fatalf("got status %d, want 200", w.Code)
	}
	if left, err := parseTimeout(<-timeouts, time.Minute); err != nil || left > 30*time.Second-held {
		t.Fatalf("got timeout %v, %v; want %v at most, as the head was read %v ago", left, err, 30*time.Second-held, held)
	}
}
