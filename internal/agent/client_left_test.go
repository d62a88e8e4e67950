package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// leavings are the ways in which a client can leave.
var leavings = map[string]func(c net.Conn){
	"close": func(c net.Conn) { c.Close() },
	"reset": func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	"close behind bytes": func(c net.Conn) {
		io.WriteString(c, raw("look", "other"))
		c.Close()
	},
	"reset behind bytes": func(c net.Conn) {
		io.WriteString(c, raw("look", "other"))
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	"end of its sending": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
}

// busy has the loop do see, and nothing else as long as it takes, after all that was posted
// so far. It returns when that is posted.
func (a *Agent) busy(see func(l *loop)) {
	a.log.Handler().(looker).see <- func() { see(a.loop) }
	a.loop.post(input{kind: inputFetched, err: io.EOF})
}

// next takes the first input of the kind out of the queue of a loop that is busy, and hands
// back what came before it.
func (a *Agent) next(t *testing.T, kind inputKind) (found input) {
	t.Helper()
	var others []input
	eventually(t, "in the queue", func() bool {
		select {
		case found = <-a.loop.inputs:
			if found.kind == kind {
				return true
			}
			others = append(others, found)
		default:
		}
		return false
	})
	for _, in := range others {
		a.loop.post(in)
	}
	return found
}

// Where the loop is busy, what is in its queue is handled in its order: the request, the end
// of its attempt or what makes room for it, before the word that its client has left. No
// attempt is made then.
func TestNothingIsSentForWhoLeftTheQueue(t *testing.T) {
	for _, waits := range []string{"first", "further", "room"} {
		for how, leave := range leavings {
			t.Run(waits+" "+how, func(t *testing.T) {
				good, came := counted(t, 200, false)
				asked, turn := make(chan struct{}), make(chan struct{})
				turns := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
					if _, err := readRequest(r); err == nil {
						close(asked)
						<-turn
						io.WriteString(c, "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
					}
				})
				a, base, _, _ := start(t, config(nowhere))
				occupied, release := make(chan struct{}), make(chan struct{})
				occupy := func() {
					a.busy(func(*loop) { close(occupied); <-release })
					<-occupied
				}
				c := dial(t, base)
				var r *request
				switch waits {
				case "first":
					a.told(2, readyHost(9, good))
					occupy()
					io.WriteString(c, raw("order", "left"))
					in := a.next(t, inputRequest)
					r = in.request
					a.loop.post(in)
				case "further":
					a.told(2, readyHost(1, turns))
					io.WriteString(c, raw("order", "left"))
					<-asked
					a.told(3, readyHost(1, turns), readyHost(9, good))
					occupy()
					close(turn)
					in := a.next(t, inputOutcome)
					r = in.attempt.request
					a.loop.post(in)
				case "room":
					io.WriteString(c, raw("order", "left"))
					eventually(t, "its request taken", func() bool { return a.holds("left") })
					a.look(func(l *loop) {
						for _, r = range l.requests {
						}
					})
					occupy()
					a.loop.post(input{kind: inputWatchEvent, list: listOf(3, true, readyHost(9, good))})
				}
				out := make(chan int, 1)
				a.busy(func(l *loop) {
					n := 0
					for _, b := range l.backends {
						n += len(b.attempts)
					}
					out <- n
				})
				leave(c)
				eventually(t, "the leaving noticed by its handler", r.clientGone.Load)
				close(release)
				if n := <-out; n > 0 {
					t.Fatal("an attempt made for a client that has left")
				}
				a.told(4, readyHost(9, good))
				if status, _, _ := do(t, call(base, "order")); status != 200 {
					t.Fatalf("the next client was answered %d", status)
				}
				if id := <-came; id == "left" {
					t.Fatal("sent on for a client that has left")
				}
				unopened(t, a, came)
			})
		}
	}
}

// stalledConn is a client's connection of which nobody has the time to read more than the
// first bytes until it is released.
type stalledConn struct {
	*net.TCPConn
	got     atomic.Bool
	release chan struct{}
}

