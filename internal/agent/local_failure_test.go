package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// failingConnects lets the first connects fail with an error.
type failingConnects struct {
	errno syscall.Errno
	fail  int32 // how many of them
	begun atomic.Int32
}

func (f *failingConnects) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	if f.begun.Add(1) <= f.fail {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", f.errno)}
	}
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}

// While no connection can be opened on this machine, requests of all classes wait for the end of
// that, and the connects in that time are few.
func TestRequestsOutlastFailingSockets(t *testing.T) {
	const requests, failures = 20, 30
	for _, errno := range []syscall.Errno{
		syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
		syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			var addrs []string
			for range 4 {
				addr, _ := counted(t, 200, false)
				addrs = append(addrs, addr)
			}
			a, base, _, _ := start(t, agenttest.Config(nowhere, addrs...))
			connects := &failingConnects{errno: errno, fail: failures}
			a.look(func(l *loop) { l.pool.connect = connects.connect })
			var answered sync.WaitGroup
			for i := range requests {
				answered.Add(1)
				go func() {
					defer answered.Done()
					class := []string{"look", "send", "order"}[i%3]
					resp, err := http.DefaultTransport.RoundTrip(call(base, class))
					if err != nil {
						t.Errorf("%s: no answer: %v", class, err)
						return
					}
					resp.Body.Close()
					if resp.StatusCode != http.StatusOK {
						t.Errorf("%s: answered %d", class, resp.StatusCode)
					}
				}()
			}
			answered.Wait()
			// Each request needs one connect at most, and those that failed were let to.
			if n := connects.begun.Load(); n > failures+requests {
				t.Errorf("%d connects", n)
			}
			a.look(func(l *loop) {
				for tier, s := range l.balancer.Snapshot(l.nowMs()).Tiers {
					if tier > 0 && s.Endpoints > 0 {
						t.Errorf("%d servers were demoted to tier %d", s.Endpoints, tier)
					}
				}
			})
		})
	}
}

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
			pool.connect = (&failingConnects{errno: errno, fail: 1}).connect
			if got := newAttempt(pool.newBackendConns("127.0.0.1:1"), http.MethodPost, agenttest.Never).run().status; got != want {
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
	pool.idleTimeout = agenttest.Never
	pool.connect = (&failingConnects{errno: syscall.ENFILE, fail: 1}).connect
	backend := pool.newBackendConns("127.0.0.1:1")
	backend.openExtra(context.Background(), nil, nil)
	if wait := time.Until(backend.noExtra); wait > time.Second {
		t.Errorf("none is opened for %v", wait)
	}
	pool.connect = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	if backend.openExtra(context.Background(), nil, nil); time.Until(backend.noExtra) < time.Minute {
		t.Error("one that the backend refused is tried again at once")
	}
}
