package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/socket"
)

// crossingConn is a client's connection with hooks between the end of a read and its handling by
// the agent: one for a read that returned bytes, one for a read that timed out.
type crossingConn struct {
	*net.TCPConn
	hooks *crossingHooks
}

type crossingHooks struct{ got, over atomic.Pointer[func()] }

// run runs a hook once.
func run(hook *atomic.Pointer[func()]) {
	if do := hook.Swap(nil); do != nil {
		(*do)()
	}
}

func (c crossingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	switch {
	case n > 0:
		run(&c.hooks.got)
	case errors.Is(err, os.ErrDeadlineExceeded) && len(p) > 1: // a read of one byte is that next to a handler
		run(&c.hooks.over)
	}
	return n, err
}

type crossingListener struct {
	net.Listener
	hooks *crossingHooks
}

func (l crossingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return crossingConn{c.(*net.TCPConn), l.hooks}, nil
}

// endings are the ways in which the agent ends a connection without a request in progress.
var endings = map[string]func(table *clientTable){
	"leaving":  func(table *clientTable) { table.closeIdle(true) },
	"too many": func(table *clientTable) { table.reapIdle(time.Now().Add(clientIdleGrace)) },
	"for a new one": func(table *clientTable) {
		table.resize(1, 0)
		newcomer(table)
	},
	"a lowered limit": func(table *clientTable) {
		table.resize(0, 0)
		newcomer(table)
	},
	"its time is over": func(table *clientTable) { // the keep-alive timeout, or that for a first head
		table.mu.Lock()
		defer table.mu.Unlock()
		for conn := range table.conns {
			_ = conn.Conn.SetReadDeadline(time.Now())
		}
	},
}

func newcomer(table *clientTable) {
	one, other := net.Pipe()
	other.Close()
	next := &clientConn{Conn: one, table: table}
	table.acquire(next, time.Now().Add(clientIdleGrace))
	next.Close()
}

// restingAt waits until the agent's only connection is at a stage and waits for a head.
func restingAt(t *testing.T, agent *Agent, want connStage) (found *clientConn) {
	t.Helper()
	agenttest.Eventually(t, "its connection at rest", func() bool {
		agent.clients.mu.Lock()
		defer agent.clients.mu.Unlock()
		for conn := range agent.clients.conns {
			found = conn
			return conn.stage == want && !conn.head.started
		}
		return false
	})
	return found
}

// A request that crosses the end of its connection, whatever ends that, gets its one response if any
// of it was read, or if it arrived before the agent saw that nothing had.
func TestRequestsThatCrossAnEndAreAnswered(t *testing.T) {
	for ending, end := range endings {
		for _, at := range []connStage{stageNew, stageIdle} {
			if at == stageNew && ending == "too many" {
				continue // reaping ends idle connections only
			}
			for _, crossing := range []string{"read", "unread", "half read", "half unread"} {
				t.Run(fmt.Sprint(ending, map[connStage]string{stageNew: " fresh ", stageIdle: " idle "}[at], crossing), func(t *testing.T) {
					addr, came := counted(t, 200, false)
					hooks := &crossingHooks{}
					agent, base, _, _ := startOn(t, agenttest.Config(nowhere, addr), func(ln net.Listener) net.Listener {
						return crossingListener{ln, hooks}
					})
					client := dial(t, base)
					_ = client.SetReadDeadline(time.Now().Add(20 * time.Second))
					reader := bufio.NewReader(client)
					if at == stageIdle {
						io.WriteString(client, raw("order", "first"))
						resp, err := http.ReadResponse(reader, nil)
						if err != nil || resp.StatusCode != 200 {
							t.Fatalf("got %v, %v", resp, err)
						}
						io.Copy(io.Discard, resp.Body)
						<-came
					}
					conn := restingAt(t, agent, at)
					if at == stageIdle {
						agent.clients.resize(100, 0) // too many for tidy
					}
					text, rest := raw("order", "crossing"), ""
					if strings.HasPrefix(crossing, "half") {
						text, rest = text[:20], text[20:]
					}
					if strings.HasSuffix(crossing, "unread") {
						cross := func() {
							io.WriteString(client, text)
							agenttest.Eventually(t, "the bytes there", func() bool { return socket.Peek(conn.Conn) == socket.PeekUnread })
						}
						hooks.over.Store(&cross)
						end(agent.clients)
					} else {
						cross := func() { end(agent.clients) }
						hooks.got.Store(&cross)
						io.WriteString(client, text)
					}
					if rest != "" {
						agenttest.Eventually(t, "the first half read", func() bool {
							agent.clients.mu.Lock()
							defer agent.clients.mu.Unlock()
							return conn.head.started || len(agent.clients.conns) == 0
						})
						io.WriteString(client, rest)
					}
					resp, err := http.ReadResponse(reader, nil)
					if err != nil || resp.StatusCode != 200 || !resp.Close && ending != "its time is over" {
						t.Fatalf("got %v, %v; want an answer and the connection's end", resp, err)
					}
					if id := <-came; id != "crossing" || len(came) > 0 {
						t.Fatalf("the backend got %q and %d more", id, len(came))
					}
				})
			}
		}
	}
}

