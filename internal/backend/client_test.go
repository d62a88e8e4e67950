package backend

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

// socketClient is a Client that has left when its connection says so.
type socketClient struct{ conn net.Conn }

func (c socketClient) HasLeft() bool { return socket.PeerClosed(c.conn) }

// clientOf gives a request a client of its own.
func clientOf(t *testing.T, r *Request) (theirs, ours net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if theirs, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { theirs.Close() })
	if ours, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ours.Close() })
	r.Client = socketClient{ours}
	return theirs, ours
}

// Whatever an attempt waited for, it looks for its client last of all before the first byte:
// nothing goes out for one that has left meanwhile, though that was not reported.
func TestAttemptLooksForItsClientLast(t *testing.T) {
	for _, waits := range []string{"connect", "rest", "extra connection"} {
		for how, leave := range agenttest.Disconnects {
			t.Run(waits+" "+how, func(t *testing.T) {
				a := newAttempt(nil, http.MethodPost, agenttest.NoAnswerTimeout)
				theirs, ours := clientOf(t, a.request)
				gone := func() {
					leave(theirs)
					agenttest.Eventually(t, "the leaving at the agent's socket", func() bool { return socket.PeerClosed(ours) })
				}
				var backend *Conns
				var rested chan time.Time
				var got <-chan int64
				switch waits {
				case "connect":
					var addr string
					addr, got = agenttest.ByteCounter(t)
					backend = testPool().NewConns(addr)
					plain := backend.pool.DialContext
					backend.pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
						gone()
						return plain(ctx, network, addr)
					}
				default:
					var conns *connections
					backend, conns, rested = restingPool(t)
					backend.served(t)
					backend.rests()
					backend.pool.settings.ExtraConns = waits == "extra connection"
					conns.held = make(chan struct{})
					go func() {
						if backend.pool.settings.ExtraConns {
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
				if res := a.Run(); res.Status != policy.StatusNotSent || !a.withdraw() {
					t.Fatalf("ended %d, want never begun", res.Status)
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
