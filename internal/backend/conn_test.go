package backend

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// readCounter signals when so many bytes were read from a connection.
type readCounter struct {
	net.Conn
	left int
	done chan struct{}
	once sync.Once
}

func (c *readCounter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.left -= n; c.left <= 0 {
		c.once.Do(func() { close(c.done) })
	}
	return n, err
}

// wholeReads closes read when so many bytes were read from the one connection that is opened.
func wholeReads(dial DialFunc, bytes int, read chan struct{}) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		return &readCounter{Conn: c, left: bytes, done: read}, err
	}
}

// deadlineConn keeps the deadline that was set.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

// The deadline that interrupts a connection is past whatever the wall clock was set to: it has a
// reading of the monotonic clock, which alone counts then.
func TestInterruptIsPastByTheMonotonicClock(t *testing.T) {
	conn := &deadlineConn{}
	(&pooledConn{Conn: conn}).interrupt()
	if conn.deadline == conn.deadline.Round(0) { // which strips the reading
		t.Errorf("the deadline %v is a wall time", conn.deadline)
	}
	if !conn.deadline.Before(time.Now()) {
		t.Errorf("the deadline %v is not past", conn.deadline)
	}
}
