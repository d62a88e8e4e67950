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
)

// crossingConn is a client's connection with a hook between the end of a read and what the
// agent makes of it: one for a read that got bytes, one for a read whose time was over.
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
	case errors.Is(err, os.ErrDeadlineExceeded) && len(p) > 1: // else it was the answer's
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

// endings are the ways in which the agent ends a connection on which no request is open.
var endings = map[string]func(p *clientTable){
	"leaving":  func(p *clientTable) { p.closeIdle(true) },
	"too many": func(p *clientTable) { p.reapIdle(time.Now().Add(clientIdleGrace)) },
	"for a new one": func(p *clientTable) {
		p.resize(1, 0)
		newcomer(p)
	},
	"a lowered limit": func(p *clientTable) {
		p.resize(0, 0)
		newcomer(p)
	},
	"its time is over": func(p *clientTable) { // of keep-alive, or for a first head
		p.mu.Lock()
		defer p.mu.Unlock()
		for c := range p.conns {
			_ = c.Conn.SetReadDeadline(time.Now())
		}
	},
}

func newcomer(p *clientTable) {
	one, other := net.Pipe()
	other.Close()
	next := &clientConn{Conn: one, table: p}
	p.acquire(next, time.Now().Add(clientIdleGrace))
	next.Close()
}

// restingAt waits until the agent's one connection is at a stage, and returns it.
func restingAt(t *testing.T, a *Agent, want connStage) (found *clientConn) {
	t.Helper()
	eventually(t, "its connection at rest", func() bool {
		a.clients.mu.Lock()
		defer a.clients.mu.Unlock()
		for c := range a.clients.conns {
			found = c
			return c.stage == want && !c.headStarted
		}
		return false
	})
	return found
}

// A request that crosses the end of its connection, whatever ends it, gets its one answer when
// any of it was read, and when it came before the agent saw that nothing had.
func TestRequestsThatCrossAnEndAreAnswered(t *testing.T) {
	for ending, end := range endings {
		for _, at := range []connStage{stageNew, stageIdle} {
			if at == stageNew && ending == "too many" {
				continue // which ends idle ones alone
			}
			for _, crossing := range []string{"read", "unread", "half read", "half unread"} {
				t.Run(fmt.Sprint(ending, map[connStage]string{stageNew: " fresh ", stageIdle: " idle "}[at], crossing), func(t *testing.T) {
					addr, came := counted(t, 200, false)
					hooks := &crossingHooks{}
					a, base, _, _ := startOn(t, config(nowhere, addr), func(ln net.Listener) net.Listener {
						return crossingListener{ln, hooks}
					})
					c := dial(t, base)
					_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
					r := bufio.NewReader(c)
					if at == stageIdle {
						io.WriteString(c, raw("order", "first"))
						resp, err := http.ReadResponse(r, nil)
						if err != nil || resp.StatusCode != 200 {
							t.Fatalf("got %v, %v", resp, err)
						}
						io.Copy(io.Discard, resp.Body)
						<-came
					}
					conn := restingAt(t, a, at)
					if at == stageIdle {
						a.clients.resize(100, 0) // too many for tidy
					}
					text, rest := raw("order", "crossing"), ""
					if strings.HasPrefix(crossing, "half") {
						text, rest = text[:20], text[20:]
					}
					if strings.HasSuffix(crossing, "unread") {
						cross := func() {
							io.WriteString(c, text)
							eventually(t, "the bytes there", func() bool { return peekConn(conn.Conn) > 0 })
						}
						hooks.over.Store(&cross)
						end(a.clients)
					} else {
						cross := func() { end(a.clients) }
						hooks.got.Store(&cross)
						io.WriteString(c, text)
					}
					if rest != "" {
						eventually(t, "the first half read", func() bool {
							a.clients.mu.Lock()
							defer a.clients.mu.Unlock()
							return conn.headStarted || len(a.clients.conns) == 0
						})
						io.WriteString(c, rest)
					}
					resp, err := http.ReadResponse(r, nil)
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

// A connection that was ended while at rest is closed with nothing said, and its place is free;
// until then it holds its place, and no other is ended in its stead.
func TestEndedConnectionsClose(t *testing.T) {
	for ending, end := range endings {
		t.Run(ending, func(t *testing.T) {
			addr, _ := counted(t, 200, false)
			a, base, _, _ := start(t, config(nowhere, addr))
			c := dial(t, base)
			r := bufio.NewReader(c)
			io.WriteString(c, raw("order", "first"))
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("got %v, %v", resp, err)
			}
			io.Copy(io.Discard, resp.Body)
			restingAt(t, a, stageIdle)
			a.clients.resize(100, 0)
			end(a.clients)
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
			if _, err := r.ReadByte(); err != io.EOF {
				t.Fatalf("got %v, want its end", err)
			}
			eventually(t, "its place free", func() bool { return a.clients.count() == 0 })
		})
	}
}

// Where several could go for one that comes, one is ended and keeps its place until it is closed.
func TestOneIsEndedForOneThatComes(t *testing.T) {
	p, now := newClientTable(2, 2), time.Now()
	for range 2 {
		server, client := net.Pipe()
		t.Cleanup(func() { server.Close(); client.Close() })
		if !p.acquire(&clientConn{Conn: server, table: p, stage: stageIdle, stageSince: now}, now) {
			t.Fatal("no place though there is room")
		}
	}
	server, _ := net.Pipe()
	next := &clientConn{Conn: server, table: p, stageSince: now}
	for range 3 {
		if p.acquire(next, now) || p.closing() != 1 || p.count() != 2 {
			t.Fatalf("%d ended, %d places taken", p.closing(), p.count())
		}
	}
	for c := range p.conns {
		if c.closing {
			c.Close()
		}
	}
	if !p.acquire(next, now) || p.count() != 2 {
		t.Fatal("no place though one was closed")
	}
}

// The answer to a request that is bad is not cut off for one that comes.
func TestRejectedClientsAreAnswered(t *testing.T) {
	p, now := newClientTable(1, 1), time.Now()
	server, client := net.Pipe()
	defer client.Close()
	bad := &clientConn{Conn: server, table: p, stageSince: now}
	next := &clientConn{Conn: server, table: p, stageSince: now}
	p.acquire(bad, now)
	p.setStage(bad, stageRejected)
	if p.acquire(next, now) {
		t.Fatal("closed before its answer was written")
	}
	_ = bad.CloseWrite()
	if !p.acquire(next, now) {
		t.Fatal("no place though all was said on the one that has it")
	}
}
