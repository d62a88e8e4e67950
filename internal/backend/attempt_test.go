package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

func TestAttemptBeginsOnce(t *testing.T) {
	attempt := newTestAttempt(nil, http.MethodPost, agenttest.LongTimeout)
	defer attempt.Cancel(nil)
	if !attempt.begin() {
		t.Fatal("got no begin of a new attempt, want one")
	}
	if attempt.begin() {
		t.Error("got a second begin, want one at most")
	}
	if attempt.Withdraw(nil) {
		t.Error("got an attempt withdrawn after it began, want it to go on")
	}
}

// A request must not be resent when a reused idle connection breaks. A resend would be a second
// attempt that the decision module did not ask for.
func TestAttemptIsNotResentOnBrokenConnection(t *testing.T) {
	for _, c := range []struct{ name, method, key string }{
		{"idempotent", http.MethodGet, ""},
		{"idempotent with key", http.MethodPost, "k1"},
		{"non-idempotent", http.MethodPost, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var requests atomic.Int32
			addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
				for {
					if _, err := agenttest.ReadRequest(reader); err != nil {
						return
					}
					if requests.Add(1) > 1 {
						return // breaks the connection during the second request
					}
					io.WriteString(conn, agenttest.OKResponse)
				}
			})
			conns := newTestPool().NewConns(addr)
			defer conns.CloseIdle()
			for i, want := range []policy.Status{policy.StatusOK, policy.StatusReset} {
				attempt := newTestAttempt(conns, c.method, agenttest.LongTimeout)
				attempt.request.IdempotencyKey = c.key
				if got := attempt.Run().Status; got != want {
					t.Fatalf("attempt %d: got status %d, want %d", i, got, want)
				}
			}
			if got := requests.Load(); got != 2 {
				t.Fatalf("got %d requests of 2 attempts, want 2", got)
			}
		})
	}
}

// The connection of an attempt that timed out is closed before its Result is returned. Otherwise
// the next attempt could be a second copy of the request that is open at the same time.
func TestAttemptTimeoutClosesConnection(t *testing.T) {
	received, closed := make(chan struct{}), make(chan error, 1)
	addr := agenttest.RawBackend(t, func(_ net.Conn, reader *bufio.Reader) {
		if _, err := agenttest.ReadRequest(reader); err != nil {
			return
		}
		close(received)
		_, err := reader.ReadByte()
		closed <- err
	})
	pool := newTestPool()
	attempt := newTestAttempt(pool.NewConns(addr), http.MethodPost, agenttest.LongTimeout)
	done := startAttempt(attempt)
	<-received
	attempt.Cancel(context.DeadlineExceeded) // has the same effect as the timeout, without the wait
	if got := <-done; got.Status != policy.StatusTimeout {
		t.Fatalf("got status %d, want %d", got.Status, policy.StatusTimeout)
	}
	if pool.open != 0 {
		t.Fatalf("got %d connections open at the result, want 0", pool.open)
	}
	if err := <-closed; err == nil {
		t.Fatal("got a byte at the backend, want the end of the connection")
	}
}

// The end of an attempt cancels its dial. http.Transport would let the dial continue and keep the
// connection to a draining backend.
func TestAttemptEndCancelsDial(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause error
		want  policy.Status
	}{
		{"timeout", context.DeadlineExceeded, policy.StatusConnectFailed},
		{"draining backend", ErrEndpointDraining, policy.StatusRejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			dialling, ended := make(chan struct{}), make(chan struct{})
			pool := newTestPool()
			pool.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
				close(dialling)
				<-ctx.Done()
				close(ended)
				return nil, ctx.Err()
			}
			attempt := newTestAttempt(pool.NewConns(unusedAddr), http.MethodPost, agenttest.LongTimeout)
			done := startAttempt(attempt)
			<-dialling
			attempt.Cancel(c.cause)
			if got := <-done; got.Status != c.want {
				t.Fatalf("got status %d, want %d", got.Status, c.want)
			}
			<-ended
		})
	}
}

