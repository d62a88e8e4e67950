package agent

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// maxAhead bounds what is kept of what a client sends while its request is open.
const maxReadAhead = 4 << 10

// clientConn is a client's connection. What stands below places, but for what the server's
// reads keep, belongs to its places and their lock.
type clientConn struct {
	net.Conn
	table              *clientTable
	received           atomic.Bool // something was read from it
	stage              connStage
	stageSince         time.Time // when the stage began, or its next request to come
	headStarted        bool      // bytes of its next request were read
	closing            bool      // a request that still comes is its last
	lookedAfterTimeout bool      // it was looked for bytes when its time was over
	responseWritten    bool      // all that the server says was written
	headRoom           int       // the server's room for a head
	headDeadline       time.Time // when the head that is coming has to be whole
	headReceivedAt     time.Time // when the last bytes of a head came

	firstSeenAt         time.Time // when bytes were seen on it before it had a place; zero: none
	readAhead           []byte    // read while a request was open, not yet handed on
	readAheadAt         time.Time // when the first of that came
	readAheadOverflowed bool      // some of what came then was not kept: nothing can follow
}

func (c *clientConn) Read(p []byte) (n int, err error) {
	var at time.Time
	switch {
	case len(c.readAhead) > 0:
		at = c.readAheadAt
		n = copy(p, c.readAhead)
		if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
			c.readAhead = nil
		}
	case c.readAheadOverflowed:
		return 0, io.EOF
	default:
		n, err = c.receive(p)
		// A client's time runs from when it wrote. What a process can't see is how long
		// the bytes then were in the kernel; from here on no wait of its own counts.
		at = time.Now()
		if !c.firstSeenAt.IsZero() {
			at, c.firstSeenAt = c.firstSeenAt, time.Time{}
		}
	}
	if n > 0 {
		c.received.Store(true)
		// Beside the handler the server looks for the client's end with a read of one byte.
		if open := c.table.noteRead(c, len(p) == 1, at); open && err == nil && len(p) == 1 {
			return n, c.watchForClose()
		}
	}
	return n, err
}

// receive reads from the connection. What has come when a head's time is over is read as well.
func (c *clientConn) receive(p []byte) (int, error) {
	head := c.table.reading(c, len(p))
	n, err := c.Conn.Read(p)
	if n == 0 && head && errors.Is(err, os.ErrDeadlineExceeded) && c.table.timedOut(c) {
		return c.Conn.Read(p)
	}
	return n, err
}

// SetReadDeadline is the server's; its places may have ended the connection meanwhile.
func (c *clientConn) SetReadDeadline(t time.Time) error { return c.table.setReadDeadline(c, t) }

// lookOut reads on until the client leaves or the answer is out. The server stops looking
// for the client's end when a byte comes: who sends more and then leaves would be held for present, and its request sent on.
func (c *clientConn) watchForClose() error {
	more := make([]byte, maxReadAhead)
	for {
		n, err := c.Conn.Read(more)
		if room := maxReadAhead - len(c.readAhead); n > room {
			c.readAheadOverflowed = true // clients send one request at a time: it will not be missed
			n = room
		}
		if n > 0 && len(c.readAhead) == 0 {
			c.readAheadAt = time.Now()
		}
		c.readAhead = append(c.readAhead, more[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil // the answer is out, or the time to read is over
		}
		if err != nil {
			return err
		}
	}
}

func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.table.remove(c) // not before: the next would be open beside it
	return err
}

// CloseWrite lets the server end its side first, so that a client still sending reads
// its answer before the connection breaks.
func (c *clientConn) CloseWrite() error {
	defer c.table.written(c)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// resting tells whether the connection is between two requests and nothing of the next has
// come. The places are locked.
func (c *clientConn) isIdle() bool {
	return !c.closing && c.stage == stageIdle && !c.headStarted && peekConn(c.Conn) <= 0
}

// silent tells whether nothing has come on the connection, not even unread.
func (c *clientConn) isSilent() bool {
	return !c.closing && !c.received.Load() && peekConn(c.Conn) == 0
}
