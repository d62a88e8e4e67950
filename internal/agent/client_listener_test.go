package agent

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// failingListener fails a number of accepts with an error before it accepts.
type failingListener struct {
	net.Listener
	errno syscall.Errno
	left  *atomic.Int32
}

func (l failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
	}
	return l.Listener.Accept()
}

// acceptErrnos are errors of accept that say nothing against the listener.
var acceptErrnos = []syscall.Errno{
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.EPERM, syscall.ENFILE, syscall.EMFILE, syscall.ETIMEDOUT,
	syscall.EINTR, syscall.ECONNABORTED, syscall.EAGAIN, syscall.EINVAL,
}

// However accept fails and however often, the agent serves the next connection.
func TestFailedAcceptsEndNothing(t *testing.T) {
	addr, _ := counted(t, 200, false)
	for _, errno := range acceptErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			left := &atomic.Int32{}
			left.Store(8)
			_, base, _, ended := startOn(t, agenttest.Config(nowhere, addr), func(ln net.Listener) net.Listener {
				return failingListener{ln, errno, left}
			})
			conn := dial(t, base)
			io.WriteString(conn, raw("order", "accepted"+errno.Error()[:2]+time.Now().Format("150405.000000")))
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("got %v, %v", resp, err)
			}
			select {
			case err := <-ended:
				t.Fatalf("the agent ended: %v", err)
			default:
			}
		})
	}
}

// countingHandler counts the lines logged.
type countingHandler struct {
	slog.Handler
	lines *atomic.Int32
}

func (h countingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h countingHandler) Handle(context.Context, slog.Record) error {
	h.lines.Add(1)
	return nil
}

// The pause after a failed accept is 5 to 20 ms however often it fails, and many failures in a row
// are logged in one line.
func TestFailedAcceptsAreRetriedSoon(t *testing.T) {
	ln, left, lines := listen(t), &atomic.Int32{}, &atomic.Int32{}
	left.Store(100)
	listener := newClientListener(failingListener{ln, syscall.ENOBUFS, left}, newClientTable(1, 1),
		slog.New(countingHandler{slog.DiscardHandler, lines}))
	waits := 0
	now := make(chan time.Time)
	close(now)
	listener.after = func(d time.Duration) <-chan time.Time {
		if waits++; d < 5*time.Millisecond || d > 20*time.Millisecond {
			t.Errorf("waits for %v", d)
		}
		listener.logged = time.Now().Add(time.Hour) // a slow machine makes no second line
		return now
	}
	dial(t, ln.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if waits != 100 || listener.failures != 100 || lines.Load() != 1 {
		t.Fatalf("%d waits, %d failures counted, %d lines", waits, listener.failures, lines.Load())
	}
}

// Close ends the pause after a failed accept at once.
func TestClosedWhileAcceptWaits(t *testing.T) {
	left := &atomic.Int32{}
	left.Store(1000)
	listener := newClientListener(failingListener{listen(t), syscall.EMFILE, left}, newClientTable(1, 1), slog.New(slog.DiscardHandler))
	waiting := make(chan struct{}, 1)
	listener.after = func(time.Duration) <-chan time.Time {
		waiting <- struct{}{}
		return nil // never over
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
			t.Fatalf("ended with %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("waits on after its close")
	}
}

// Listen is retried while a resource of this machine is exhausted. It fails at once for a permanent
// fault, after a bounded number of retries, and when its context ends.
func TestListenIsTriedAgain(t *testing.T) {
	now := make(chan time.Time)
	close(now)
	soon := func(time.Duration) <-chan time.Time { return now }
	failing := func(errno syscall.Errno, times int) (open func() (net.Listener, error), tries *int) {
		tries = new(int)
		return func() (net.Listener, error) {
			if *tries++; *tries <= times {
				return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", errno)}
			}
			return failingListener{}, nil
		}, tries
	}
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run("for a moment: "+errno.Error(), func(t *testing.T) {
			open, tries := failing(errno, 8)
			if ln, err := listenWith(t.Context(), open, soon); ln == nil || err != nil || *tries != 9 {
				t.Errorf("%v after %d tries", err, *tries)
			}
		})
		t.Run("for good: "+errno.Error(), func(t *testing.T) {
			open, tries := failing(errno, 1<<30)
			if _, err := listenWith(t.Context(), open, soon); !errors.Is(err, errno) || *tries > 500 {
				t.Errorf("%v after %d tries", err, *tries)
			}
		})
	}
	for _, errno := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EACCES} {
		t.Run("permanent: "+errno.Error(), func(t *testing.T) {
			open, tries := failing(errno, 1)
			if _, err := listenWith(t.Context(), open, soon); !errors.Is(err, errno) || *tries != 1 {
				t.Errorf("%v after %d tries", err, *tries)
			}
		})
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	open, tries := failing(syscall.ENFILE, 8)
	if _, err := listenWith(ctx, open, func(time.Duration) <-chan time.Time { return nil }); err == nil || *tries != 1 {
		t.Errorf("told to end: %v after %d tries", err, *tries)
	}
}

// The shutdown and the http server both close the listener, in either order.
func TestListenerClosesTwice(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &clientListener{Listener: ln, table: newClientTable(1, 1)}
	for range 2 {
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := listener.Accept(); err == nil {
		t.Fatal("a closed listener accepts")
	}
}
