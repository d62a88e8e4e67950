package agent

import (
	"net/http"
	"sync"
	"syscall"
	"testing"

	"ploverreel/internal/agenttest"
)

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
			dialer := &agenttest.FailingDialer{Errno: errno, Failures: failures}
			a.look(func(l *loop) { l.pool.DialContext = dialer.DialContext })
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
			if n := dialer.Calls.Load(); n > failures+requests {
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

// A price of the settings keeps the agent from opening extra connections.
func TestExtraConnectionsFollowThePrice(t *testing.T) {
	for key, want := range map[string]bool{"": true, "handshake": false, "connection": false} {
		conf := agenttest.Config(nowhere)
		conf["settings"].(map[string]any)["prices"] = map[string]any{key: 0.01}
		a, _, _, _ := start(t, conf)
		if got := a.loop.pool.Settings().ExtraConns; got != want {
			t.Errorf("price of %q: extra connections %v", key, got)
		}
	}
}
