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

// raceConn is a client's connection with hooks that run after a read and before the Conn handles
// its result. One hook is for a read that returned bytes, the other for a read that timed out.
type raceConn struct {
	*net.TCPConn
	hooks *raceHooks
}

type raceHooks struct {
	afterBytes, afterTimeout atomic.Pointer[func()]
	reading                  atomic.Bool // a read is in progress
}

// runOnce runs a hook and removes it.
func runOnce(hook *atomic.Pointer[func()]) {
	if run := hook.Swap(nil); run != nil {
		(*run)()
	}
}

func (c raceConn) Read(buffer []byte) (int, error) {
	c.hooks.reading.Store(true)
	n, err := c.TCPConn.Read(buffer)
	c.hooks.reading.Store(false)
	switch {
	case n > 0:
		runOnce(&c.hooks.afterBytes)
	case errors.Is(err, os.ErrDeadlineExceeded) && len(buffer) > 1: // the background read during a handler has one byte
		runOnce(&c.hooks.afterTimeout)
	}
	return n, err
}

type raceListener struct {
	net.Listener
	hooks *raceHooks
}

func (l raceListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return raceConn{conn.(*net.TCPConn), l.hooks}, nil
}

// timeoutClose is the key in closers of the server's own timeouts.
const timeoutClose = "timeout"

// closers are the ways in which a connection without a request in progress is closed.
var closers = map[string]func(table *Table){
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
	timeoutClose: func(table *Table) { // simulates the keep-alive timeout, or the timeout of a first head
		table.mu.Lock()
		defer table.mu.Unlock()
		for conn := range table.conns {
			_ = conn.Conn.SetReadDeadline(time.Now())
		}
	},
}

// acquireAnother requests a slot for another connection, and then closes that connection.
func acquireAnother(table *Table) {
	server, client := net.Pipe()
	client.Close()
	next := &Conn{Conn: server, table: table}
	table.acquire(next, time.Now().Add(idleGrace))
	next.Close()
}

// awaitReadOfHead waits until the only connection of a table is in the given stage and a read waits
// for a head. Before that, the server may still change the read deadline. It returns the
// connection.
func awaitReadOfHead(t *testing.T, table *Table, hooks *raceHooks, want connStage) *Conn {
	t.Helper()
	agenttest.Eventually(t, "the connection awaits a head", func() bool {
		atStage := onlyConnIs(table, func(conn *Conn) bool { return conn.stage == want && !conn.head.started })
		return atStage && hooks.reading.Load()
	})
	return onlyConn(table)
}

// A request may arrive while its connection is being closed, for any reason. It gets exactly one
// response if any of it was read, or if it arrived before the server noticed that nothing had
// arrived.
func TestConnAnswersRequestThatRacesWithItsClose(t *testing.T) {
	for closer := range closers {
		for stage, name := range map[connStage]string{stageNew: "new", stageIdle: "idle"} {
			if stage == stageNew && closer == "reaped" {
				continue // only idle connections are reaped
			}
			for _, arrival := range []string{"read", "unread", "half read", "half unread"} {
				t.Run(closer+" "+name+" "+arrival, func(t *testing.T) { runCloseRace(t, closer, stage, arrival) })
			}
		}
	}
}

// runCloseRace closes a connection in the given stage and sends a request. All or half of the
// request arrives just before the server notices the close, and is either read or still unread by
// then.
func runCloseRace(t *testing.T, closer string, stage connStage, arrival string) {
	hooks, table := &raceHooks{}, NewTable(100, 100)
	server := serveOn(t, table, func(ln net.Listener) net.Listener { return raceListener{ln, hooks} })
	client := agenttest.Dial(t, server.addr)
	_ = client.SetReadDeadline(time.Now().Add(agenttest.WaitTimeout))
	reader := bufio.NewReader(client)
	if stage == stageIdle {
		io.WriteString(client, agenttest.RequestText("order", "first"))
		readOK(t, reader)
		<-server.received
	}
	conn := awaitReadOfHead(t, table, hooks, stage)
	if stage == stageIdle {
		table.Resize(100, 0) // too many are kept alive, so the connection may be reaped
	}
	text, rest := agenttest.RequestText("order", "racing"), ""
	if strings.HasPrefix(arrival, "half") {
		text, rest = text[:20], text[20:]
	}
	if strings.HasSuffix(arrival, "unread") {
		hook := func() {
			io.WriteString(client, text)
			agenttest.Eventually(t, "the bytes arrived", func() bool { return socket.Peek(conn.Conn) == socket.PeekUnread })
		}
		hooks.afterTimeout.Store(&hook)
		closers[closer](table)
	} else {
		hook := func() { closers[closer](table) }
		hooks.afterBytes.Store(&hook)
		io.WriteString(client, text)
	}
	if rest != "" {
		awaitHeadStarted(t, table, conn)
		io.WriteString(client, rest)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close && closer != timeoutClose {
		t.Fatalf("got response %v, %v; want status 200 and Connection: close", resp, err)
	}
	if id := <-server.received; id != "racing" || len(server.received) > 0 {
		t.Fatalf("got request %q and %d more, want %q alone", id, len(server.received), "racing")
	}
}

// awaitHeadStarted waits until part of a head was read from the connection or the table is empty.
func awaitHeadStarted(t *testing.T, table *Table, conn *Conn) {
	t.Helper()
	agenttest.Eventually(t, "the first half read", func() bool {
		table.mu.Lock()
		defer table.mu.Unlock()
		return conn.head.started || len(table.conns) == 0
	})
}

// A connection that is closed while it waits for a head gets no response, and its slot becomes
// free.
func TestConnClosedByTableGetsNoResponse(t *testing.T) {
	for closer, closeConns := range closers {
		t.Run(closer, func(t *testing.T) {
			hooks, table := &raceHooks{}, NewTable(100, 100)
			server := serveOn(t, table, func(ln net.Listener) net.Listener { return raceListener{ln, hooks} })
			conn := agenttest.Dial(t, server.addr)
			_ = conn.SetReadDeadline(time.Now().Add(agenttest.WaitTimeout))
			reader := bufio.NewReader(conn)
			io.WriteString(conn, agenttest.RequestText("order", "first"))
			readOK(t, reader)
			awaitReadOfHead(t, table, hooks, stageIdle)
			table.Resize(100, 0)
			closeConns(table)
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Fatalf("got %v, want %v", err, io.EOF)
			}
			agenttest.Eventually(t, "the slot free", func() bool { return table.Count() == 0 })
		})
	}
}
