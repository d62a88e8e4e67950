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

// stalledConn is a client's connection of which only the first bytes are read until it is released.
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

// stalledListener wraps the connections that it accepts in stalledConns.
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

// delayConnects delays connects to backends until the test allows them. began receives an item for
// each connect that begins, and each connect takes one item of proceed. During the delay an attempt
// can find out that the client has disconnected only from the client's connection.
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

// A client's close takes effect when it has arrived, even if it was not read. On a busy machine the
// goroutine that reads it may run later than the attempt.
func TestAgentForwardsNothingForUnreadDisconnect(t *testing.T) {
	for how, disconnect := range agenttest.Disconnects {
		t.Run(how, func(t *testing.T) {
			addr, received := agenttest.IDBackend(t, 200, false)
			read, clients := make(chan struct{}), &trackingListener{}
			agent, base, _, _ := startAgentOn(t, agenttest.Config(refusingAddr, addr), func(ln net.Listener) net.Listener {
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
			if status, _, _ := do(t, newClientRequest(base, "order")); status != 200 {
				t.Fatalf("got status %d for the next client, want 200", status)
			}
		})
	}
}

// startSecondOfPipelinedRequests sends two requests together, and one byte of a third while the
// first is handled. It returns when the second is about to be forwarded. During that request the HTTP
// server doesn't watch for the client's close. proceed lets the second request be forwarded.
func startSecondOfPipelinedRequests(t *testing.T) (agent *Agent, clients *trackingListener, conn net.Conn, proceed chan struct{}, received chan string) {
	t.Helper()
	received, release := make(chan string, 10), make(chan struct{})
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if req, err := agenttest.ReadRequest(reader); err == nil {
			received <- req.Header.Get("Request-Id")
			<-release
			io.WriteString(conn, strings.Replace(agenttest.OKResponse, "\r\n", "\r\nConnection: close\r\n", 1))
		}
	})
	agent, base, clients := startTracked(t, agenttest.Config(refusingAddr, addr))
	began, proceed := delayConnects(agent)
	conn = agenttest.Dial(t, base)
	both := agenttest.RequestText("order", "p1") + agenttest.RequestText("order", "p2")
	io.WriteString(conn, both)
	<-began
	proceed <- struct{}{}
	if id := <-received; id != "p1" {
		t.Fatalf("got request %q first, want p1", id)
	}
	io.WriteString(conn, "P") // the first byte of a third request
	awaitRead(t, clients, len(both)+1)
	close(release)
	<-began // the connect of the second request
	return agent, clients, conn, proceed, received
}

// Nothing is forwarded for a client that disconnects behind pipelined requests.
func TestAgentForwardsNothingForDisconnectBehindPipelinedRequests(t *testing.T) {
	for how, disconnect := range agenttest.Disconnects {
		t.Run(how, func(t *testing.T) {
			agent, clients, conn, proceed, received := startSecondOfPipelinedRequests(t)
			disconnect(conn)
			awaitClientClose(t, clients)
			close(proceed)
			checkNothingForwarded(t, agent, received)
		})
	}
}

// Guards against requests that are forwarded for a client that has closed its connection behind more
// bytes than fit in the agent's receive buffer: the close arrives only when they are read.
func TestAgentForwardsNothingForCloseBehindManyUnreadBytes(t *testing.T) {
	agent, clients, conn, proceed, received := startSecondOfPipelinedRequests(t)
	go func() {
		defer conn.Close()
		io.WriteString(conn, strings.Repeat("x", 16<<20))
	}()
	awaitClientClose(t, clients)
	agenttest.Eventually(t, "the disconnect handled", func() bool { return !agent.hasOpenRequest("p2") })
	close(proceed)
	checkNothingForwarded(t, agent, received)
}

// Nothing is forwarded for a client that disconnects in the head, in the body or right after its
// request. Here all of this happens before the connection is accepted.
func TestAgentForwardsNothingForDisconnectBeforeAccept(t *testing.T) {
	whole := agenttest.RequestTextWithBody("order", "left", 8, "halfrest")
	addr, received := agenttest.IDBackend(t, 200, false)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	base := "http://" + ln.Addr().String()
	for i, text := range []string{whole[:20], whole[:len(whole)-4], whole, whole + whole} {
		for how, disconnect := range agenttest.Disconnects {
			if how == "half-close" && len(text) < len(whole) {
				continue // the client still reads the response to its incomplete request
			}
			conn := agenttest.Dial(t, base)
			io.WriteString(conn, strings.ReplaceAll(text, "left", fmt.Sprint("left", i, strings.ReplaceAll(how, " ", "_"))))
			disconnect(conn)
		}
	}
	agent := newAgent(t, agenttest.Config(refusingAddr, addr))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { stop(); agent.server.Close(); agent.stop() })
	go agent.Serve(ctx, ln)
	if status, _, _ := do(t, newClientRequest(base, "order")); status != 200 { // this client is the last in the backlog
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
// request, and the slot is free again.
func TestAgentForwardsNothingForIncompleteRequest(t *testing.T) {
	whole := agenttest.RequestTextWithBody("order", "left", 8, "halfrest")
	addr, received := agenttest.IDBackend(t, 200, false)
	agent, base, clients := startTracked(t, agenttest.Config(refusingAddr, addr))
	for part, text := range map[string]string{"head": whole[:20], "body": whole[:len(whole)-4]} {
		for _, how := range []string{"close", "reset", "half-close"} { // the other ones send bytes, which might complete the request
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

// Nothing is sent for a client that disconnects while its attempt waits for a connection to settle.
func TestAgentForwardsNothingForDisconnectDuringSettleDelay(t *testing.T) {
	for how, disconnect := range agenttest.Disconnects {
		t.Run(how, func(t *testing.T) {
			addr, received := agenttest.IDBackend(t, 200, false)
			agent, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
			pool := agent.loop.pool
			settings := pool.Settings()
			settings.SettleDelay = agenttest.LongTimeout
			pool.Configure(settings)
			if status, _, _ := do(t, newClientRequest(base, "order")); status != 200 {
				t.Fatalf("got status %d, want 200", status)
			}
			<-received
			connecting := make(chan struct{})
			agent.inspect(func(*loop) {
				dial := pool.DialContext
				pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
					close(connecting) // the extra connection for a request that waits for one to settle
					<-ctx.Done()      // on an open connection the request would rightly be sent
					return dial(ctx, network, addr)
				}
			})
			conn := agenttest.Dial(t, base)
			io.WriteString(conn, agenttest.RequestText("order", "left"))
			<-connecting
			disconnect(conn)
			agenttest.Eventually(t, "the disconnect handled", func() bool { return !agent.hasOpenRequest("left") })
			checkNothingForwarded(t, agent, received)
		})
	}
}