func (c *stalledConn) Read(p []byte) (int, error) {
	if c.got.Load() {
		<-c.release
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.got.Store(true)
	}
	return n, err
}

type stalledListener struct {
	net.Listener
	release chan struct{}
}

func (l stalledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{TCPConn: c.(*net.TCPConn), release: l.release}, nil
}

// lateConnect lets connections come up only when the test lets them. Only the connection
// itself tells an attempt then whether its client has left.
func lateConnect(a *Agent) (dialling chan struct{}, up chan struct{}) {
	dialling, up = make(chan struct{}, 10), make(chan struct{})
	plain := a.loop.pool.connect
	a.loop.pool.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialling <- struct{}{}
		<-up
		return plain(ctx, network, addr)
	}
	return dialling, up
}

// clientEnded waits until the end of a client has come to the agent's machine.
func clientEnded(t *testing.T, a *Agent) {
	t.Helper()
	eventually(t, "the client's end", func() bool {
		a.clients.mu.Lock()
		defer a.clients.mu.Unlock()
		for c := range a.clients.conns {
			return peerClosed(c.Conn)
		}
		return true
	})
}

// unopened waits until the agent holds no request, and fails if a backend got one.
func unopened(t *testing.T, a *Agent, came chan string) {
	t.Helper()
	eventually(t, "no request held", func() (none bool) {
		a.look(func(l *loop) { none = len(l.requests) == 0 })
		return none
	})
	if len(came) > 0 {
		t.Fatalf("sent %q on for a client that has left", <-came)
	}
}

// The end of a client counts as soon as it has come, read or not: on a busy machine whoever
// looks for it may get the processor later than the attempt.
func TestNothingIsSentForWhoseEndIsUnread(t *testing.T) {
	for how, leave := range leavings {
		t.Run(how, func(t *testing.T) {
			addr, came := counted(t, 200, false)
			read := make(chan struct{})
			a, base, _, _ := startOn(t, config(nowhere, addr), func(ln net.Listener) net.Listener {
				return stalledListener{ln, read}
			})
			dialling, up := lateConnect(a)
			c := dial(t, base)
			io.WriteString(c, raw("order", "left"))
			<-dialling
			leave(c)
			clientEnded(t, a)
			close(up)
			unopened(t, a, came)
			close(read)
			if status, _, _ := do(t, call(base, "order")); status != 200 {
				t.Fatalf("the next client was answered %d", status)
			}
		})
	}
}

// The server doesn't look for the client's end under a request that came in one piece with
// the one before it, when a byte of a third was read under that one. Nothing is sent on for
// it all the same.
func TestNothingIsSentForWhoLeftBehindOthers(t *testing.T) {
	for how, leave := range leavings {
		t.Run(how, func(t *testing.T) {
			got, release := make(chan string, 10), make(chan struct{})
			addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
				if req, err := readRequest(r); err == nil {
					got <- req.Header.Get("Request-Id")
					<-release
					io.WriteString(c, strings.Replace(okAnswer, "\r\n", "\r\nConnection: close\r\n", 1))
				}
			})
			a, base, _, _ := start(t, config(nowhere, addr))
			dialling, up := lateConnect(a)
			c := dial(t, base)
			io.WriteString(c, raw("order", "p1")+raw("order", "p2"))
			<-dialling
			up <- struct{}{}
			if id := <-got; id != "p1" {
				t.Fatalf("got %q", id)
			}
			io.WriteString(c, "P") // and not the rest of the third
			eventually(t, "a byte of the third read", func() bool {
				a.clients.mu.Lock()
				defer a.clients.mu.Unlock()
				for c := range a.clients.conns {
					return c.headStarted && peekConn(c.Conn) == 0
				}
				return false
			})
			close(release)
			<-dialling // the second
			leave(c)
			clientEnded(t, a)
			close(up)
			unopened(t, a, got)
		})
	}
}

