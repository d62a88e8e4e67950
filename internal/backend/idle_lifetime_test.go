package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// Connections of an age at which they tend to be dropped unseen are not used again;
// what ends at any age alike says nothing, and in time all is tried anew.
func TestIdleLifetimeEstimator(t *testing.T) {
	now, most := time.Now(), time.Minute
	var estimator idleLifetimeEstimator
	for i := range 100 {
		broke := i%20 == 0 // as often at any age
		estimator.observe(time.Millisecond, broke, now)
		estimator.observe(300*time.Millisecond, broke, now)
	}
	if got := estimator.limit(most); got != most {
		t.Fatalf("%v though young ones end as often", got)
	}
	for i := range 10 {
		estimator.observe(110*time.Millisecond, i%3 == 0, now)
	}
	if got := estimator.limit(most); got < 64*time.Millisecond || got > 110*time.Millisecond {
		t.Fatalf("%v though a third end from 110 ms on", got)
	}
	estimator.observe(time.Millisecond, false, now.Add(10*ageHalfLife))
	if got := estimator.limit(most); got != most {
		t.Fatalf("%v after what was seen is old", got)
	}
}

// A backend that drops idle connections silently is met with new connections
// after a few requests that ended so.
func TestConnectionsDroppedSilentlyAreReplaced(t *testing.T) {
	addr := agenttest.RawBackend(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := agenttest.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(conn, agenttest.OKAnswer)
		agenttest.ReadRequest(r) // and ends it when the next one comes
	})
	pool := testPool()
	backend := pool.NewConns(addr)
	for range 40 {
		pool.idleLifetime.observe(time.Millisecond, false, time.Now())
	}
	broken := 0
	for range 20 {
		res := newAttempt(backend, http.MethodPost, agenttest.Never).Run()
		if res.Status != policy.StatusOK {
			broken++
		}
		pool.mu.Lock()
		for _, c := range backend.idle {
			c.since = c.since.Add(-time.Second) // as if it had stood idle
		}
		pool.mu.Unlock()
	}
	if broken != minBreaks {
		t.Fatalf("%d requests ended as a reset, want %d", broken, minBreaks)
	}
}
