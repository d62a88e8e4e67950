package backend

import (
	"bufio"
	"net"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// Connections of an age at which they tend to break are not used again. Breaks that are as frequent
// at any age say nothing, and in time all ages are tried again.
func TestIdleLifetimeExcludesAgesThatBreak(t *testing.T) {
	now, idleTimeout := time.Now(), time.Minute
	var estimator idleLifetimeEstimator
	for i := range 100 {
		broke := i%20 == 0
		estimator.observe(time.Millisecond, broke, now)
		estimator.observe(300*time.Millisecond, broke, now)
	}
	if got := estimator.limit(idleTimeout); got != idleTimeout {
		t.Fatalf("breaks at any age: got limit %v, want %v", got, idleTimeout)
	}
	for i := range 10 {
		estimator.observe(110*time.Millisecond, i%3 == 0, now)
	}
	if got := estimator.limit(idleTimeout); got < 64*time.Millisecond || got > 110*time.Millisecond {
		t.Fatalf("a third breaks at 110 ms: got limit %v, want 64 to 110 ms", got)
	}
	estimator.observe(time.Millisecond, false, now.Add(10*ageHalfLife))
	if got := estimator.limit(idleTimeout); got != idleTimeout {
		t.Fatalf("after ten half-lives: got limit %v, want %v", got, idleTimeout)
	}
}

// A backend that drops idle connections silently gets new ones after a few requests that were reset.
func TestPoolStopsReusingSilentlyDroppedConnections(t *testing.T) {
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		answerOne(agenttest.OKAnswer)(conn, reader)
		agenttest.ReadRequest(reader) // and closes the connection when the next request arrives
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
			conn.idleSince = conn.idleSince.Add(-time.Second) // as if it had been idle
		}
		pool.mu.Unlock()
	}
	if broken != minBreaks {
		t.Fatalf("got %d requests reset, want %d", broken, minBreaks)
	}
}
