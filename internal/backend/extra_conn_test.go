package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// countingDialer opens connections and counts its calls.
type countingDialer struct {
	calls atomic.Int32
	fail  atomic.Bool   // if set, each call after the first fails
	held  chan struct{} // if not nil, each call after the first waits until it is closed
}

func (d *countingDialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if n := d.calls.Add(1); n > 1 && d.fail.Load() {
		return nil, errors.New("no capacity")
	} else if n > 1 && d.held != nil {
		<-d.held // even if the attempt has ended
	}
	return (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, addr)
}

// newExtraConns returns the connections to a backend. Their pool may open extra ones. Connections
// do not settle after a delay: a value on settled ends the wait of one attempt, and its close that
// of all.
func newExtraConns(t *testing.T) (conns *Conns, dialer *countingDialer, settled chan time.Time) {
	t.Helper()
	dialer, settled = &countingDialer{}, make(chan time.Time)
	pool := newTestPool()
	pool.settings.ExtraConns, pool.DialContext = true, dialer.DialContext
	pool.after = func(time.Duration) <-chan time.Time { return settled }
	conns = pool.NewConns(agenttest.RawBackend(t, agenttest.AnswerAll(agenttest.OKResponse)))
	t.Cleanup(conns.CloseIdle)
	return conns, dialer, settled
}

// checkConns compares the numbers of idle and open connections and of dials with the wanted ones.
func checkConns(t *testing.T, conns *Conns, dialer *countingDialer, idle, open int, dials int32) {
	t.Helper()
	gotIdle, gotOpen := conns.counts()
	if got := dialer.calls.Load(); gotIdle != idle || gotOpen != open || got != dials {
		t.Errorf("got %d idle of %d connections after %d dials, want %d of %d after %d", gotIdle, gotOpen, got, idle, open, dials)
	}
}

// An attempt opens an extra connection instead of waiting for the only one, which is settling.
// Sequential attempts never open a third one.
func TestAttemptOpensExtraConnectionWhileOnlyOneSettles(t *testing.T) {
	conns, dialer, settled := newExtraConns(t)
	serveOne(t, conns)
	conns.keepSettling()
	first := conns.idle[0]
	since := first.idleSince
	serveOne(t, conns)
	checkConns(t, conns, dialer, 2, 2, 2)
	if !first.idleSince.Equal(since) || first.idleFor != 0 {
		t.Errorf("got the settling connection idle since %v, reused after %v, want %v and no reuse", first.idleSince, first.idleFor, since)
	}
	conns.keepSettling()
	close(settled) // both connections are settling, and the third attempt waits for one
	serveOne(t, conns)
	checkConns(t, conns, dialer, 2, 2, 2)
}

func TestConcurrentAttemptsShareOneExtraConnection(t *testing.T) {
	conns, _, settled := newExtraConns(t)
	close(settled)
	const attempts = 8
	for range 30 {
		var running sync.WaitGroup
		for range attempts {
			running.Add(1)
			go func() {
				defer running.Done()
				got := newTestAttempt(conns, http.MethodPost, agenttest.WaitTimeout).Run()
				if got.Status != policy.StatusOK {
					t.Errorf("got status %d, want %d", got.Status, policy.StatusOK)
				}
			}()
		}
		running.Wait()
		conns.keepSettling()
	}
	agenttest.Eventually(t, "all connections are idle", func() bool {
		idle, open := conns.counts()
		return idle == open
	})
	if _, open := conns.counts(); open > attempts+1 {
		t.Errorf("got %d connections for %d concurrent attempts, want %d at most", open, attempts, attempts+1)
	}
}

func TestAttemptWaitsForSettlingConnectionWithoutExtra(t *testing.T) {
	for name, change := range map[string]func(settings *Settings){
		"extra connections are off": func(settings *Settings) { settings.ExtraConns = false },
		"limit of connections":      func(settings *Settings) { settings.MaxConns = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			conns, dialer, settled := newExtraConns(t)
			change(&conns.pool.settings)
			serveOne(t, conns)
			conns.keepSettling()
			close(settled)
			serveOne(t, conns)
			if got := dialer.calls.Load(); got != 1 {
				t.Errorf("got %d dials, want 1", got)
			}
		})
	}
}

