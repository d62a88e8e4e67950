package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// isUsable reports whether attempts may be sent to a backend.
func (l *loop) isUsable(name string) bool {
	backend := l.backends[endpointlist.AddressOf(name)]
	return backend != nil && backend.usable
}

// checkUsable checks which of the backends s-0 and s-1 attempts may be sent to.
func checkUsable(t *testing.T, l *loop, when string, want0, want1 bool) {
	t.Helper()
	if got0, got1 := l.isUsable("s-0"), l.isUsable("s-1"); got0 != want0 || got1 != want1 {
		t.Fatalf("%s: got s-0 usable %v, s-1 usable %v; want %v, %v", when, got0, got1, want0, want1)
	}
}

// Endpoint lists are applied in the order of their versions, whether they were watched or fetched.
func TestEndpointListsApplyInOrderOfVersions(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:1", "127.0.0.1:2")
	endpoint := endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:1", Health: "draining"}
	l.handle(watchEvent{list: newList(5, false, endpoint)})
	checkUsable(t, l, "after the change of version 5", false, true)
	endpoint.Health = "ready"
	l.handle(watchEvent{list: newList(4, false, endpoint)})
	l.handle(endpointsFetched{list: newList(3, true, endpoint)})
	checkUsable(t, l, "after older versions", false, true)
	l.handle(endpointsFetched{list: newList(6, true, endpoint)})
	checkUsable(t, l, "after the whole list of version 6", true, false)
	if l.watch.listVersion != 6 {
		t.Fatalf("got current version %d, want 6", l.watch.listVersion)
	}
	if len(l.backends) != 1 {
		t.Fatalf("got %d backends, want the one that is listed", len(l.backends))
	}
	l.handle(watchEvent{list: newList(7, false, endpointlist.Host{Host: "s-0", Health: "gone"})})
	if len(l.backends) != 0 {
		t.Fatalf("got %d backends after the only one is gone, want 0", len(l.backends))
	}
	if l.ready.isReady.Load() {
		t.Fatal("got the agent ready after its only backend is gone, want it not ready")
	}
}

// A backend with a new process or address gets new connections and keeps its entry in the loop.
func TestListedBackendReconnectsToNewProcess(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:1")
	target := l.backends[endpointlist.AddressOf("s-0")]
	previous := target.conns
	endpoint := endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:1", Health: "ready", Share: 1}
	l.handle(watchEvent{list: newList(2, false, endpoint)})
	if target.conns != previous {
		t.Fatal("got new connections to the same process, want the previous ones")
	}
	waiting := newTestAttempt(target)
	for i, change := range []struct {
		name  string
		apply func()
	}{
		{"another address", func() { endpoint.Dial = "127.0.0.1:2" }},
		{"another start", func() { endpoint.BornMs = 7 }},
	} {
		change.apply()
		l.handle(watchEvent{list: newList(int64(3+i), false, endpoint)})
		if l.backends[endpointlist.AddressOf("s-0")] != target {
			t.Fatalf("%s: got another backend, want the same", change.name)
		}
		if target.conns == previous || target.conns.Addr() != endpoint.Dial {
			t.Fatalf("%s: got the previous connections or ones to %s, want new ones to %s", change.name, target.conns.Addr(), endpoint.Dial)
		}
		previous = target.conns
	}
	if got := waiting.Run(); got.Status != policy.StatusRejected { // withdrawn, as its backend drains
		t.Fatalf("got status %d for an attempt that had not begun on the previous address, want %d", got.Status, policy.StatusRejected)
	}
}

// A backend that starts to drain during a connect to it receives nothing, and the request is sent
// to another backend.
func TestRequestIsReroutedIfBackendDrainsDuringConnect(t *testing.T) {
	ready, received := agenttest.IDBackend(t, 200, false)
	agent, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, "127.0.0.1:1"))
	connecting := make(chan struct{})
	connect := agent.loop.pool.DialContext
	agent.loop.pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == ready {
			return connect(ctx, network, addr)
		}
		close(connecting)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	status := doAsync(t, newClientRequest(base, "order"))
	<-connecting
	draining := readyHost(0, "127.0.0.1:1")
	draining.Health = "draining"
	agent.loop.post(watchEvent{list: newList(2, false, draining, readyHost(1, ready))})
	if got := <-status; got != 200 {
		t.Fatalf("got status %d, want 200", got)
	}
	<-received
}

// The module is notified that a watch has ended and opens the next one, in both membership modes:
// an agent on a network is notified of a drain only by a watch.
func TestLoopOpensWatchAgain(t *testing.T) {
	for _, mode := range []string{policy.MembershipPushed, policy.MembershipOnRequest} {
		t.Run(mode, func(t *testing.T) {
			calls := make(chan string, 10)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls <- r.URL.RawQuery
				fmt.Fprintln(w, agenttest.EndpointChange)
			}))
			t.Cleanup(server.Close)
			conf := agenttest.Config(server.Listener.Addr().String(), "127.0.0.1:1")
			agenttest.Set(conf, mode, "settings", "membershipMode")
			agenttest.Set(conf, 10, "settings", "contract", "askWithinMs")
			startAgent(t, conf)
			for _, want := range []string{"follow=1&since=1", "follow=1&since=2"} {
				if got := agenttest.Receive(t, calls, "the call "+want); got != want {
					t.Fatalf("got call %q, want %q", got, want)
				}
			}
		})
	}
}
