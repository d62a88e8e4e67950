package clientconn

import (
	"io"
	"strings"
	"testing"
	"time"
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