func TestAttemptWithdrawnDuringDialSendsNothing(t *testing.T) {
	addr, read := agenttest.ByteCountingBackend(t)
	pool := newTestPool()
	var attempt *Attempt
	dial := pool.DialContext
	pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if !attempt.withdraw() {
			t.Error("got an attempt that can't be withdrawn, want it withdrawn before its first byte")
		}
		return conn, err
	}
	attempt = newTestAttempt(pool.NewConns(addr), http.MethodPost, agenttest.LongTimeout)
	if got := attempt.Run(); !got.Status.NeverRan() || !errors.Is(got.Err, ErrWithdrawn) {
		t.Fatalf("got status %d (%v), want one that never ran, for %v", got.Status, got.Err, ErrWithdrawn)
	}
	if n := <-read; n != 0 {
		t.Fatalf("got %d bytes at the backend, want 0", n)
	}
}

// An attempt does not begin after BeginBy, even if its connection is open.
func TestAttemptBeginsOnlyUntilBeginBy(t *testing.T) {
	addr, read := agenttest.ByteCountingBackend(t)
	pool := newTestPool()
	dial := pool.DialContext
	late := newTestAttempt(pool.NewConns(addr), http.MethodPost, agenttest.LongTimeout)
	late.BeginBy = time.Now().Add(agenttest.LongTimeout)
	pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		late.BeginBy = time.Now().Add(-time.Nanosecond) // simulates a dial that ends after BeginBy
		return conn, err
	}
	if got := late.Run(); got.Status != policy.StatusNotSent || !errors.Is(got.Err, ErrTooLate) {
		t.Fatalf("got status %d (%v), want %d (%v)", got.Status, got.Err, policy.StatusNotSent, ErrTooLate)
	}
	if n := <-read; n != 0 {
		t.Fatalf("got %d bytes at the backend, want 0", n)
	}
	pool.DialContext = dial
	inTime := newTestAttempt(pool.NewConns(addr), http.MethodPost, agenttest.LongTimeout)
	inTime.BeginBy = time.Now().Add(agenttest.LongTimeout)
	done := startAttempt(inTime)
	agenttest.Eventually(t, "the attempt in time has begun", func() bool { return inTime.stage.Load() == attemptSending })
	inTime.Cancel(ErrCancelled)
	<-done
	<-read
}

// An attempt does not begin after its deadline, even if its connection is open.
func TestAttemptDoesNotBeginPastDeadline(t *testing.T) {
	conn := agenttest.NewScriptedConn(agenttest.OKResponse)
	pool := newTestPool()
	attempt := newTestAttempt(pool.NewConns(unusedAddr), http.MethodPost, time.Nanosecond)
	pool.DialContext = func(context.Context, string, string) (net.Conn, error) {
		<-attempt.ctx.Done()
		return conn, nil
	}
	if got := attempt.Run(); got.Status != policy.StatusNotSent || conn.Written.Len() > 0 || !conn.Closed {
		t.Errorf("got status %d, %d bytes written, closed %v, want %d, 0 and true",
			got.Status, conn.Written.Len(), conn.Closed, policy.StatusNotSent)
	}
}

// A panic in an attempt does not end the process. The status is a reset, as the request may have
// run.
func TestAttemptPanicIsReset(t *testing.T) {
	pool := newTestPool()
	pool.DialContext = func(context.Context, string, string) (net.Conn, error) { panic("boom") }
	if got := runAttempt(pool.NewConns(unusedAddr)); got.Status != policy.StatusReset || got.Panic == nil {
		t.Fatalf("got status %d, panic %v, want %d and the panic", got.Status, got.Panic, policy.StatusReset)
	}
	if pool.open != 0 {
		t.Errorf("got %d connections counted as open, want 0", pool.open)
	}
}
