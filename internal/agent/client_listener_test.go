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
)

// failingListener fails with an error some times before each accept.
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

// acceptErrnos are those in which accept may fail with nothing wrong with the listener.
var acceptErrnos = []syscall.Errno{
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.EPERM, syscall.ENFILE, syscall.EMFILE, syscall.ETIMEDOUT,
	syscall.EINTR, syscall.ECONNABORTED, syscall.EAGAIN, syscall.EINVAL,
}

// However accept fails and however often, the agent goes on and serves what comes next.
func TestFailedAcceptsEndNothing(t *testing.T) {
	addr, _ := counted(t, 200, false)
	for _, errno := range acceptErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			left := &atomic.Int32{}
			left.Store(8)
			_, base, _, ended := startOn(t, config(nowhere, addr), func(ln net.Listener) net.Listener {
				return failingListener{ln, errno, left}
			})
			c := dial(t, base)
			io.WriteString(c, raw("order", "accepted"+errno.Error()[:2]+time.Now().Format("150405.000000")))
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
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

// countingHandler counts the lines that are logged.
type countingHandler struct {
	slog.Handler
	lines *atomic.Int32
}

func (h countingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h countingHandler) Handle(context.Context, slog.Record) error {
	h.lines.Add(1)
	return nil
}

// A failed accept is waited after for 5 to 20 ms however often it fails, and a storm of them
// is logged in one line.
func TestFailedAcceptsAreRetriedSoon(t *testing.T) {
	ln, left, lines := listen(t), &atomic.Int32{}, &atomic.Int32{}
	left.Store(100)
	l := newClientListener(failingListener{ln, syscall.ENOBUFS, left}, newClientTable(1, 1),
		slog.New(countingHandler{slog.DiscardHandler, lines}))
	waits := 0
	now := make(chan time.Time)
	close(now)
	l.after = func(d time.Duration) <-chan time.Time {
		if waits++; d < 5*time.Millisecond || d > 20*time.Millisecond {
			t.Errorf("waits for %v", d)
		}
		l.logged = time.Now().Add(time.Hour) // a slow machine makes no second line
		return now
	}
	dial(t, ln.Addr().String())
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if waits != 100 || l.failures != 100 || lines.Load() != 1 {
		t.Fatalf("%d waits, %d failures counted, %d lines", waits, l.failures, lines.Load())
	}
}

// A listener that is closed during the wait after a failure ends at once.
func TestClosedWhileAcceptWaits(t *testing.T) {
	left := &atomic.Int32{}
	left.Store(1000)
	l := newClientListener(failingListener{listen(t), syscall.EMFILE, left}, newClientTable(1, 1), slog.New(slog.DiscardHandler))
	waiting := make(chan struct{}, 1)
	l.after = func(time.Duration) <-chan time.Time {
		waiting <- struct{}{}
		return nil // never over
	}
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	<-waiting
	l.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Fatalf("ended with %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("waits on after its close")
	}
}

// A start goes on where the machine had no room for its listener for a moment, and ends soon where
// it can't listen, or is told to end.
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
		open, tries := failing(errno, 8)
		if ln, err := listenWith(t.Context(), open, soon); ln == nil || err != nil || *tries != 9 {
			t.Errorf("%v: %v after %d tries", errno, err, *tries)
		}
		open, tries = failing(errno, 1<<30)
		if _, err := listenWith(t.Context(), open, soon); !errors.Is(err, errno) || *tries > 500 {
			t.Errorf("%v for good: %v after %d tries", errno, err, *tries)
		}
	}
	for _, errno := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EACCES} {
		open, tries := failing(errno, 1)
		if _, err := listenWith(t.Context(), open, soon); !errors.Is(err, errno) || *tries != 1 {
			t.Errorf("%v: %v after %d tries", errno, err, *tries)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	open, tries := failing(syscall.ENFILE, 8)
	if _, err := listenWith(ctx, open, func(time.Duration) <-chan time.Time { return nil }); err == nil || *tries != 1 {
		t.Errorf("told to end: %v after %d tries", err, *tries)
	}
}
