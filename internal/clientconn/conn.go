package clientconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a client connection. It is in the client connection table from acquire to Close. Its life
// cycle is:
//
//	accept ──► new ──► active ──► rejected ──► closed
//	            │       ▲  │
//	            │       │  ▼
//	            │      idle
//	            ▼       ▼
//	           closing (a flag, not a stage)
//
// A new or idle connection becomes active when the head of a request is complete. An active
// connection becomes idle when the response is written and the connection is kept alive. The table
// may close a new or idle connection to free its slot (eviction), to limit the number of idle ones
// (reaping), or at shutdown. It then sets closing and makes the pending read time out. If bytes of a
// request arrived before the server notices that, the request is still answered, with
// "Connection: close". The table may also end the wait for the rest of a body, on an active
// connection; see requestWait.
//
// table.mu guards the fields from stage to wait, and reading the fields after them. The server never
// has two reads of one connection in progress.
type Conn struct {
	net.Conn
	table    *Table
	received atomic.Bool // at least one byte has been read

	// serverHoldsByte is set when a background read has returned a byte, until the server reads on. In
	// that time the server makes no background reads.
	serverHoldsByte atomic.Bool

	// Guarded by table.mu.
	stage           connStage
	stageSince      time.Time // when the stage began; in stageIdle, when the next head began, if it has
	closing         bool      // the table is closing the connection; one more request may arrive
	responseWritten bool      // the server has written everything that it will write
	handled         bool      // a handler has begun to handle the request in progress
	head            headState
	progress        progress
	bodyEnd         bodyEnd
	delayEnded      chan struct{} // closed when the table ends the delay of the answer; nil: none is delayed
	wait            requestWait

	// Guarded by reading, which is held during each read of the server, and while the handler watches
	// for the client's disconnect.
	reading             sync.Mutex
	firstSeenAt         time.Time // when unread bytes were first seen during the wait for a slot; zero: never
	readAhead           []byte    // read while a request was in progress, not yet passed to the server
	readAheadAt         time.Time // when the first byte of readAhead was read
	readAheadOverflowed bool      // bytes above maxReadAhead were dropped; Read returns EOF after readAhead
	refused             bool      // a head was refused and its client got the response; Read returns EOF
}

// NetConn returns the connection that the listener accepted. A caller may use it to detect that the
// client has closed, but must not read from it, write to it or close it.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read is called by the server to read heads and bodies. While a handler runs, the server also
// calls it with a buffer of one byte, in the background, to detect that the client has
// disconnected. If the head of a request is refused, Read responds to the client and returns io.EOF,
// on which the server closes the connection without a response of its own.
func (c *Conn) Read(buffer []byte) (n int, err error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.refused {
		return 0, io.EOF
	}
	isHead, refusal := c.beginRead(len(buffer))
	if refusal != nil {
		return 0, c.refuse(refusal, buffer, false) // at once: the server has already parsed a part of the head
	}
	n, receivedAt, err := c.readNext(buffer, isHead)
	if n == 0 {
		return n, err
	}
	c.received.Store(true)
	background := len(buffer) == 1
	c.serverHoldsByte.Store(background)
	active, refusal := c.recordRead(buffer[:n], background, receivedAt)
	if refusal != nil {
		c.discardHead(buffer)
		return 0, c.refuse(refusal, buffer, true)
	}
	if active && err == nil && background {
		return n, c.watchForDisconnect()
	}
	return n, err
}

// readNext reads the bytes of readAhead or, if there are none, from the socket. It returns the time
// at which they arrived.
func (c *Conn) readNext(buffer []byte, isHead bool) (n int, receivedAt time.Time, err error) {
	switch {
	case len(c.readAhead) > 0:
		return c.takeReadAhead(buffer), c.readAheadAt, nil
	case c.readAheadOverflowed:
		return 0, time.Time{}, io.EOF
	}
	n, err = c.receive(buffer, isHead)
	// A client's deadline counts from the time at which the client wrote the request. How long the
	// bytes were in the kernel is unknown, but all time from here on is included.
	receivedAt = time.Now()
	if !c.firstSeenAt.IsZero() {
		receivedAt, c.firstSeenAt = c.firstSeenAt, time.Time{}
	}
	return n, receivedAt, err
}

// takeReadAhead moves bytes from readAhead to the buffer and returns their number.
func (c *Conn) takeReadAhead(buffer []byte) int {
	n := copy(buffer, c.readAhead)
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	return n
}

// receive reads from the socket. If a read of a head times out but bytes have arrived by then, it
// reads them.
func (c *Conn) receive(buffer []byte, isHead bool) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 && isHead && errors.Is(err, os.ErrDeadlineExceeded) && c.retryAfterTimeout() {
		return c.Conn.Read(buffer)
	}
	return n, err
}

// Close closes the socket and then frees its slot in the table. In the reverse order, the
// connection that gets the slot would be open at the same time as this one and exceed the limit.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.table.remove(c)
	return err
}

// CloseWrite shuts down the sending side. The server calls it before Close, so that a client that
// is still sending can read its response before the connection is reset.
func (c *Conn) CloseWrite() error {
	defer c.markResponseWritten()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
