package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"ploverreel/internal/agenttest"
)

// leavings are the ways in which a client can disconnect.
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

// busy runs see in the loop's goroutine, after all inputs posted so far, and returns once that is
// posted. The loop handles nothing else until see returns.
func (a *Agent) busy(see func(l *loop)) {
	a.log.Handler().(looker).see <- func() { see(a.loop) }
	a.loop.post(endpointsFetched{err: io.EOF})
}

// next takes the first input of a kind out of the queue of a busy loop, and posts those before it
// again.
func next[T input](t *testing.T, a *Agent) (found T) {
	t.Helper()
	var others []input
	agenttest.Eventually(t, "in the queue", func() bool {
		select {
		case in := <-a.loop.inputs:
			var ok bool
			if found, ok = in.(T); ok {
				return true
			}
			others = append(others, in)
		default:
		}
		return false
	})
	for _, in := range others {
		a.loop.post(in)
	}
	return found
}

// A busy loop handles its queue in order: the request, the outcome of its attempt or what gives it
// capacity, before the input that its client has disconnected. No attempt is made then.
func TestNothingIsSentForWhoLeftTheQueue(t *testing.T) {
	for _, waits := range []string{"first", "further", "room"} {
		for how, leave := range leavings {
			t.Run(waits+" "+how, func(t *testing.T) {
				good, came := counted(t, 200, false)
				asked, turn := make(chan struct{}), make(chan struct{})
				turns := rawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
					if _, err := readRequest(reader); err == nil {
						close(asked)
						<-turn
						io.WriteString(conn, "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
					}
				})
				agent, base, _, _ := start(t, agenttest.Config(nowhere))
				occupied, release := make(chan struct{}), make(chan struct{})
				occupy := func() {
					agent.busy(func(*loop) { close(occupied); <-release })
					<-occupied
				}
				conn := dial(t, base)
				var reader *request
				switch waits {
				case "first":
					agent.told(2, readyHost(9, good))
					occupy()
					io.WriteString(conn, raw("order", "left"))
					in := next[requestArrived](t, agent)
					reader = in.request
					agent.loop.post(in)
				case "further":
					agent.told(2, readyHost(1, turns))
					io.WriteString(conn, raw("order", "left"))
					<-asked
					agent.told(3, readyHost(1, turns), readyHost(9, good))
					occupy()
					close(turn)
					in := next[attemptEnded](t, agent)
					reader = in.attempt.request
					agent.loop.post(in)
				case "room":
					io.WriteString(conn, raw("order", "left"))
					agenttest.Eventually(t, "its request taken", func() bool { return agent.holds("left") })
					agent.look(func(l *loop) {
						for _, reader = range l.requests {
						}
					})
					occupy()
					agent.loop.post(watchEvent{list: listOf(3, true, readyHost(9, good))})
				}
				out := make(chan int, 1)
				agent.busy(func(l *loop) {
					n := 0
					for _, b := range l.backends {
						n += len(b.attempts)
					}
					out <- n
				})
				leave(conn)
				agenttest.Eventually(t, "the leaving noticed by its handler", reader.client.abandoned.Load)
				close(release)
				if n := <-out; n > 0 {
					t.Fatal("an attempt made for a client that has left")
				}
				agent.told(4, readyHost(9, good))
				if status, _, _ := do(t, call(base, "order")); status != 200 {
					t.Fatalf("the next client was answered %d", status)
				}
				if id := <-came; id == "left" {
					t.Fatal("sent on for a client that has left")
				}
				unopened(t, agent, came)
			})
		}
	}
}

// stalledConn is a client's connection of which no more than the first bytes are read until it is
// released.
type stalledConn struct {
	*trackedConn
	got     atomic.Bool
	release chan struct{}
}

func (c *stalledConn) Read(p []byte) (int, error) {
	if c.got.Load() {
		<-c.release
	}
	n, err := c.trackedConn.Read(p)
	if n > 0 {
		c.got.Store(true)
	}
	return n, err
}

type stalledListener struct {
	*trackingListener
	release chan struct{}
}

func (l stalledListener) Accept() (net.Conn, error) {
	c, err := l.trackingListener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{trackedConn: c.(*trackedConn), release: l.release}, nil
}

// lateConnect holds up connects to backends until the test releases them. Only the client's
// connection tells an attempt then whether the client has disconnected.
func lateConnect(agent *Agent) (dialling chan struct{}, up chan struct{}) {
	dialling, up = make(chan struct{}, 10), make(chan struct{})
	plain := agent.loop.pool.DialContext
	agent.loop.pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialling <- struct{}{}
		<-up
		return plain(ctx, network, addr)
	}
	return dialling, up
}

// unopened waits until no request is in progress, and fails the test if a backend got one.
func unopened(t *testing.T, agent *Agent, came chan string) {
	t.Helper()
	agenttest.Eventually(t, "no request held", func() (none bool) {
		agent.look(func(l *loop) { none = len(l.requests) == 0 })
		return none
	})
	if len(came) > 0 {
		t.Fatalf("sent %q on for a client that has left", <-came)
	}
}

