package backend

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// All connections share one limit. At the limit, the connection that has been idle longest is
// closed to make room for a new one.
func TestPoolClosesLongestIdleAtLimit(t *testing.T) {
	pool := newTestPool()
	pool.settings.MaxConns = 2
	var backends []*Conns
	for range 3 {
		addr, _ := agenttest.IDBackend(t, http.StatusOK, false)
		backends = append(backends, pool.NewConns(addr))
	}
	for i, conns := range backends {
		if got := runAttempt(conns); got.Status != policy.StatusOK {
			t.Fatalf("backend %d: got status %d, want %d", i, got.Status, policy.StatusOK)
		}
	}
	first, second, third := len(backends[0].idle), len(backends[1].idle), len(backends[2].idle)
	if pool.open != 2 || first != 0 || second != 1 || third != 1 {
		t.Fatalf("got %d open, idle %d, %d and %d, want 2, and 0, 1 and 1", pool.open, first, second, third)
	}
	backends[1].Close()
	if pool.open != 1 || pool.idle.Len() != 1 {
		t.Fatalf("after a backend is closed: got %d open, %d idle, want 1 and 1", pool.open, pool.idle.Len())
	}
	pool.settings.IdleTimeout = 0
	pool.sweep()
	if pool.open != 0 || pool.idle.Len() != 0 || pool.sweeping {
		t.Fatalf("after the idle timeout: got %d open, %d idle, sweep scheduled %v, want 0, 0 and false",
			pool.open, pool.idle.Len(), pool.sweeping)
	}
}

func TestConnsDropConnectionsThatBackendClosed(t *testing.T) {
	var requests atomic.Int32
	closed := make(chan struct{}, 10)
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		answerOne(agenttest.OKResponse)(conn, reader)
		requests.Add(1)
		conn.Close()
		closed <- struct{}{}
	})
	conns := newTestPool().NewConns(addr)
	for i := range 20 {
		if got := runAttempt(conns); got.Status != policy.StatusOK {
			t.Fatalf("attempt %d: got status %d, want %d", i, got.Status, policy.StatusOK)
		}
		<-closed
	}
	if got := requests.Load(); got != 20 {
		t.Errorf("got %d connections with a request, want one for each of 20 attempts", got)
	}
}
