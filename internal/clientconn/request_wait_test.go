package clientconn

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// handleBody reads a body as the agent's handler does, without a timeout of its own. It rejects a
// request with 503 if its connection is evicted.
func handleBody(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*Conn)
	conn.BeginRequest()
	conn.BeginBody(400, time.Now().Add(agenttest.LongTimeout))
	_, err := io.Copy(io.Discard, r.Body)
	evicted := conn.EndBody(err == nil)
	w.Header().Set("Connection", "close")
	switch {
	case err == nil:
	case evicted:
		conn.MarkRejected()
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// Guards against requests that wait behind clients which have sent a part of a body and stay. Each
// is evicted for a new client, and is answered.
func TestTableEvictsUnfinishedBodies(t *testing.T) {
	const slots = 5
	table := NewTable(slots, slots)
	table.SetTimeouts(defaultSilentGrace, agenttest.LongTimeout)
	server := serveWith(t, table, http.HandlerFunc(handleBody))
	answers := make(chan string, slots)
	for i := range slots {
		conn := agenttest.Dial(t, server.addr)
		io.WriteString(conn, agenttest.RequestTextWithBody("order", fmt.Sprint("half", i), 400, "half"))
		go func() { answers <- agenttest.ReadToEnd(t, conn) }()
	}
	agenttest.Eventually(t, "all bodies awaited", func() bool { return table.awaitedBodies() == slots })
	for i := range slots {
		if _, response := server.request(t, fmt.Sprint("whole", i)); response.StatusCode != http.StatusOK {
			t.Errorf("got status %d, want 200", response.StatusCode)
		}
	}
	answer := agenttest.Receive(t, answers, "the answer to an evicted request")
	if !strings.HasPrefix(answer, "HTTP/1.1 503") {
		t.Errorf("got %q for an evicted request, want status 503", answer)
	}
}

// awaitedBodies returns the number of connections whose handler waits for a body.
func (t *Table) awaitedBodies() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		if conn.wait == awaitsBody {
			n++
		}
	}
	return n
}

// Guards against rejected clients that never send the rest of a body and hold their slot as long as
// the server waits for it.
func TestTableEvictsRejectedRequestsWithUnfinishedBodies(t *testing.T) {
	table := NewTable(1, 1)
	table.SetTimeouts(defaultSilentGrace, agenttest.LongTimeout)
	server := serveWith(t, table, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := r.Context().Value(connKey{}).(*Conn)
		conn.BeginRequest()
		w.Header().Set("Connection", "close")
		if r.ContentLength > 0 {
			conn.MarkRejected()
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	io.WriteString(agenttest.Dial(t, server.addr), agenttest.RequestTextWithBody("order", "half", 400, "half"))
	agenttest.Eventually(t, "the request rejected", func() bool {
		return onlyConnIs(table, func(conn *Conn) bool { return conn.stage == stageRejected })
	})
	if _, response := server.request(t, "whole"); response.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", response.StatusCode)
	}
}

// A body that is complete although its connection was evicted is used, and the connection can read
// on. An evicted connection counts as closing until its response is written.
func TestEvictedBodyThatIsCompleteIsUsed(t *testing.T) {
	table, conn := NewTable(1, 1), &Conn{stage: stageActive}
	client := add(t, table, conn, time.Now())
	conn.BeginBody(400, time.Now().Add(agenttest.LongTimeout))
	table.mu.Lock()
	table.evict(conn)
	if got := table.closingCount(); got != 1 {
		t.Errorf("got %d connections closing, want the evicted one", got)
	}
	table.mu.Unlock()
	if !conn.EndBody(true) {
		t.Error("got a body that was not evicted, want an evicted one")
	}
	go io.WriteString(client, "next")
	if n, err := conn.Read(make([]byte, 10)); n != len("next") || err != nil {
		t.Errorf("got %d bytes, %v; want 4 and no error", n, err)
	}
	if conn.EndBody(true) {
		t.Error("got a second body evicted, want none")
	}
}

// A client that sends at least minProgress bytes in each stalledGrace is not stalled. One that sends
// single bytes is, however often it sends them.
func TestProgressFollowsReceivedBytes(t *testing.T) {
	var p progress
	now := time.Now()
	if p.add(1, now); p.stalled(now.Add(time.Hour)) {
		t.Error("got a connection without a request stalled, want it not to be")
	}
	p.start(now)
	for range 10 {
		now = now.Add(stalledGrace - 1)
		if p.stalled(now) {
			t.Fatal("got a connection stalled that goes on, want it not to be")
		}
		p.add(minProgress, now)
	}
	for range minProgress - 1 {
		p.add(1, now)
	}
	if now = now.Add(stalledGrace); !p.stalled(now) {
		t.Error("got a connection not stalled that received single bytes, want it stalled")
	}
}

// The first byte behind the body is found whatever the reads are. It says whether the body is too
// long, unless it isn't known where the head ends.
func TestBodyEndIsTheFirstByteBehindTheBody(t *testing.T) {
	for _, c := range []struct {
		name    string
		length  int64
		tracked bool
		reads   []string
		want    bool
	}{
		{"nothing behind", 4, true, []string{"body"}, false},
		{"incomplete", 4, true, []string{"bod"}, false},
		{"next request", 4, true, []string{"bo", "dyGET /"}, false},
		{"blank line", 4, true, []string{"body", "\r\n"}, false},
		{"longer", 4, true, []string{"bodyx"}, true},
		{"longer, later", 4, true, []string{"bo", "dy", "x", "GET /"}, true},
		{"no body", 0, true, []string{"{}"}, true},
		{"unknown end of the head", 4, false, []string{"bodyx"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := &Conn{stage: stageActive, bodyEnd: bodyEnd{left: c.length, tracked: c.tracked}}
			add(t, NewTable(1, 1), conn, time.Now())
			for _, read := range c.reads {
				conn.bodyEnd.add([]byte(read))
			}
			if got := conn.IsBodyTooLong(); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