// A client's close counts as soon as it has arrived, read or not: on a busy machine the goroutine
// that reads it may run later than the attempt.
func TestNothingIsSentForWhoseEndIsUnread(t *testing.T) {
	for how, leave := range leavings {
		t.Run(how, func(t *testing.T) {
			addr, came := counted(t, 200, false)
			read, clients := make(chan struct{}), &trackingListener{}
			agent, base, _, _ := startOn(t, agenttest.Config(nowhere, addr), func(ln net.Listener) net.Listener {
				clients.Listener = ln
				return stalledListener{clients, read}
			})
			dialling, up := lateConnect(agent)
			conn := dial(t, base)
			io.WriteString(conn, raw("order", "left"))
			<-dialling
			leave(conn)
			awaitClientClose(t, clients)
			close(up)
			unopened(t, agent, came)
			close(read)
			if status, _, _ := do(t, call(base, "order")); status != 200 {
				t.Fatalf("the next client was answered %d", status)
			}
		})
	}
}

// The http server doesn't watch for a client's close during a request that arrived together with the
// one before it, if a byte of a third was read during that one. Nothing is forwarded all the same.
func TestNothingIsSentForWhoLeftBehindOthers(t *testing.T) {
	for how, leave := range leavings {
		t.Run(how, func(t *testing.T) {
			got, release := make(chan string, 10), make(chan struct{})
			addr := rawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
				if req, err := readRequest(reader); err == nil {
					got <- req.Header.Get("Request-Id")
					<-release
					io.WriteString(conn, strings.Replace(okAnswer, "\r\n", "\r\nConnection: close\r\n", 1))
				}
			})
			agent, base, clients := startTracked(t, agenttest.Config(nowhere, addr))
			dialling, up := lateConnect(agent)
			conn := dial(t, base)
			both := raw("order", "p1") + raw("order", "p2")
			io.WriteString(conn, both)
			<-dialling
			up <- struct{}{}
			if id := <-got; id != "p1" {
				t.Fatalf("got %q", id)
			}
			io.WriteString(conn, "P") // and not the rest of the third
			awaitRead(t, clients, len(both)+1)
			close(release)
			<-dialling // the second
			leave(conn)
			awaitClientClose(t, clients)
			close(up)
			unopened(t, agent, got)
		})
	}
}

// Nothing is forwarded for a client that disconnects in the head, in the body or right after its
// request, here with all of it there before the connection is accepted.
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
			conn := dial(t, base)
			io.WriteString(conn, strings.ReplaceAll(text, "left", fmt.Sprint("left", i, strings.ReplaceAll(how, " ", "_"))))
			leave(conn)
		}
	}
	agent := newAgent(t, agenttest.Config(nowhere, addr))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { stop(); agent.server.Close(); agent.stop() })
	go agent.Serve(ctx, ln)
	if status, _, _ := do(t, call(base, "order")); status != 200 { // the last in the backlog
		t.Fatalf("the next client was answered %d", status)
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	agenttest.Eventually(t, "all connections ended", func() bool { return agent.clients.Count() == 0 })
	if id := <-came; strings.HasPrefix(id, "left") {
		t.Fatalf("sent %q on for a client that has left", id)
	}
	unopened(t, agent, came)
}

// Nothing is forwarded for a client that disconnects while the agent waits for the rest of its
// request, and its slot is free again.
func TestNothingIsSentForWhoLeftItsRequest(t *testing.T) {
	whole := strings.Replace(raw("order", "left"), "\r\n\r\n", "\r\nContent-Length: 8\r\n\r\nhalfrest", 1)
	addr, came := counted(t, 200, false)
	agent, base, clients := startTracked(t, agenttest.Config(nowhere, addr))
	for part, text := range map[string]string{"head": whole[:20], "body": whole[:len(whole)-4]} {
		for _, how := range []string{"close", "reset", "end of its sending"} { // bytes might make it whole
			t.Run(part+" "+how, func(t *testing.T) {
				conn := dial(t, base)
				io.WriteString(conn, text)
				awaitRead(t, clients, len(text))
				leavings[how](conn)
				agenttest.Eventually(t, "its place free", func() bool { return agent.clients.Count() == 0 })
				unopened(t, agent, came)
			})
		}
	}
}

// Nothing is sent for a client that disconnects while its attempt waits for a connection at rest.
func TestNothingIsSentForWhoLeftARest(t *testing.T) {
	for how, leave := range leavings {
		t.Run(how, func(t *testing.T) {
			addr, came := counted(t, 200, false)
			agent, base, _, _ := start(t, agenttest.Config(nowhere, addr))
			pool := agent.loop.pool
			settings := pool.Settings()
			settings.RestTime = agenttest.Never
			pool.Configure(settings)
			if status, _, _ := do(t, call(base, "order")); status != 200 {
				t.Fatalf("answered %d", status)
			}
			<-came
			resting := make(chan struct{})
			agent.look(func(*loop) {
				dial := pool.DialContext
				pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
					close(resting) // an extra connection is opened for a request that waits for one at rest
					<-ctx.Done()   // one that came up would rightly be sent on
					return dial(ctx, network, addr)
				}
			})
			conn := dial(t, base)
			io.WriteString(conn, raw("order", "left"))
			<-resting
			leave(conn)
			agenttest.Eventually(t, "the leaving noticed", func() bool { return !agent.holds("left") })
			unopened(t, agent, came)
		})
	}
}
