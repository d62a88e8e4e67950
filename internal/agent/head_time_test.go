package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/socket"
)

// The timeout that a backend is sent counts from when the request's head was read: the time until
// the handler ran is part of it.
func TestDeadlineCountsFromTheRead(t *testing.T) {
	told := make(chan string, 1)
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get("Request-Timeout")
	}))
	t.Cleanup(backend.Close)
	agent, _, _, _ := start(t, agenttest.Config(nowhere, backend.Listener.Addr().String()))
	server, client := net.Pipe()
	t.Cleanup(func() { server.Close(); client.Close() })
	const held = 5 * time.Second
	conn := &clientConn{Conn: server, table: agent.clients, head: headState{receivedAt: time.Now().Add(-held)}}
	req := httptest.NewRequest(http.MethodPost, "/order/u1", nil)
	req.Header.Set("Request-Id", "held")
	req.Header.Set("Request-Timeout", "30000m")
	w := httptest.NewRecorder()
	agent.ServeHTTP(w, req.WithContext(context.WithValue(req.Context(), connKey{}, conn)))
	if w.Code != 200 {
		t.Fatalf("answered %d", w.Code)
	}
	if left, err := parseTimeout(<-told, time.Minute); err != nil || left > 30*time.Second-held {
		t.Fatalf("told %v of 30 s, %v after the head was read; %v", left, held, err)
	}
}

// A head counts as received at its last read, and reads next to the handler don't change that.
func TestHeadsTimeIsThatOfItsLastRead(t *testing.T) {
	server, client := net.Pipe()
	t.Cleanup(func() { server.Close(); client.Close() })
	table := newClientTable(1, 1)
	conn := &clientConn{Conn: server, table: table, stageSince: time.Now()}
	read := func(text string) time.Time {
		go func() { _, _ = client.Write([]byte(text)) }()
		if n, err := conn.Read(make([]byte, 4096)); n != len(text) || err != nil {
			t.Fatalf("read %d, %v", n, err)
		}
		at, _ := table.beginRequest(conn)
		return at
	}
	first := read("first")
	table.setStage(conn, stageIdle)
	before := time.Now()
	second := read("second")
	if !first.Before(before) || second.Before(before) || second.After(time.Now()) {
		t.Fatalf("read at %v, then at %v; the second after %v", first, second, before)
	}
	if body := read("body"); body != second {
		t.Fatalf("its body's read counts: %v, the head's was at %v", body, second)
	}
}

// endHookConn calls a hook when a read deadline is set.
type endHookConn struct {
	net.Conn
	ended func()
}

func (c endHookConn) SetReadDeadline(time.Time) error {
	c.ended()
	return nil
}

// For a connection that waits for a slot a request counts as received when its bytes were seen.
func TestTimeCountsWhileAPlaceIsWaitedFor(t *testing.T) {
	table, ln := newClientTable(1, 1), listen(t)
	table.acquireTimeout = time.Minute
	kept, _ := net.Pipe()
	var c *clientConn
	// Closed a moment after it was evicted, so that the first acquire fails.
	c = &clientConn{Conn: endHookConn{kept, func() { go c.Close() }}, table: table, stage: stageIdle, stageSince: time.Now()}
	table.acquire(c, time.Now())
	client := dial(t, "http://"+ln.Addr().String())
	if _, err := client.Write([]byte(strings.Repeat("x", 20))); err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	agenttest.Eventually(t, "the bytes there", func() bool { return socket.Peek(accepted) == socket.PeekUnread })
	listener := &clientListener{Listener: ln, table: table}
	placed := listener.acquireSlot(accepted)
	if placed == nil {
		t.Fatal("no place")
	}
	seen, after := placed.firstSeenAt, time.Now()
	if _, err := placed.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	if at, _ := table.beginRequest(placed); seen.IsZero() || at != seen || at.After(after) {
		t.Fatalf("its time counts from %v, its bytes were seen at %v", at, seen)
	}
}
