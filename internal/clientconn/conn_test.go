package clientconn

import (
	"io"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// readInBackground reads one byte of a connection whose request is in progress, as the server does
// while a handler runs. The client sends the text in the meantime.
func readInBackground(t *testing.T, conn *Conn, client io.Writer, text string) (n int, err error) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		n, err = conn.Read(make([]byte, 1))
		close(ended)
	}()
	if _, err := io.WriteString(client, text); err != nil {
		t.Fatal(err)
	}
	_ = conn.Conn.SetReadDeadline(time.Now()) // as the server does once the response is written
	<-ended
	return n, err
}

// Bytes that a client sends during a request are read ahead, and the next reads of the server
// return them.
func TestConnPassesReadAheadOn(t *testing.T) {
	conn := &Conn{stage: stageActive}
	client := add(t, NewTable(1, 1), conn, time.Now())
	if n, err := readInBackground(t, conn, client, "GET /"); n != 1 || err != nil {
		t.Fatalf("got %d bytes, %v; want 1", n, err)
	}
	buffer := make([]byte, 3)
	for _, want := range []string{"ET ", "/"} {
		n, err := conn.Read(buffer)
		if got := string(buffer[:n]); got != want || err != nil {
			t.Errorf("got %q, %v; want %q", got, err, want)
		}
	}
}

// At most maxReadAhead of the bytes that a client sends during a request are buffered. If there are
// more, the connection ends after the buffered ones, as no further request can be read.
func TestConnEndsAfterReadAheadOverflow(t *testing.T) {
	conn := &Conn{stage: stageActive}
	client := add(t, NewTable(1, 1), conn, time.Now())
	if n, err := readInBackground(t, conn, client, strings.Repeat("x", maxReadAhead+2)); n != 1 || err != nil {
		t.Fatalf("got %d bytes, %v; want 1", n, err)
	}
	if n, err := conn.Read(make([]byte, 2*maxReadAhead)); n != maxReadAhead || err != nil {
		t.Errorf("got %d bytes, %v; want %d", n, err, maxReadAhead)
	}
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("got %d bytes, %v; want the end", n, err)
	}
}

// Guards against a client that sends without a pause while its request is in progress and keeps the
// processor, so that others wait: the connection pauses between its reads.
func TestConnPausesWhileItDiscards(t *testing.T) {
	pauses := 0
	table, ln := NewTable(1, 1), listen(t)
	table.sleep = func(time.Duration) { pauses++ }
	client := agenttest.Dial(t, ln.Addr().String())
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	conn := &Conn{Conn: accepted, table: table, stage: stageActive}
	go func() {
		defer client.Close()
		io.WriteString(client, strings.Repeat("x", 1<<20))
	}()
	if err := conn.watchForDisconnect(); err != io.EOF {
		t.Fatalf("got %v, want the end of the connection", err)
	}
	if !conn.readAheadOverflowed || pauses == 0 {
		t.Errorf("got overflowed %v and %d pauses, want true and some", conn.readAheadOverflowed, pauses)
	}
}

// The handler watches for a disconnect only if the server doesn't: while it holds a byte of a next
// request. What is read meanwhile is passed on.
func TestConnWatchesForDisconnectInPlaceOfTheServer(t *testing.T) {
	conn := &Conn{stage: stageActive}
	client := add(t, NewTable(1, 1), conn, time.Now())
	if gone, stop := conn.WatchDisconnect(); gone != nil {
		t.Error("got a watch while the server reads in the background, want none")
	} else {
		stop()
	}
	if n, err := readInBackground(t, conn, client, "GE"); n != 1 || err != nil {
		t.Fatalf("got %d bytes, %v; want 1", n, err)
	}
	_ = conn.Conn.SetReadDeadline(time.Time{})
	_, stop := conn.WatchDisconnect()
	_ = client.SetWriteDeadline(time.Now().Add(agenttest.WaitTimeout))
	io.WriteString(client, "T")
	stop()
	buffer := make([]byte, 3)
	if n, err := conn.Read(buffer); string(buffer[:n]) != "ET" || err != nil {
		t.Errorf("got %q, %v; want the bytes that were read during the watch", buffer[:n], err)
	}
	if gone, stop := conn.WatchDisconnect(); gone != nil {
		t.Error("got a watch after the server has read on, want none")
	} else {
		stop()
	}
	conn.serverHoldsByte.Store(true)
	gone, stop := conn.WatchDisconnect()
	client.Close()
	agenttest.Receive(t, gone, "the disconnect")
	stop()
}
