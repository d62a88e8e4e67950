package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// delayCountingConn is a client's connection that counts its delayed answers and may be evicted.
type delayCountingConn struct {
	fakeClientConn
	evicted          bool
	delays, rejected int
}

func (c *delayCountingConn) DelayAnswer(<-chan struct{}) bool {
	c.delays++
	return c.evicted
}

func (c *delayCountingConn) MarkRejected() { c.rejected++ }

// serveOn handles a request of the connection and returns the response.
func serveOn(agent *Agent, conn clientConn, target string, header map[string]string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodGet, target, nil)
	req.RequestURI = target
	for name, value := range header {
		req.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	agent.ServeHTTP(w, req.WithContext(context.WithValue(req.Context(), connKey{}, conn)))
	return w
}

// Guards against clients that use all of the processor time with requests which the agent answers
// without a backend: all of these answers are delayed above a rate. Those of a shutdown are not.
func TestAnswersWithoutBackendAreDelayed(t *testing.T) {
	addr, _ := agenttest.IDBackend(t, 200, false)
	agent, _, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	timeout := func(text string) map[string]string {
		return map[string]string{"Request-Id": "id" + text, "Request-Timeout": text}
	}
	for _, c := range []struct {
		name, target string
		header       map[string]string
		status       int
		delays       int
	}{
		{"health check", "/ready", nil, http.StatusOK, 1},
		{"unknown class", "/nothing/u1", nil, http.StatusNotFound, 1},
		{"no id", "/look/u1", nil, http.StatusBadRequest, 1},
		{"no time left", "/look/u1", timeout("1u"), http.StatusServiceUnavailable, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, evicted := range []bool{false, true} {
				conn := &delayCountingConn{fakeClientConn: fakeClientConn{receivedAt: time.Now()}, evicted: evicted}
				w := serveOn(agent, conn, c.target, c.header)
				if w.Code != c.status || conn.delays != c.delays {
					t.Errorf("got status %d after %d delays, want %d after %d", w.Code, conn.delays, c.status, c.delays)
				}
				if evicted && (conn.rejected == 0 || w.Header().Get("Connection") != "close") {
					t.Errorf("got an evicted connection kept, want it closed with the answer")
				}
			}
		})
	}
	conn := &delayCountingConn{fakeClientConn: fakeClientConn{receivedAt: time.Now()}}
	if w := serveOn(agent, conn, "/look/u1", timeout("30000m")); w.Code != http.StatusOK || conn.delays != 0 {
		t.Errorf("got status %d after %d delays for a forwarded request, want 200 after none", w.Code, conn.delays)
	}
	now := time.Now()
	agent.shutdownAt.Store(&now)
	conn = &delayCountingConn{}
	if serveOn(agent, conn, "/ready", nil); conn.delays != 0 {
		t.Errorf("got %d delays during a shutdown, want none", conn.delays)
	}
}
