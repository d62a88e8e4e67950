package clientconn

import (
	"bufio"
	"errors"
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
// the Conn: one for a read that returned bytes, one for a read that timed out.
type crossingConn struct {
	*net.TCPConn
	hooks *crossingHooks
}

type crossingHooks struct {
	afterBytes, afterTimeout atomic.Pointer[func()]
	reading                  atomic.Bool // a read is in progress
}

// runOnce runs a hook and removes it.
func runOnce(hook *atomic.Pointer[func()]) {
	if run := hook.Swap(nil); run != nil {
		(*run)()
	}
}

func (c crossingConn) Read(buffer []byte) (int, error) {
	c.hooks.reading.Store(true)
	n, err := c.TCPConn.Read(buffer)
	c.hooks.reading.Store(false)
	switch {
	case n > 0:
		runOnce(&c.hooks.afterBytes)
	case errors.Is(err, os.ErrDeadlineExceeded) && len(buffer) > 1: // a read of one byte is that next to a handler
		runOnce(&c.hooks.afterTimeout)
	}
	return n, err
}

type crossingListener struct {
	net.Listener
	hooks *crossingHooks
}

func (l crossingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return crossingConn{conn.(*net.TCPConn), l.hooks}, nil
}

// timeoutEnding is the one of endings that is the server's own.
const timeoutEnding = "timeout"

// endings are the ways in which a connection without a request in progress ends.
var endings = map[string]func(table *Table){
	"shutdown": func(table *Table) { table.CloseIdle(true) },
	"reaped":   func(table *Table) { table.reapIdle(time.Now().Add(idleGrace)) },
	"evicted": func(table *Table) {
		table.Resize(1, 0)
		acquireAnother(table)
	},
	"limit lowered": func(table *Table) {
		table.Resize(0, 0)
		acquireAnother(table)
	},
	timeoutEnding: func(table *Table) { // the keep-alive timeout, or that for a first head
		table.mu.Lock()
		defer table.mu.Unlock()
		for conn := range table.conns {
			_ = conn.Conn.SetReadDeadline(time.Now())
		}
	},
}

// acquireAnother asks for a slot for another connection, and closes it.
func acquireAnother(table *Table) {
	server, client := net.Pipe()
	client.Close()
	next := &Conn{Conn: server, table: table}
	table.acquire(next, time.Now().Add(idleGrace))
	next.Close()
}

// awaitAtRest waits until a table's only connection is at a stage and a read waits for a head:
// before that the server may still set another deadline for it.
func awaitAtRest(t *testing.T, table *Table, hooks *crossingHooks, want connStage) *Conn {
	t.Helper()
	agenttest.Eventually(t, "the connection at rest", func() bool {
		atStage := onlyConnIs(table, func(conn *Conn) bool { return conn.stage == want && !conn.head.started })
		return atStage && hooks.reading.Load()
	})
	return onlyConn(table)
}

// A request that crosses the end of its connection, whatever ends that, gets its one response if
// any of it was read, or if it arrived before the server saw that nothing had.
func TestConnAnswersRequestThatCrossesItsEnd(t *testing.T) {
	for ending := range endings {
		for stage, name := range map[connStage]string{stageNew: "new", stageIdle: "idle"} {
			if stage == stageNew && ending == "reaped" {
				continue // reaping ends idle connections only
			}
			for _, arrival := range []string{"read", "unread", "half read", "half unread"} {
				t.Run(ending+" "+name+" "+arrival, func(t *testing.T) { playCrossing(t, ending, stage, arrival) })
			}
		}
	}
}

// playCrossing ends a connection at a stage, and sends a request of which all or half arrives just
// before that is noticed: it is read then, or still unread.
func playCrossing(t *testing.T, ending string, stage connStage, arrival string) {
	hooks, table := &crossingHooks{}, NewTable(100, 100)
	server := serveOn(t, table, func(ln net.Listener) net.Listener { return crossingListener{ln, hooks} })
	client := agenttest.Dial(t, server.addr)
	_ = client.SetReadDeadline(time.Now().Add(agenttest.NoAnswerTimeout))
	reader := bufio.NewReader(client)
	if stage == stageIdle {
		io.WriteString(client, agenttest.RequestText("order", "first"))
		readOK(t, reader)
		<-server.received
	}
	conn := awaitAtRest(t, table, hooks, stage)
	if stage == stageIdle {
		table.Resize(100, 0) // too many are kept, so that it may be reaped
	}
	text, rest := agenttest.RequestText("order", "crossing"), ""
	if strings.HasPrefix(arrival, "half") {
		text, rest = text[:20], text[20:]
	}
	if strings.HasSuffix(arrival, "unread") {
		hook := func() {
			io.WriteString(client, text)
			agenttest.Eventually(t, "the bytes arrived", func() bool { return socket.Peek(conn.Conn) == socket.PeekUnread })
		}
		hooks.afterTimeout.Store(&hook)
		endings[ending](table)
	} else {
		hook := func() { endings[ending](table) }
		hooks.afterBytes.Store(&hook)
		io.WriteString(client, text)
	}
	if rest != "" {
		awaitHeadStarted(t, table, conn)
		io.WriteString(client, rest)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close && ending != timeoutEnding {
		t.Fatalf("got response %v, %v; want status 200 and Connection: close", resp, err)
	}
	if id := <-server.received; id != "crossing" || len(server.received) > 0 {
		t.Fatalf("got request %q and %d more, want %q alone", id, len(server.received), "crossing")
	}
}

// awaitHeadStarted waits until part of a head was read on a connection, or the table is empty.
func awaitHeadStarted(t *testing.T, table *Table, conn *Conn) {
	t.Helper()
	agenttest.Eventually(t, "the first half read", func() bool {
		table.mu.Lock()
		defer table.mu.Unlock()
		return conn.head.started || len(table.conns) == 0
	})
}

// A connection that is ended while it waits for a head is closed without a response, and its slot
// is free then.
func TestEndedConnClosesWithoutResponse(t *testing.T) {
	for ending, end := range endings {
		t.Run(ending, func(t *testing.T) {
			hooks, table := &crossingHooks{}, NewTable(100, 100)
			server := serveOn(t, table, func(ln net.Listener) net.Listener { return crossingListener{ln, hooks} })
			conn := agenttest.Dial(t, server.addr)
			_ = conn.SetReadDeadline(time.Now().Add(agenttest.NoAnswerTimeout))
			reader := bufio.NewReader(conn)
			io.WriteString(conn, agenttest.RequestText("order", "first"))
			readOK(t, reader)
			awaitAtRest(t, table, hooks, stageIdle)
			table.Resize(100, 0)
			end(table)
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Fatalf("got %v, want %v", err, io.EOF)
			}
			agenttest.Eventually(t, "the slot free", func() bool { return table.Count() == 0 })
		})
	}
}
