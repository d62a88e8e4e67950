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
const maxAhead = 4 << 10

// clientConn is a client's connection. What stands below places, but for what the server's
// reads keep, belongs to its places and their lock.
type clientConn struct {
	net.Conn
	places   *places
	got      atomic.Bool // something was read from it
	stage    stage
	since    time.Time // when the stage began, or its next request to come
	coming   bool      // bytes of its next request were read
	ending   bool      // a request that still comes is its last
	looked   bool      // it was looked for bytes when its time was over
	answered bool      // all that the server says was written
	buffer   int       // the server's room for a head
	headBy   time.Time // when the head that is coming has to be whole
	cameAt   time.Time // when the last bytes of a head came

	seenAt  time.Time // when bytes were seen on it before it had a place; zero: none
	ahead   []byte    // read while a request was open, not yet handed on
	aheadAt time.Time // when the first of that came
	lost    bool      // some of what came then was not kept: nothing can follow
}

func (c *clientConn) Read(p []byte) (n int, err error) {
	var at time.Time
	switch {
	case len(c.ahead) > 0:
		at = c.aheadAt
		n = copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
	case c.lost:
		return 0, io.EOF
	default:
		n, err = c.receive(p)
		// A client's time runs from when it wrote. What a process can't see is how long
		// the bytes then were in the kernel; from here on no wait of its own counts.
		at = time.Now()
		if !c.seenAt.IsZero() {
			at, c.seenAt = c.seenAt, time.Time{}
		}
	}
	if n > 0 {
		c.got.Store(true)
		// Beside the handler the server looks for the client's end with a read of one byte.
		if open := c.places.arrived(c, len(p) == 1, at); open && err == nil && len(p) == 1 {
			return n, c.lookOut()
		}
	}
	return n, err
}

// receive reads from the connection. What has come when a head's time is over is read as well.
func (c *clientConn) receive(p []byte) (int, error) {
	head := c.places.reading(c, len(p))
	n, err := c.Conn.Read(p)
	if n == 0 && head && errors.Is(err, os.ErrDeadlineExceeded) && c.places.timedOut(c) {
		return c.Conn.Read(p)
	}
	return n, err
}

// SetReadDeadline is the server's; its places may have ended the connection meanwhile.
func (c *clientConn) SetReadDeadline(t time.Time) error { return c.places.setReadDeadline(c, t) }

// lookOut reads on until the client leaves or the answer is out. The server stops looking
// for the client's end when a byte comes: who sends more and then leaves would be held for present, and its request sent on.
func (c *clientConn) lookOut() error {
	more := make([]byte, maxAhead)
	for {
		n, err := c.Conn.Read(more)
		if room := maxAhead - len(c.ahead); n > room {
			c.lost = true // clients send one request at a time: it will not be missed
			n = room
		}
		if n > 0 && len(c.ahead) == 0 {
			c.aheadAt = time.Now()
		}
		c.ahead = append(c.ahead, more[:n]...)
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
	c.places.drop(c) // not before: the next would be open beside it
	return err
}

// CloseWrite lets the server end its side first, so that a client still sending reads
// its answer before the connection breaks.
func (c *clientConn) CloseWrite() error {
	defer c.places.written(c)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// resting tells whether the connection is between two requests and nothing of the next has
// come. The places are locked.
func (c *clientConn) resting() bool {
	return !c.ending && c.stage == idle && !c.coming && pending(c.Conn) <= 0
}

// silent tells whether nothing has come on the connection, not even unread.
func (c *clientConn) silent() bool {
	return !c.ending && !c.got.Load() && pending(c.Conn) == 0
}