// Whoever leaves while its request comes in, in the head, in the body or right behind it, has
// nothing sent on: here all of it came before the agent even took the connection.
func TestNothingIsSentForWhoLeftUnread(t *testing.T) {
	whole := strings.Replace(raw("order", "left"), "\r\n\r\n", "\r\nContent-Length: 8\r\n\r\nhalfrest", 1)
	addr, came := counted(t, 200, false)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	base := "http://" + ln.Addr().String()
	for i, text := range []string{whole[:20], whole[:len(whole)-4], whole, whole + whole} {
		for how, leave := range leavings {
			if how == "end of its sending" && len(text) < len(whole) {
				continue // it reads its answer, that the request did not come whole
			}
			c := dial(t, base)
			io.WriteString(c, strings.ReplaceAll(text, "left", fmt.Sprint("left", i, strings.ReplaceAll(how, " ", "_"))))
			leave(c)
		}
	}
	a, err := New(parse(t, config(nowhere, addr)), slog.New(looker{slog.DiscardHandler, make(chan func(), 1)}))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { stop(); a.server.Close(); a.stop() })
	go a.Serve(ctx, ln)
	if status, _, _ := do(t, call(base, "order")); status != 200 { // the last in the backlog
		t.Fatalf("the next client was answered %d", status)
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	eventually(t, "all connections ended", func() bool { return a.clients.count() == 0 })
	if id := <-came; strings.HasPrefix(id, "left") {
		t.Fatalf("sent %q on for a client that has left", id)
	}
	unopened(t, a, came)
}

// Whoever leaves while the agent waits for the rest of its request has nothing sent on, and its
// place is free again.
func TestNothingIsSentForWhoLeftItsRequest(t *testing.T) {
	whole := strings.Replace(raw("order", "left"), "\r\n\r\n", "\r\nContent-Length: 8\r\n\r\nhalfrest", 1)
	addr, came := counted(t, 200, false)
	a, base, _, _ := start(t, config(nowhere, addr))
	for part, text := range map[string]string{"head": whole[:20], "body": whole[:len(whole)-4]} {
		for _, how := range []string{"close", "reset", "end of its sending"} { // bytes might make it whole
			t.Run(part+" "+how, func(t *testing.T) {
				c := dial(t, base)
				io.WriteString(c, text)
				eventually(t, "its part read", func() bool {
					a.clients.mu.Lock()
					defer a.clients.mu.Unlock()
					for c := range a.clients.conns {
						return c.received.Load() && peekConn(c.Conn) == 0
					}
					return false
				})
				leavings[how](c)
				eventually(t, "its place free", func() bool { return a.clients.count() == 0 })
				unopened(t, a, came)
			})
		}
	}
}

// A client that leaves while its attempt waits for a connection at rest has nothing sent on it.
func TestNothingIsSentForWhoLeftARest(t *testing.T) {
	for how, leave := range leavings {
		t.Run(how, func(t *testing.T) {
			addr, came := counted(t, 200, false)
			a, base, _, _ := start(t, config(nowhere, addr))
			asked, rested := make(chan struct{}, 10), make(chan time.Time)
			p := a.loop.pool
			p.after = func(time.Duration) <-chan time.Time {
				asked <- struct{}{}
				return rested
			}
			if status, _, _ := do(t, call(base, "order")); status != 200 {
				t.Fatalf("answered %d", status)
			}
			<-came
			p.mu.Lock()
			p.idle.Front().Value.(*backendConn).since = time.Now().Add(never) // rests however slow the test is
			connect := p.connect
			p.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
				<-ctx.Done() // an extra connection that came up first would rightly be sent on
				return connect(ctx, network, addr)
			}
			p.mu.Unlock()
			c := dial(t, base)
			io.WriteString(c, raw("order", "left"))
			<-asked
			leave(c)
			eventually(t, "the leaving noticed", func() bool { return !a.holds("left") })
			close(rested)
			unopened(t, a, came)
		})
	}
}