// A connection that is ended while it waits for a head is closed without a response. It holds its
// slot until then, and no other is evicted in its stead.
func TestEndedConnectionsClose(t *testing.T) {
	for ending, end := range endings {
		t.Run(ending, func(t *testing.T) {
			addr, _ := counted(t, 200, false)
			agent, base, _, _ := start(t, agenttest.Config(nowhere, addr))
			conn := dial(t, base)
			reader := bufio.NewReader(conn)
			io.WriteString(conn, raw("order", "first"))
			resp, err := http.ReadResponse(reader, nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("got %v, %v", resp, err)
			}
			io.Copy(io.Discard, resp.Body)
			restingAt(t, agent, stageIdle)
			agent.clients.resize(100, 0)
			end(agent.clients)
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Fatalf("got %v, want its end", err)
			}
			agenttest.Eventually(t, "its place free", func() bool { return agent.clients.count() == 0 })
		})
	}
}

// Of several connections that could be evicted for a new one, only one is, and it keeps its slot
// until it is closed.
func TestOneIsEndedForOneThatComes(t *testing.T) {
	table, now := newClientTable(2, 2), time.Now()
	for range 2 {
		server, client := net.Pipe()
		t.Cleanup(func() { server.Close(); client.Close() })
		if !table.acquire(&clientConn{Conn: server, table: table, stage: stageIdle, stageSince: now}, now) {
			t.Fatal("no place though there is room")
		}
	}
	server, _ := net.Pipe()
	next := &clientConn{Conn: server, table: table, stageSince: now}
	for range 3 {
		if table.acquire(next, now) || table.closingCount() != 1 || table.count() != 2 {
			t.Fatalf("%d ended, %d places taken", table.closingCount(), table.count())
		}
	}
	for conn := range table.conns {
		if conn.closing {
			conn.Close()
		}
	}
	if !table.acquire(next, now) || table.count() != 2 {
		t.Fatal("no place though one was closed")
	}
}

// The response to a rejected request is not cut off to make a slot free.
func TestRejectedClientsAreAnswered(t *testing.T) {
	table, now := newClientTable(1, 1), time.Now()
	server, client := net.Pipe()
	defer client.Close()
	bad := &clientConn{Conn: server, table: table, stageSince: now}
	next := &clientConn{Conn: server, table: table, stageSince: now}
	table.acquire(bad, now)
	table.setStage(bad, stageRejected)
	if table.acquire(next, now) {
		t.Fatal("closed before its answer was written")
	}
	_ = bad.CloseWrite()
	if !table.acquire(next, now) {
		t.Fatal("no place though all was said on the one that has it")
	}
}
