package clientconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// Connections that are silent, idle forever or stuck in an unfinished request must not block a new
// client. One of them is evicted for it.
func TestTableEvictsForNewConnection(t *testing.T) {
	const slots = 29
	for _, state := range []string{"silent", "idle", "head unfinished"} {
		t.Run(state, func(t *testing.T) {
			table := NewTable(slots, slots) // all are kept alive
			server := serve(t, table)
			for i := range slots {
				conn := agenttest.Dial(t, server.addr)
				if state != "silent" {
					conn, _ = server.requestOn(t, conn, fmt.Sprint("fill", i))
				}
				if state == "head unfinished" {
					io.WriteString(conn, "P")
				}
				agenttest.Eventually(t, "a slot taken", func() bool { return table.Count() == i+1 })
			}
			if state != "silent" {
				agenttest.Eventually(t, "all "+state, func() bool { return ageIdle(table, state == "head unfinished") })
			}
			if _, resp := server.request(t, "new"); resp.StatusCode != 200 {
				t.Fatalf("got status %d, want 200", resp.StatusCode)
			}
		})
	}
}

// ageIdle reports whether all connections are idle and, depending on started, have or don't have a
// head in progress. If so, it moves their stageSince back by idleGrace.
func ageIdle(table *Table, started bool) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	for conn := range table.conns {
		if conn.stage != stageIdle || conn.head.started != started {
			return false
		}
	}
	for conn := range table.conns {
		conn.stageSince = conn.stageSince.Add(-idleGrace)
	}
	return true
}

// A connection that has a request in progress or was just accepted is never evicted. A new
// connection is evicted if its head does not arrive in time. Its slot is free once the server has
// closed it.
func TestTableKeepsConnectionsInUse(t *testing.T) {
	table, now := NewTable(3, 3), time.Now()
	for _, stage := range []connStage{stageActive, stageActive} {
		conn := &Conn{stage: stage, stageSince: now}
		conn.received.Store(true)
		add(t, table, conn, now)
	}
	unfinished := &Conn{stage: stageNew, stageSince: now}
	unfinished.received.Store(true)
	add(t, table, unfinished, now)
	server, _ := net.Pipe()
	next := &Conn{Conn: server, table: table, stageSince: now}
	if got := table.acquire(next, now); got || table.Count() != 3 {
		t.Fatalf("got a slot %v and %d connections, want none and 3: all are in use", got, table.Count())
	}
	// The HTTP server also reads, and closes the connection when that read ends.
	ended := make(chan error, 1)
	go func() {
		_, err := unfinished.Read(make([]byte, 4096))
		ended <- err
	}()
	later := now.Add(unfinishedGrace)
	if got := table.acquire(next, later); got || table.Count() != 3 {
		t.Fatalf("got a slot %v and %d connections, want none before the evicted one is closed", got, table.Count())
	}
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("got %v from the read of the evicted connection, want %v", err, os.ErrDeadlineExceeded)
	}
	unfinished.Close()
	if got := table.acquire(next, later); !got || table.Count() != 3 {
		t.Fatalf("got a slot %v and %d connections, want the slot of the closed one", got, table.Count())
	}
}

// closingConn calls a hook at the start of Close.
type closingConn struct {
	net.Conn
	closing func()
}

func (c closingConn) Close() error {
	c.closing()
	return c.Conn.Close()
}

// A slot is freed only after the descriptor is closed. Otherwise the old and a new connection would
// be open at the same time.
func TestTableFreesSlotAfterDescriptorIsClosed(t *testing.T) {
	table := NewTable(1, 1)
	server, client := net.Pipe()
	defer client.Close()
	closed := false
	conn := &Conn{table: table, Conn: closingConn{server, func() {
		if closed = true; table.Count() != 1 {
			t.Errorf("got %d slots taken while the descriptor is open, want 1", table.Count())
		}
	}}}
	if !table.acquire(conn, time.Now()) {
		t.Fatal("got no slot, want one, as the table is empty")
	}
	if err := conn.Close(); err != nil || !closed || table.Count() != 0 {
		t.Fatalf("got closed %v, %v, %d slots taken; want closed, no error, 0", closed, err, table.Count())
	}
}

// While more than maxKeepAlive connections are kept alive, those that have been idle for idleGrace
// are reaped, and not earlier.
func TestTableReapsLongIdleConnections(t *testing.T) {
	table := NewTable(10, 3)
	server := serve(t, table)
	for i := range 3 {
		server.request(t, fmt.Sprint("kept", i))
	}
	table.Resize(10, 2)
	table.reapIdle(time.Now().Add(-time.Hour))
	if got := table.Count(); got != 3 {
		t.Fatalf("got %d connections, want 3: none has been idle for long", got)
	}
	// A connection that isn't idle yet would stay, as two connections are not too many.
	agenttest.Eventually(t, "all idle", func() bool { return ageIdle(table, false) })
	table.reapIdle(time.Now())
	agenttest.Eventually(t, "all reaped", func() bool { return table.Count() == 0 })
}

// ReapIdleUntil reaps periodically, and returns when its context ends.
func TestReapIdleUntilEndsWithContext(t *testing.T) {
	table := NewTable(10, 1)
	server := serve(t, table)
	for i := range 2 {
		server.request(t, fmt.Sprint("kept", i))
	}
	table.Resize(10, 0)
	agenttest.Eventually(t, "all idle", func() bool { return ageIdle(table, false) })
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		table.ReapIdleUntil(ctx)
		close(ended)
	}()
	agenttest.Eventually(t, "all reaped", func() bool { return table.Count() == 0 })
	select {
	case <-ended:
		t.Error("got ReapIdleUntil ended before its context, want it to go on")
	default:
	}
	stop()
	agenttest.Receive(t, ended, "the end of ReapIdleUntil")
}

// CloseIdle closes a new connection on which nothing has arrived only if includeNew is set.
func TestCloseIdleKeepsNewConnections(t *testing.T) {
	table, conn := NewTable(1, 1), &Conn{stageSince: time.Now()}
	add(t, table, conn, time.Now())
	if table.CloseIdle(false); conn.closing {
		t.Error("got a new connection ended, want it kept")
	}
	if table.CloseIdle(true); !conn.closing {
		t.Error("got a new connection kept, want it ended")
	}
	if got := table.Count(); got != 1 {
		t.Errorf("got %d connections, want 1 until the server has closed it", got)
	}
}

// Resize takes effect for the next connection. Connections above a lowered limit stay open.
func TestTableResizeKeepsConnections(t *testing.T) {
	table, now := NewTable(2, 2), time.Now()
	for range 2 {
		add(t, table, &Conn{stage: stageActive, stageSince: now}, now)
	}
	table.Resize(1, 1)
	if maxConns, maxKeepAlive := table.Limits(); maxConns != 1 || maxKeepAlive != 1 {
		t.Errorf("got limits %d and %d, want 1 and 1", maxConns, maxKeepAlive)
	}
	if got := table.Count(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
	if table.MayKeepAlive() {
		t.Error("got connections kept alive above the limit, want them closed with their response")
	}
	table.Resize(3, 2)
	add(t, table, &Conn{stageSince: now}, now)
	if !table.MayKeepAlive() {
		t.Error("got connections closed with their response within the limit, want them kept alive")
	}
}
