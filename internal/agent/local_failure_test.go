package agent

import (
	"net/http"
	"sync"
	"syscall"
	"testing"

	"ploverreel/internal/agenttest"
)

// While this machine can't open connections, requests of all classes wait until it can. There are
// few connects in that time, and no backend is treated as failing.
func TestRequestsSurviveLocalFailures(t *testing.T) {
	const requests, failures = 20, 30
	for _, errno := range []syscall.Errno{
		syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
		syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			var addrs []string
			for range 4 {
				addr, _ := agenttest.IDBackend(t, http.StatusOK, false)
				addrs = append(addrs, addr)
			}
			agent, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addrs...))
			dialer := &agenttest.FailingDialer{Errno: errno, Failures: failures}
			agent.inspect(func(l *loop) { l.pool.DialContext = dialer.DialContext })
			var answered sync.WaitGroup
			for i := range requests {
				answered.Add(1)
				go func() {
					defer answered.Done()
					class := []string{"look", "send", "order"}[i%3]
					resp, err := http.DefaultTransport.RoundTrip(newClientRequest(base, class))
					if err != nil {
						t.Errorf("%s: got error %v, want an answer", class, err)
						return
					}
					resp.Body.Close()
					if resp.StatusCode != http.StatusOK {
						t.Errorf("%s: got %d, want %d", class, resp.StatusCode, http.StatusOK)
					}
				}()
			}
			answered.Wait()
			// Each request needs at most one connect besides those that fail.
			if got := dialer.Calls.Load(); got > failures+requests {
				t.Errorf("got %d connects, want at most %d", got, failures+requests)
			}
			agent.inspect(func(l *loop) {
				for rank, tier := range l.balancer.Snapshot(l.nowMs()).Tiers {
					if rank > 0 && tier.Endpoints > 0 {
						t.Errorf("got %d endpoints in tier %d, want all in tier 0", tier.Endpoints, rank)
					}
				}
			})
		})
	}
}
