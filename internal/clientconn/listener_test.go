package clientconn

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// logTo returns a logger that writes text lines without their time.
func logTo(lines *strings.Builder) *slog.Logger {
	return slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{ReplaceAttr: func(_ []string, attr slog.Attr) slog.Attr {
		if attr.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return attr
	}}))
}

// failing returns a listener whose first accepts fail with errno, as many as failures says.
func failing(t *testing.T, errno syscall.Errno, failures int32) agenttest.FailingListener {
	t.Helper()
	left := &atomic.Int32{}
	left.Store(failures)
	return agenttest.FailingListener{Listener: listen(t), Errno: errno, RemainingFailures: left}
}

// The delay after a failed accept is 5 to 20 ms, however often accept fails. Many failures in a row
// are logged in one line.
func TestListenerRetriesFailedAcceptsSoon(t *testing.T) {
	ln, lines := failing(t, syscall.ENOBUFS, 100), &strings.Builder{}
	listener := NewListener(ln, NewTable(1, 1), logTo(lines))
	waits := 0
	now := make(chan time.Time)
	close(now)
	listener.after = func(delay time.Duration) <-chan time.Time {
		if waits++; delay < 5*time.Millisecond || delay > 20*time.Millisecond {
			t.Errorf("got a delay of %v, want 5 to 20 ms", delay)
		}
		listener.lastLogged = time.Now().Add(time.Hour) // prevents a second line on a slow machine
		return now
	}
	agenttest.Dial(t, ln.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if waits != 100 || listener.failures != 100 {
		t.Fatalf("got %d delays, %d failures counted; want 100 of each", waits, listener.failures)
	}
	const want = `level=WARN msg="accept failed, retrying" err="accept tcp: accept4: no buffer space available" failures=1` + "\n"
	if got := lines.String(); got != want {
		t.Errorf("got log %q, want %q", got, want)
	}
}

// Close ends the delay after a failed accept at once.
func TestListenerCloseEndsAcceptRetry(t *testing.T) {
	listener := NewListener(failing(t, syscall.EMFILE, 1000), NewTable(1, 1), slog.New(slog.DiscardHandler))
	waiting := make(chan struct{}, 1)
	listener.after = func(time.Duration) <-chan time.Time {
		waiting <- struct{}{}
		return nil // the delay never ends
	}
	ended := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		ended <- err
	}()
	<-waiting
	listener.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Fatalf("got %v, want %v", err, net.ErrClosed)
		}
	case <-time.After(agenttest.WaitTimeout):
		t.Fatal("got no end of Accept after Close, want one at once")
	}
}

// failingOpen returns a function that fails the given number of times before it opens a listener,
// and the counter of its calls.
func failingOpen(errno syscall.Errno, failures int) (open func() (net.Listener, error), tries *int) {
	tries = new(int)
	return func() (net.Listener, error) {
		if *tries++; *tries <= failures {
			return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", errno)}
		}
		return agenttest.FailingListener{}, nil
	}, tries
}

// Listen retries while a resource of this machine is exhausted. It fails at once for a permanent
// fault, after a limited number of retries, and when its context ends.
func TestListenRetriesExhaustedResource(t *testing.T) {
	now := make(chan time.Time)
	close(now)
	soon := func(time.Duration) <-chan time.Time { return now }
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run("for a moment: "+errno.Error(), func(t *testing.T) {
			open, tries := failingOpen(errno, 8)
			if ln, err := listenWith(t.Context(), open, soon); ln == nil || err != nil || *tries != 9 {
				t.Errorf("got listener %v, %v after %d tries; want one after 9", ln, err, *tries)
			}
		})
		t.Run("for good: "+errno.Error(), func(t *testing.T) {
			open, tries := failingOpen(errno, 1<<30)
			if _, err := listenWith(t.Context(), open, soon); !errors.Is(err, errno) || *tries > 500 {
				t.Errorf("got %v after %d tries, want %v after 500 at most", err, *tries, errno)
			}
		})
	}
	for _, errno := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EACCES} {
		t.Run("permanent: "+errno.Error(), func(t *testing.T) {
			open, tries := failingOpen(errno, 1)
			if _, err := listenWith(t.Context(), open, soon); !errors.Is(err, errno) || *tries != 1 {
				t.Errorf("got %v after %d tries, want %v after 1", err, *tries, errno)
			}
		})
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	open, tries := failingOpen(syscall.ENFILE, 8)
	if _, err := listenWith(ctx, open, func(time.Duration) <-chan time.Time { return nil }); err == nil || *tries != 1 {
		t.Errorf("context ended: got %v after %d tries, want an error after 1", err, *tries)
	}
}

// The shutdown and the HTTP server both close the listener, in either order.
func TestListenerClosesTwiceWithoutError(t *testing.T) {
	listener := NewListener(listen(t), NewTable(1, 1), slog.New(slog.DiscardHandler))
	for range 2 {
		if err := listener.Close(); err != nil {
			t.Fatalf("got %v, want no error", err)
		}
	}
	if _, err := listener.Accept(); err == nil {
		t.Fatal("got a connection from a closed listener, want an error")
	}
}

// A connection that gets no slot in time is closed. The next connection is still accepted.
func TestListenerClosesConnectionWithoutSlot(t *testing.T) {
	table, ln, now := NewTable(1, 1), listen(t), time.Now()
	table.SetTimeouts(defaultSilentGrace, 0)
	active := &Conn{stage: stageActive, stageSince: now}
	add(t, table, active, now)
	listener := NewListener(ln, table, slog.New(slog.DiscardHandler))
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			t.Errorf("got %v, want a connection", err)
		}
		accepted <- conn
	}()
	if got := agenttest.ReadToEnd(t, agenttest.Dial(t, ln.Addr().String())); got != "" {
		t.Errorf("got %q, want the connection closed without a response", got)
	}
	active.Close()
	next := agenttest.Dial(t, ln.Addr().String())
	conn := agenttest.Receive(t, accepted, "the next connection")
	if conn.RemoteAddr().String() != next.LocalAddr().String() {
		t.Errorf("got connection of %v, want that of %v", conn.RemoteAddr(), next.LocalAddr())
	}
	if got := table.Count(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
	conn.Close()
}
