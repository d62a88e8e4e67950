package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// A connect that fails has its status by the kind of the error.
func TestOutcomesOfFailedConnects(t *testing.T) {
	for errno, want := range map[syscall.Errno]policy.Status{
		syscall.ENFILE: policy.StatusLocalFailure, syscall.EADDRNOTAVAIL: policy.StatusLocalFailure,
		syscall.EAGAIN: policy.StatusLocalFailure, syscall.EINTR: policy.StatusLocalFailure,
		syscall.ENETUNREACH: policy.StatusUnreachable, syscall.EHOSTUNREACH: policy.StatusUnreachable,
		syscall.ECONNREFUSED: policy.StatusConnectFailed, syscall.ETIMEDOUT: policy.StatusConnectFailed,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			pool := testPool()
			pool.DialContext = (&agenttest.FailingDialer{Errno: errno, Failures: 1}).DialContext
			if got := newAttempt(pool.NewConns("127.0.0.1:1"), http.MethodPost, agenttest.Never).Run().Status; got != want {
				t.Errorf("%v: ended %d, want %d", errno, got, want)
			}
			if pool.open != 0 {
				t.Errorf("%v: %d connections counted as open", errno, pool.open)
			}
		})
	}
}

// An extra connection that this machine could not open says nothing of its backend.
func TestExtraConnectionThatThisMachineCouldNotOpen(t *testing.T) {
	pool := testPool()
	pool.settings.IdleTimeout = agenttest.Never
	pool.DialContext = (&agenttest.FailingDialer{Errno: syscall.ENFILE, Failures: 1}).DialContext
	backend := pool.NewConns("127.0.0.1:1")
	backend.openExtra(context.Background(), nil, nil)
	if wait := time.Until(backend.noExtra); wait > time.Second {
		t.Errorf("none is opened for %v", wait)
	}
	pool.DialContext = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	if backend.openExtra(context.Background(), nil, nil); time.Until(backend.noExtra) < time.Minute {
		t.Error("one that the backend refused is tried again at once")
	}
}
