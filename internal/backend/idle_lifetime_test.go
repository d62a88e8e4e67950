package backend

import (
	"bufio"
	"net"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// Connections are not reused after an idle time at which they tend to break. Breaks that are
// equally frequent at all idle times do not lower the limit, and the decay makes all idle times
// usable again.
func TestIdleLifetimeExcludesIdleTimesThatBreak(t *testing.T) {
	now, idleTimeout := time.Now(), time.Minute
	var estimator idleLifetimeEstimator
	for i := range 100 {
		broke := i%20 == 0
		estimator.observe(time.Millisecond, broke, now)
		estimator.observe(300*time.Millisecond, broke, now)
	}
	if got := estimator.limit(idleTimeout); got != idleTimeout {
		t.Fatalf("breaks at any idle time: got limit %v, want %v", got, idleTimeout)
	}
	for i := range 10 {
		estimator.observe(110*time.Millisecond, i%3 == 0, now)
	}
	if got := estimator.limit(idleTimeout); got < 64*time.Millisecond || got > 110*time.Millisecond {
		t.Fatalf("a third of the connections breaks at 110 ms: got limit %v, want 64 to 110 ms", got)
	}
	estimator.observe(time.Millisecond, false, now.Add(10*countHalfLife))
	if got := estimator.limit(idleTimeout); got != idleTimeout {
		t.Fatalf("after ten half-lives: got limit %v, want %v", got, idleTimeout)
	}
}

// If a backend drops idle connections silently, the pool opens new ones for it after a few requests
// were reset.
func TestPoolStopsReusingSilentlyDroppedConnections(t *testing.T) {
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		answerOne(agenttest.OKResponse)(conn, reader)
		agenttest.ReadRequest(reader) // closes the connection when the next request arrives
	})
	pool := newTestPool()
	conns := pool.NewConns(addr)
	for range 40 {
		pool.idleLifetime.observe(time.Millisecond, false, time.Now())
	}
	broken := 0
	for range 20 {
		if runAttempt(conns).Status != policy.StatusOK {
			broken++
		}
		pool.mu.Lock()
		for _, conn := range conns.idle {
			conn.idleSince = conn.idleSince.Add(-time.Second) // simulates a further idle time of 1 s
		}
		pool.mu.Unlock()
	}
	if broken != minBrokenReuses {
		t.Fatalf("got %d requests reset, want %d", broken, minBrokenReuses)
	}
}
