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

// stalledConn is a client's connection of which no more than the first bytes are read until it is
// released.
type stalledConn struct {
	*trackedConn
	begun   atomic.Bool // the first bytes were read
	release chan struct{}
}

func (c *stalledConn) Read(buffer []byte) (int, error) {
	if c.begun.Load() {
		<-c.release
	}
	n, err := c.trackedConn.Read(buffer)
	if n > 0 {
		c.begun.Store(true)
	}
	return n, err
}

// stalledListener accepts connections that are stalledConns.
type stalledListener struct {
	*trackingListener
	release chan struct{}
}

func (l stalledListener) Accept() (net.Conn, error) {
	conn, err := l.trackingListener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{trackedConn: conn.(*trackedConn), release: l.release}, nil
}

// delayConnects delays connects to backends until the test lets them be made: began has an item for
// each that has begun, and each takes one of proceed. Only the client's connection tells an attempt
// then whether the client has disconnected.
func delayConnects(agent *Agent) (began, proceed chan struct{}) {
	began, proceed = make(chan struct{}, 10), make(chan struct{})
	connect := agent.loop.pool.DialContext
	agent.loop.pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		began <- struct{}{}
		<-proceed
		return connect(ctx, network, addr)
	}
	return began, proceed
}

// A client's close counts as soon as it has arrived, read or not: on a busy machine the goroutine
// that reads it may run later than the attempt.
func TestAgentForwardsNothingForUnreadDisconnect(t *testing.T) {
	for how, disconnect := range agenttest.Disconnects {
		t.Run(how, func(t *testing.T) {
			addr, received := agenttest.IDBackend(t, 200, false)
			read, clients := make(chan struct{}), &trackingListener{}
			agent, base, _, _ := startOn(t, agenttest.Config(nowhere, addr), func(ln net.Listener) net.Listener {
				clients.Listener = ln
				return stalledListener{clients, read}
			})
			began, proceed := delayConnects(agent)
			conn := agenttest.Dial(t, base)
			io.WriteString(conn, agenttest.RequestText("order", "left"))
			<-began
			disconnect(conn)
			awaitClientClose(t, clients)
			close(proceed)
			checkNothingForwarded(t, agent, received)
			close(read)
			if status, _, _ := do(t, call(base, "order")); status != 200 {
				t.Fatalf("got status %d for the next client, want 200", status)
			}
		})
	}
}

// The http server doesn't watch for a client's close during a request that arrived together with the
// one before it, if a byte of a third was read during that one. Nothing is forwarded all the same.
func TestAgentForwardsNothingForDisconnectBehindPipelinedRequests(t *testing.T) {
	for how, disconnect := range agenttest.Disconnects {
		t.Run(how, func(t *testing.T) {
			got, release := make(chan string, 10), make(chan struct{})
			addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
				if req, err := agenttest.ReadRequest(reader); err == nil {
					got <- req.Header.Get("Request-Id")
					<-release
					io.WriteString(conn, strings.Replace(agenttest.OKAnswer, "\r\n", "\r\nConnection: close\r\n", 1))
				}
			})
			agent, base, clients := startTracked(t, agenttest.Config(nowhere, addr))
			began, proceed := delayConnects(agent)
			conn := agenttest.Dial(t, base)
			both := agenttest.RequestText("order", "p1") + agenttest.RequestText("order", "p2")
			io.WriteString(conn, both)
			<-began
			proceed <- struct{}{}
			if id := <-got; id != "p1" {
				t.Fatalf("got request %q first, want p1", id)
			}
			io.WriteString(conn, "P") // and not the rest of the third
			awaitRead(t, clients, len(both)+1)
			close(release)
			<-began // the second
			disconnect(conn)
			awaitClientClose(t, clients)
			close(proceed)
			checkNothingForwarded(t, agent, got)
		})
	}
}

