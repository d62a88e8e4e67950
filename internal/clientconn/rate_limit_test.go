package clientconn

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// rateBurst events happen at once, and the following ones at the rate. No event is delayed for
// longer than maxRateDelay, and unused time counts up to rateBurst events.
func TestRateLimitDelaysEventsAboveTheRate(t *testing.T) {
	const interval = 10 * time.Millisecond
	limit, now := rateLimit{interval: interval}, time.Now()
	for range 2 {
		for i := range rateBurst + 1 {
			if got := limit.reserve(now); got != 0 {
				t.Fatalf("event %d: got delayed by %v, want none", i, got)
			}
		}
		for i := 1; i < int(maxRateDelay/interval); i++ {
			if got, want := limit.reserve(now), time.Duration(i)*interval; got != want {
				t.Fatalf("event %d above the burst: got a delay of %v, want %v", i, got, want)
			}
		}
		for range 1000 {
			if got := limit.reserve(now); got != maxRateDelay {
				t.Fatalf("got a delay of %v at the maximum, want %v", got, maxRateDelay)
			}
		}
		now = now.Add(time.Hour)
	}
	unlimited := rateLimit{}
	for range 1000 {
		if got := unlimited.reserve(now); got != 0 {
			t.Fatalf("got a delay of %v without a limit, want none", got)
		}
	}
}

// Guards against a client that sends requests without waiting for the responses and keeps the
// processor, so that others wait: the server pauses before each of them.
func TestServerPausesBeforePipelinedRequests(t *testing.T) {
	const requests = 20
	var pauses atomic.Int32
	table := NewTable(1, 1)
	table.sleep = func(time.Duration) { pauses.Add(1) }
	server := serve(t, table)
	conn := agenttest.Dial(t, server.addr)
	io.WriteString(conn, strings.Repeat(agenttest.RequestText("order", "same"), requests))
	reader := bufio.NewReader(conn)
	for range requests {
		readOK(t, reader)
	}
	if got := pauses.Load(); got != requests-1 {
		t.Errorf("got %d pauses before %d requests that arrived together, want one before each but the first", got, requests)
	}
}

// A delayed answer is given at once if its slot is needed, and the connection then closes with it.
// Until the response is written, the connection counts as one that is about to close.
func TestDelayedAnswerIsGivenForANewConnection(t *testing.T) {
	now := time.Now()
	table, conn := NewTable(1, 1), &Conn{stage: stageActive, stageSince: now}
	add(t, table, conn, now)
	table.answers = rateLimit{interval: time.Hour, next: now.Add(time.Hour)}
	delay, ended := conn.beginDelay(now)
	if delay != maxRateDelay || conn.wait != delaysAnswer {
		t.Fatalf("got a delay of %v, wait %d; want %v, %d", delay, conn.wait, maxRateDelay, delaysAnswer)
	}
	server, _ := net.Pipe()
	next := &Conn{Conn: server, table: table, stageSince: now}
	if table.acquire(next, now.Add(stalledGrace-1)) || conn.wait != delaysAnswer {
		t.Fatal("got the delay ended before its grace, want it kept")
	}
	for range 2 {
		if table.acquire(next, now.Add(stalledGrace)) || table.closingCount() != 1 {
			t.Fatal("got no connection about to close, want the evicted one")
		}
	}
	agenttest.Receive(t, ended, "the end of the delay")
	if !conn.endDelay() {
		t.Fatal("got a connection that is not evicted, want an evicted one")
	}
	if conn.DelayAnswer(nil); conn.wait != waitEvicted {
		t.Fatal("got an evicted connection delayed again, want its answer at once")
	}
	conn.MarkRejected()
	_ = conn.CloseWrite()
	if !table.acquire(next, now.Add(stalledGrace)) {
		t.Fatal("got no slot, want that of the evicted connection")
	}
}

// A delay ends when its client has disconnected, and leaves the connection as it was.
func TestDelayedAnswerEndsWithItsRequest(t *testing.T) {
	table, conn := NewTable(1, 1), &Conn{stage: stageActive}
	add(t, table, conn, time.Now())
	table.answers = rateLimit{interval: time.Hour, next: time.Now().Add(time.Hour)}
	canceled := make(chan struct{})
	close(canceled)
	if evicted := conn.DelayAnswer(canceled); evicted || conn.wait != notWaiting {
		t.Errorf("got evicted %v, wait %d; want false, %d", evicted, conn.wait, notWaiting)
	}
}

// writeHookConn calls a hook before each write.
type writeHookConn struct {
	net.Conn
	onWrite func()
}

func (c writeHookConn) Write(text []byte) (int, error) {
	c.onWrite()
	return c.Conn.Write(text)
}

// writeHookListener returns connections that call a hook before each write.
type writeHookListener struct {
	net.Listener
	onWrite func()
}

func (l writeHookListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return writeHookConn{conn, l.onWrite}, err
}

// Guards against connections that hold their slot after the HTTP server itself has rejected their
// head, and against clients that come back at once: such an answer counts as one without a backend.
func TestAnswerOfTheServerItselfIsARejection(t *testing.T) {
	table := NewTable(1, 1)
	table.SetAnswerRate(1)
	var rejected, counted atomic.Bool
	server := serveOn(t, table, func(ln net.Listener) net.Listener {
		return writeHookListener{ln, func() {
			rejected.Store(onlyConnIs(table, func(conn *Conn) bool { return conn.stage == stageRejected }))
			counted.Store(onlyConnIs(table, func(conn *Conn) bool { return !conn.table.answers.next.IsZero() }))
		}}
	})
	conn := agenttest.Dial(t, server.addr)
	io.WriteString(conn, "\x16\x03\x01\x02\r\n\r\n")
	if got := agenttest.ReadToEnd(t, conn); !strings.HasPrefix(got, "HTTP/1.1 400") {
		t.Fatalf("got %q, want status 400", got)
	}
	if !rejected.Load() || !counted.Load() {
		t.Errorf("got rejected %v, counted %v when the answer was written, want true", rejected.Load(), counted.Load())
	}
	rejected.Store(false)
	if server.request(t, "valid"); rejected.Load() {
		t.Error("got the response of a handler taken for a rejection")
	}
}
