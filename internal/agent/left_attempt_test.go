package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ploverreel/policy"
)

// clientOf gives a request a client of its own, whose leaving nobody tells.
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
// nothing goes out for one that has left meanwhile, though nobody has told of that.
func TestAttemptLooksForItsClientLast(t *testing.T) {
	for _, waits := range []string{"connect", "rest", "extra connection"} {
		for how, leave := range leavings {
			t.Run(waits+" "+how, func(t *testing.T) {
				a := newAttempt(nil, http.MethodPost, noAnswer)
				client := clientOf(t, a.request)
				gone := func() {
					leave(client)
					eventually(t, "the leaving at the agent's socket", func() bool { return peerClosed(a.request.client) })
				}
				var g *backendConns
				var rested chan time.Time
				got := make(chan int64, 1)
				switch waits {
				case "connect":
					g = testPool().newBackendConns(rawBackend(t, func(c net.Conn, r *bufio.Reader) {
						n, _ := io.Copy(io.Discard, r)
						got <- n
					}))
					plain := g.pool.connect
					g.pool.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
						gone()
						return plain(ctx, network, addr)
					}
				default:
					var conns *connections
					g, conns, rested = restingPool(t)
					g.served(t)
					g.rests()
					g.pool.allowExtra = waits == "extra connection"
					conns.held = make(chan struct{})
					go func() {
						if g.pool.allowExtra {
							eventually(t, "the extra connect", func() bool { return conns.begun.Load() == 2 })
							gone()
							close(conns.held)
							return
						}
						gone()
						rested <- time.Now()
					}()
				}
				a.conns = g
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