// Nothing is forwarded for a client that disconnects in the head, in the body or right after its
// request, here with all of it there before the connection is accepted.
func TestAgentForwardsNothingForDisconnectBeforeAccept(t *testing.T) {
	whole := strings.Replace(agenttest.RequestText("order", "left"), "\r\n\r\n", "\r\nContent-Length: 8\r\n\r\nhalfrest", 1)
	addr, received := agenttest.IDBackend(t, 200, false)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	base := "http://" + ln.Addr().String()
	for i, text := range []string{whole[:20], whole[:len(whole)-4], whole, whole + whole} {
		for how, disconnect := range agenttest.Disconnects {
			if how == "end of its sending" && len(text) < len(whole) {
				continue // it reads its response, that the request is incomplete
			}
			conn := agenttest.Dial(t, base)
			io.WriteString(conn, strings.ReplaceAll(text, "left", fmt.Sprint("left", i, strings.ReplaceAll(how, " ", "_"))))
			disconnect(conn)
		}
	}
	agent := newAgent(t, agenttest.Config(nowhere, addr))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { stop(); agent.server.Close(); agent.stop() })
	go agent.Serve(ctx, ln)
	if status, _, _ := do(t, call(base, "order")); status != 200 { // the last in the backlog
		t.Fatalf("got status %d for the next client, want 200", status)
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	agenttest.Eventually(t, "all connections closed", func() bool { return agent.clients.Count() == 0 })
	if id := <-received; strings.HasPrefix(id, "left") {
		t.Fatalf("got request %q forwarded for a client that has disconnected, want none", id)
	}
	checkNothingForwarded(t, agent, received)
}

// Nothing is forwarded for a client that disconnects while the agent waits for the rest of its
// request, and its slot is free again.
func TestAgentForwardsNothingForIncompleteRequest(t *testing.T) {
	whole := strings.Replace(agenttest.RequestText("order", "left"), "\r\n\r\n", "\r\nContent-Length: 8\r\n\r\nhalfrest", 1)
	addr, received := agenttest.IDBackend(t, 200, false)
	agent, base, clients := startTracked(t, agenttest.Config(nowhere, addr))
	for part, text := range map[string]string{"head": whole[:20], "body": whole[:len(whole)-4]} {
		for _, how := range []string{"close", "reset", "end of its sending"} { // bytes might make it whole
			t.Run(part+" "+how, func(t *testing.T) {
				conn := agenttest.Dial(t, base)
				io.WriteString(conn, text)
				awaitRead(t, clients, len(text))
				agenttest.Disconnects[how](conn)
				agenttest.Eventually(t, "its slot free", func() bool { return agent.clients.Count() == 0 })
				checkNothingForwarded(t, agent, received)
			})
		}
	}
}

// Nothing is sent for a client that disconnects while its attempt waits for a connection at rest.
func TestAgentForwardsNothingForDisconnectDuringSettleDelay(t *testing.T) {
	for how, disconnect := range agenttest.Disconnects {
		t.Run(how, func(t *testing.T) {
			addr, received := agenttest.IDBackend(t, 200, false)
			agent, base, _, _ := start(t, agenttest.Config(nowhere, addr))
			pool := agent.loop.pool
			settings := pool.Settings()
			settings.SettleDelay = agenttest.Never
			pool.Configure(settings)
			if status, _, _ := do(t, call(base, "order")); status != 200 {
				t.Fatalf("got status %d, want 200", status)
			}
			<-received
			resting := make(chan struct{})
			agent.look(func(*loop) {
				dial := pool.DialContext
				pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
					close(resting) // an extra connection is opened for a request that waits for one at rest
					<-ctx.Done()   // one that came up would rightly be sent on
					return dial(ctx, network, addr)
				}
			})
			conn := agenttest.Dial(t, base)
			io.WriteString(conn, agenttest.RequestText("order", "left"))
			<-resting
			disconnect(conn)
			agenttest.Eventually(t, "the disconnect handled", func() bool { return !agent.holds("left") })
			checkNothingForwarded(t, agent, received)
		})
	}
}
