package agent

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/socket"
	"ploverreel/policy"
)

// clientOf gives a request a client of its own, whose leaving is not reported to the loop.
func clientOf(t *testing.T, r *request) net.Conn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client := dial(t, "http://"+ln.Addr().String())
	if r.client, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.client.Close() })
	return client
}

// Whatever an attempt waited for, it looks for its client last of all before the first byte:
// nothing goes out for one that has left meanwhile, though that was not reported.
func TestAttemptLooksForItsClientLast(t *testing.T) {
	for _, waits := range []string{"connect", "rest", "extra connection"} {
		for how, leave := range leavings {
			t.Run(waits+" "+how, func(t *testing.T) {
				a := newAttempt(nil, http.MethodPost, agenttest.NoAnswerTimeout)
				client := clientOf(t, a.request)
				gone := func() {
					leave(client)
					agenttest.Eventually(t, "the leaving at the agent's socket", func() bool { return socket.PeerClosed(a.request.client) })
				}
				var backend *backendConns
				var rested chan time.Time
				var got chan int64
				switch waits {
				case "connect":
					var addr string
					addr, got = byteCounter(t)
					backend = testPool().newBackendConns(addr)
					plain := backend.pool.connect
					backend.pool.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
						gone()
						return plain(ctx, network, addr)
					}
				default:
					var conns *connections
					backend, conns, rested = restingPool(t)
					backend.served(t)
					backend.rests()
					backend.pool.allowExtra = waits == "extra connection"
					conns.held = make(chan struct{})
					go func() {
						if backend.pool.allowExtra {
							agenttest.Eventually(t, "the extra connect", func() bool { return conns.begun.Load() == 2 })
							gone()
							close(conns.held)
							return
						}
						gone()
						rested <- time.Now()
					}()
				}
				a.conns = backend
				if res := a.run(); res.status != policy.StatusNotSent || !a.withdraw() {
					t.Fatalf("ended %d, want never begun", res.status)
				}
				if waits == "connect" {
					if n := <-got; n != 0 {
						t.Errorf("the backend got %d bytes", n)
					}
				}
			})
		}
	}
}
