package clientconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// maxReadAhead is how many bytes are kept of what a client sends while its request is in
// progress.
const maxReadAhead = 4 << 10

// Conn is a client connection, entered in the client connection table from acquire to
// Close. Its life cycle:
//
//	accept ──► new ──► active ──► rejected ──► closed
//	            │       ▲  │
//	            │       │  ▼
//	            │      idle
//	            ▼       ▼
//	           closing (a flag, not a stage)
//
// new and idle become active when the head of a request is complete, active becomes idle when the
// response is written and the connection is kept. In new and idle the table may end the connection
// to free its slot, to reap it or at shutdown: it is then closing, and its pending read times out.
// When bytes of a request arrived before that was noticed, the request is still answered, with
// "Connection: close".
//
// The fields of the first group are guarded by table.mu, those of the second belong to the
// goroutine that reads: the server never has two reads of one connection in progress.
type Conn struct {
	net.Conn
	table    *Table
	received atomic.Bool // at least one byte was read

	// Guarded by table.mu.
	stage           connStage
	stageSince      time.Time // when the stage began; for a next request, when its head began
	closing         bool      // ended by the table; a request that still arrives is the last
	responseWritten bool      // the server has written all that it will write
	head            headState

	// Owned by the reading goroutine.
	firstSeenAt         time.Time // when unread bytes were first seen before a slot was free; zero: never
	readAhead           []byte    // read while a request was in progress, not yet passed to the server
	readAheadAt         time.Time // when the first byte of readAhead was read
	readAheadOverflowed bool      // bytes beyond maxReadAhead were dropped: no further request can be read
}

// NetConn returns the connection that the listener accepted, on which a caller may look for the
// client's close. It must not be read from, written to or closed.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read is called by the server: for heads and bodies, and with a buffer of one byte next to a
// running handler, to notice that the client has disconnected.
func (c *Conn) Read(buffer []byte) (n int, err error) {
	background := len(buffer) == 1
	var receivedAt time.Time
	switch {
	case len(c.readAhead) > 0:
		receivedAt = c.readAheadAt
		n = c.takeReadAhead(buffer)
	case c.readAheadOverflowed:
		return 0, io.EOF
	default:
		n, err = c.receive(buffer)
		// A client's deadline counts from when it wrote. How long the bytes were in the kernel
		// can't be known; all that passes from here on is part of the client's time.
		receivedAt = time.Now()
		if !c.firstSeenAt.IsZero() {
			receivedAt, c.firstSeenAt = c.firstSeenAt, time.Time{}
		}
	}
	if n == 0 {
		return n, err
	}
	c.received.Store(true)
	if active := c.recordRead(background, receivedAt); active && err == nil && background {
		return n, c.watchForDisconnect()
	}
	return n, err
}

// takeReadAhead moves bytes that were read ahead into the buffer, and returns how many.
func (c *Conn) takeReadAhead(buffer []byte) int {
	n := copy(buffer, c.readAhead)
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	return n
}

// receive reads from the socket. Bytes of a head that have arrived when its read times out are
// read nevertheless.
func (c *Conn) receive(buffer []byte) (int, error) {
	isHead := c.beginRead(len(buffer))
	n, err := c.Conn.Read(buffer)
	if n == 0 && isHead && errors.Is(err, os.ErrDeadlineExceeded) && c.retryAfterTimeout() {
		return c.Conn.Read(buffer)
	}
	return n, err
}

// watchForDisconnect reads on while a request is in progress, until the client disconnects or the
// response is written. The server itself stops watching at the first byte that arrives: a client
// that sends more and then disconnects would seem to be present, and its request be forwarded.
func (c *Conn) watchForDisconnect() error {
	chunk := make([]byte, maxReadAhead)
	for {
		n, err := c.Conn.Read(chunk)
		if room := maxReadAhead - len(c.readAhead); n > room {
			// Clients don't pipeline, so what is dropped is no request that anyone waits for.
			c.readAheadOverflowed = true
			n = room
		}
		if n > 0 && len(c.readAhead) == 0 {
			c.readAheadAt = time.Now()
		}
		c.readAhead = append(c.readAhead, chunk[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil // the response is written, or the time to read is over
		}
		if err != nil {
			return err
		}
	}
}

// Close closes the socket and then frees its slot in the table: in the reverse order the
// connection that takes the slot would be open beside this one, and exceed the limit.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.table.remove(c)
	return err
}

// CloseWrite lets the server shut down its sending side first, so that a client that is still
// sending reads its response before the connection is reset.
func (c *Conn) CloseWrite() error {
	defer c.markResponseWritten()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
