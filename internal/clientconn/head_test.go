package clientconn

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/socket"
)

// A head's time of receipt is that of its last read. Reads while the handler runs don't change it.
func TestConnReceivedAtIsLastReadOfHead(t *testing.T) {
	table, conn := NewTable(1, 1), &Conn{stageSince: time.Now()}
	client := add(t, table, conn, time.Now())
	read := func(text string) time.Time {
		go func() { _, _ = client.Write([]byte(text)) }()
		if n, err := conn.Read(make([]byte, 4096)); n != len(text) || err != nil {
			t.Fatalf("got %d bytes, %v; want %d", n, err, len(text))
		}
		at, _ := conn.BeginRequest()
		return at
	}
	first := read("first")
	conn.setStage(stageIdle)
	before := time.Now()
	second := read("second")
	if !first.Before(before) || second.Before(before) || second.After(time.Now()) {
		t.Fatalf("got heads received at %v and %v, want the first before %v and the second after", first, second, before)
	}
	if body := read("body"); body != second {
		t.Fatalf("got %v after a read of the body, want %v, that of the head", body, second)
	}
}

// deadlineHookConn calls a hook whenever a read deadline is set.
type deadlineHookConn struct {
	net.Conn
	onDeadline func()
}

func (c deadlineHookConn) SetReadDeadline(time.Time) error {
	c.onDeadline()
	return nil
}

// For a connection that waited for a slot, a request's time of receipt is when its bytes were first
// seen.
func TestConnReceivedAtIsWhenBytesWereSeenBeforeSlot(t *testing.T) {
	table, ln := NewTable(1, 1), listen(t)
	table.SetTimeouts(defaultSilentGrace, agenttest.WaitTimeout)
	server, _ := net.Pipe()
	var kept *Conn
	// It is closed shortly after it was evicted, so that the first acquire fails.
	kept = &Conn{Conn: deadlineHookConn{server, func() { go kept.Close() }}, table: table, stage: stageIdle, stageSince: time.Now()}
	table.acquire(kept, time.Now())
	client := agenttest.Dial(t, ln.Addr().String())
	if _, err := client.Write([]byte(strings.Repeat("x", 20))); err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	agenttest.Eventually(t, "the bytes arrived", func() bool { return socket.Peek(accepted) == socket.PeekUnread })
	conn := NewListener(ln, table, slog.New(slog.DiscardHandler)).acquireSlot(accepted)
	if conn == nil {
		t.Fatal("got no slot, want that of the evicted connection")
	}
	seen, after := conn.firstSeenAt, time.Now()
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	if at, _ := conn.BeginRequest(); seen.IsZero() || at != seen || at.After(after) {
		t.Fatalf("got received at %v, want %v, when its bytes were first seen", at, seen)
	}
}

// The deadline of a head counts from its first byte, however slowly the other bytes arrive.
func TestHeadDeadlineCountsFromFirstByte(t *testing.T) {
	table := NewTable(1, 1)
	conn := &Conn{stage: stageIdle, stageSince: time.Now().Add(-time.Hour), head: headState{bufferSize: 4096}}
	client := add(t, table, conn, time.Now())
	var first time.Time
	for i := range 3 {
		_ = conn.SetReadDeadline(time.Now().Add(KeepAliveTimeout)) // as the server does in each stage
		go func() { _, _ = client.Write([]byte("P")) }()
		if n, err := conn.Read(make([]byte, 4096-i)); n != 1 || err != nil {
			t.Fatalf("got %d bytes, %v; want 1", n, err)
		}
		if i == 0 {
			first = conn.head.deadline
		}
		if got := conn.head.deadline; got != first || got.IsZero() || time.Until(got) > HeadTimeout {
			t.Fatalf("got deadline %v, want %v, that at the first byte, at most %v ahead", got, first, HeadTimeout)
		}
	}
}

// The table does not close a connection from which part of a request was read, even if it has no
// unread bytes.
func TestTableKeepsConnectionWithPartialHead(t *testing.T) {
	table := NewTable(10, 10)
	server := serve(t, table)
	conn := agenttest.Dial(t, server.addr)
	_ = conn.SetReadDeadline(time.Now().Add(agenttest.WaitTimeout))
	reader := bufio.NewReader(conn)
	for _, id := range []string{"first", "second"} {
		text := agenttest.RequestText("order", id)
		half := len(text) / 2
		io.WriteString(conn, text[:half])
		agenttest.Eventually(t, "half of the "+id+" request read", func() bool {
			return onlyConnIs(table, func(conn *Conn) bool {
				return conn.head.started && socket.Peek(conn.Conn) == socket.PeekNothing
			})
		})
		table.CloseIdle(true)
		table.Resize(10, 0) // so that too many connections are kept alive
		table.reapIdle(time.Now().Add(agenttest.LongTimeout))
		table.Resize(10, 10)
		io.WriteString(conn, text[half:])
		if resp := readOK(t, reader); resp.Close {
			t.Fatalf("the %s request: got Connection: close, want the connection kept", id)
		}
	}
}
