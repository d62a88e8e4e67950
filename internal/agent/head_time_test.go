package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// The time that a server is told counts from when the request's head was read. What passed
// until the handler had its turn is not the client's to lose.
func TestDeadlineCountsFromTheRead(t *testing.T) {
	told := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get("Request-Timeout")
	}))
	t.Cleanup(s.Close)
	a, _, _, _ := start(t, config(nowhere, s.Listener.Addr().String()))
	server, client := net.Pipe()
	t.Cleanup(func() { server.Close(); client.Close() })
	const held = 5 * time.Second
	c := &clientConn{Conn: server, table: a.clients, headReceivedAt: time.Now().Add(-held)}
	req := httptest.NewRequest(http.MethodPost, "/order/u1", nil)
	req.Header.Set("Request-Id", "held")
	req.Header.Set("Request-Timeout", "30000m")
	w := httptest.NewRecorder()
	a.ServeHTTP(w, req.WithContext(context.WithValue(req.Context(), connKey{}, c)))
	if w.Code != 200 {
		t.Fatalf("answered %d", w.Code)
	}
	if left, err := parseTimeout(<-told, time.Minute); err != nil || left > 30*time.Second-held {
		t.Fatalf("told %v of 30 s, %v after the head was read; %v", left, held, err)
	}
}

// The time of a head is that of its last read, and isn't changed by what comes beside its answer.
func TestHeadsTimeIsThatOfItsLastRead(t *testing.T) {
	server, client := net.Pipe()
	t.Cleanup(func() { server.Close(); client.Close() })
	p := newClientTable(1, 1)
	c := &clientConn{Conn: server, table: p, stageSince: time.Now()}
	read := func(text string) time.Time {
		go func() { _, _ = client.Write([]byte(text)) }()
		if n, err := c.Read(make([]byte, 4096)); n != len(text) || err != nil {
			t.Fatalf("read %d, %v", n, err)
		}
		at, _ := p.beginRequest(c)
		return at
	}
	first := read("first")
	p.setStage(c, stageIdle)
	before := time.Now()
	second := read("second")
	if !first.Before(before) || second.Before(before) || second.After(time.Now()) {
		t.Fatalf("read at %v, then at %v; the second after %v", first, second, before)
	}
	if body := read("body"); body != second {
		t.Fatalf("its body's read counts: %v, the head's was at %v", body, second)
	}
}

// endHookConn tells when its read is ended.
type endHookConn struct {
	net.Conn
	ended func()
}

func (c endHookConn) SetReadDeadline(time.Time) error {
	c.ended()
	return nil
}

// For a connection that waits for its place the time counts from when its bytes were there.
func TestTimeCountsWhileAPlaceIsWaitedFor(t *testing.T) {
	p, ln := newClientTable(1, 1), listen(t)
	p.acquireTimeout = time.Minute
	kept, _ := net.Pipe()
	var c *clientConn
	// Closed a moment after it was ended for the other: the first look for a place fails.
	c = &clientConn{Conn: endHookConn{kept, func() { go c.Close() }}, table: p, stage: stageIdle, stageSince: time.Now()}
	p.acquire(c, time.Now())
	client := dial(t, "http://"+ln.Addr().String())
	if _, err := client.Write([]byte(strings.Repeat("x", 20))); err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	eventually(t, "the bytes there", func() bool { return peekConn(accepted) > 0 })
	l := &clientListener{Listener: ln, table: p}
	placed := l.place(accepted)
	if placed == nil {
		t.Fatal("no place")
	}
	seen, after := placed.firstSeenAt, time.Now()
	if _, err := placed.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	if at, _ := p.beginRequest(placed); seen.IsZero() || at != seen || at.After(after) {
		t.Fatalf("its time counts from %v, its bytes were seen at %v", at, seen)
	}
}
