package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// A request that may have run is retried only if its class allows it. A request that was rejected
// may be sent to another backend in any class.
func TestAgentRetriesAsTheClassAllows(t *testing.T) {
	for _, c := range []struct {
		name, class  string
		status       int // that each backend responds with
		notStarted   bool
		wantAttempts int
		wantStatus   int
	}{
		{"single-shot, failed", "order", 500, false, 1, http.StatusBadGateway},
		{"single-shot, may have run", "order", 503, false, 1, http.StatusBadGateway},
		{"single-shot, rejected", "order", 503, true, 3, http.StatusServiceUnavailable},
		{"idempotent with key, failed", "send", 500, false, 3, http.StatusServiceUnavailable},
		{"idempotent, may have run", "look", 503, false, 3, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			var addrs []string
			var received []chan string
			for range 5 {
				addr, ids := agenttest.IDBackend(t, c.status, c.notStarted)
				addrs, received = append(addrs, addr), append(received, ids)
			}
			_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addrs...))
			status, _, header := do(t, newClientRequest(base, c.class))
			if status != c.wantStatus {
				t.Errorf("got status %d, want %d", status, c.wantStatus)
			}
			wantRetryAfter := ""
			if c.wantStatus == http.StatusServiceUnavailable {
				wantRetryAfter = "0.6"
			}
			if got := header.Get("Retry-After"); got != wantRetryAfter {
				t.Errorf("got Retry-After %q with status %d, want %q", got, status, wantRetryAfter)
			}
			attempts := 0
			for _, ids := range received {
				attempts += len(ids) // each request was received before its response
			}
			if attempts != c.wantAttempts {
				t.Errorf("got %d attempts, want %d", attempts, c.wantAttempts)
			}
		})
	}
}

// An incomplete response of a backend is not forwarded, neither as a whole nor in part.
func TestAgentAnswers502ForIncompleteResponse(t *testing.T) {
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := agenttest.ReadRequest(reader); err == nil {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone")
		}
	})
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	if status, body, _ := do(t, newClientRequest(base, "order")); status != http.StatusBadGateway || body != "" {
		t.Fatalf("got %d %q, want %d with no body", status, body, http.StatusBadGateway)
	}
}

// Requests above the limit of open requests are rejected at once, as the module would have no time
// left for them later.
func TestAgentRejectsRequestsAboveItsLimit(t *testing.T) {
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-released
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(server.Close)
	t.Cleanup(release) // runs before the backend closes, also if the test fails
	conf := agenttest.Config(refusingAddr, server.Listener.Addr().String())
	conf["limits"].(map[string]any)["sockets"] = config.MinSockets
	agent, base, _, _ := startAgent(t, conf)
	// On a slow machine clients may write late and handlers may respond late.
	agent.clients.SetTimeouts(agenttest.LongTimeout, agenttest.LongTimeout)
	const excess = 20
	requests := minLimits.MaxOpenRequests() + excess
	if requests <= minLimits.ClientSockets() {
		t.Fatalf("got %d requests, want more than the %d slots for clients", requests, minLimits.ClientSockets())
	}
	statuses := make(chan int, requests)
	for range requests {
		go func() { statuses <- <-doAsync(t, newClientRequest(base, "order")) }()
	}
	atOnce := time.After(10 * time.Second) // the module would reject queued requests after 15 s
	for range excess {
		select {
		case status := <-statuses:
			if status != http.StatusServiceUnavailable {
				t.Errorf("got status %d while the backend answers none, want 503", status)
			}
		case <-atOnce:
			t.Fatal("got no response to a request above the limit, want 503 at once")
		}
	}
	release()
	for range requests - excess {
		if status := <-statuses; status != 200 {
			t.Errorf("got status %d, want 200", status)
		}
	}
}

func TestAgentCancelsAttemptOfDisconnectedClient(t *testing.T) {
	received, ended := make(chan struct{}), make(chan struct{})
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := agenttest.ReadRequest(reader); err != nil {
			return
		}
		close(received)
		reader.ReadByte()
		close(ended)
	})
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	ctx, cancel := context.WithCancel(context.Background())
	go http.DefaultTransport.RoundTrip(newClientRequest(base, "order").WithContext(ctx))
	<-received
	cancel()
	<-ended
}

// A machine that vanished doesn't respond on any of its connections. After a timeout no idle
// connection to it is used again.
func TestAttemptTimeoutClosesIdleConnections(t *testing.T) {
	closed := make(chan struct{})
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := agenttest.ReadRequest(reader); err == nil {
			io.WriteString(conn, agenttest.OKResponse)
			reader.ReadByte()
			close(closed)
		}
	})
	l := newTestLoop(t, addr)
	target := l.backends[endpointlist.AddressOf("s-0")]
	settings := l.pool.Settings()
	settings.IdleTimeout = agenttest.LongTimeout
	l.pool.Configure(settings)
	if got := newTestAttempt(target).Run(); got.Status != policy.StatusOK {
		t.Fatalf("got status %d, want %d", got.Status, policy.StatusOK)
	}
	l.handle(attemptEnded{attempt: newTestAttempt(target), result: backend.Result{Status: policy.StatusTimeout}})
	<-closed
}