// If an extra connection can't be opened, no attempt fails and the connect is not retried soon.
func TestExtraConnectionThatFailsIsNotRetriedSoon(t *testing.T) {
	conns, dialer, settled := newExtraConns(t)
	dialer.fail.Store(true)
	serveOne(t, conns)
	for range 2 {
		conns.keepSettling()
		result := startAttempt(newTestAttempt(conns, http.MethodPost, agenttest.WaitTimeout))
		agenttest.Eventually(t, "the dial has failed", func() bool {
			_, open := conns.counts()
			return dialer.calls.Load() == 2 && open == 1
		})
		settled <- time.Now()
		if got := <-result; got.Status != policy.StatusOK {
			t.Fatalf("got status %d, want %d", got.Status, policy.StatusOK)
		}
	}
	if got := dialer.calls.Load(); got != 2 {
		t.Errorf("got %d dials, want 2", got)
	}
}

// An error of this machine is not a sign of a fault of the backend, so the next extra connection
// may be opened soon.
func TestExtraConnectionIsRetriedSoonAfterLocalError(t *testing.T) {
	pool := newTestPool()
	pool.DialContext = (&agenttest.FailingDialer{Errno: syscall.ENFILE, Failures: 1}).DialContext
	conns := pool.NewConns(unusedAddr)
	conns.openExtra(context.Background(), nil, nil)
	if got := time.Until(conns.extra.notBefore); got > time.Second {
		t.Errorf("after a local error: got no other for %v, want at most 1 s", got)
	}
	pool.DialContext = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	conns.openExtra(context.Background(), nil, nil)
	if got := time.Until(conns.extra.notBefore); got < time.Minute {
		t.Errorf("after a refusal: got another in %v, want none for the idle timeout of %v", got, pool.settings.IdleTimeout)
	}
}

func TestExtraConnectionThatIsLateBecomesIdle(t *testing.T) {
	conns, dialer, settled := newExtraConns(t)
	dialer.held = make(chan struct{})
	serveOne(t, conns)
	conns.keepSettling()
	result := startAttempt(newTestAttempt(conns, http.MethodPost, agenttest.WaitTimeout))
	agenttest.Eventually(t, "an extra connection is being opened", func() bool { return dialer.calls.Load() == 2 })
	settled <- time.Now()
	if got := <-result; got.Status != policy.StatusOK {
		t.Fatalf("got status %d, want %d", got.Status, policy.StatusOK)
	}
	close(dialer.held)
	agenttest.Eventually(t, "both connections are idle", func() bool {
		idle, open := conns.counts()
		return idle == 2 && open == 2
	})
}

// A panic while an extra connection is opened fails no attempt. The Result of the waiting attempt
// reports the panic once, and the pool counts no connection for it.
func TestExtraConnectionThatPanicsFailsNoAttempt(t *testing.T) {
	conns, dialer, settled := newExtraConns(t)
	serveOne(t, conns)
	conns.keepSettling()
	conns.pool.DialContext = func(context.Context, string, string) (net.Conn, error) {
		dialer.calls.Add(1)
		panic("boom")
	}
	result := startAttempt(newTestAttempt(conns, http.MethodPost, agenttest.WaitTimeout))
	agenttest.Eventually(t, "the panic is recorded", func() bool {
		conns.pool.mu.Lock()
		defer conns.pool.mu.Unlock()
		return conns.extra.panicked != nil
	})
	settled <- time.Now()
	if got := <-result; got.Status != policy.StatusOK || got.Panic == nil {
		t.Fatalf("got status %d, panic %v, want %d and the panic", got.Status, got.Panic, policy.StatusOK)
	}
	checkConns(t, conns, dialer, 1, 1, 2)
	if conns.extra.dialling {
		t.Error("got an extra connection still dialling, want none")
	}
	conns.keepSettling()
	close(settled)
	got := newTestAttempt(conns, http.MethodPost, agenttest.WaitTimeout).Run()
	if got.Status != policy.StatusOK || got.Panic != nil {
		t.Errorf("next attempt: got status %d, panic %v, want %d and none", got.Status, got.Panic, policy.StatusOK)
	}
	if got := dialer.calls.Load(); got != 2 {
		t.Errorf("got %d dials, want 2: one that panicked is not retried at once", got)
	}
}
