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

// clientConn is a client's connection. Its stage belongs to its places.
type clientConn struct {
	net.Conn
	places *places
	got    atomic.Bool // something was read from it
	stage  stage
	since  time.Time // when the stage began, or its next request to come
	coming bool      // bytes of its next request were read
	closed bool      // by its places: no request of it is taken any more
	ahead  []byte    // read while a request was open, not yet handed on
	lost   bool      // some of what came then was not kept: nothing can follow
}

func (c *clientConn) Read(p []byte) (n int, err error) {
	switch {
	case len(c.ahead) > 0:
		n = copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
	case c.lost:
		return 0, io.EOF
	default:
		n, err = c.Conn.Read(p)
	}
	if n > 0 && !c.got.Load() {
		c.got.Store(true)
	}
	if n > 0 {
		// Beside the handler the server looks for the client's end with a read of one byte.
		taken, open := c.places.arrived(c, len(p) == 1)
		if !taken {
			return 0, net.ErrClosed // closed as this came: to the client it was never read
		}
		if open && err == nil && len(p) == 1 {
			return n, c.lookOut()
		}
	}
	return n, err
}

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
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// resting tells whether the connection is between two requests and nothing of the next has
// come. The places are locked.
func (c *clientConn) resting() bool {
	return c.stage == idle && !c.coming && pending(c.Conn) <= 0
}

// silent tells whether nothing has come on the connection, not even unread.
func (c *clientConn) silent() bool {
	return !c.got.Load() && pending(c.Conn) == 0
}
