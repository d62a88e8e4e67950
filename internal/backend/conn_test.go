package backend

import (
	"net"
	"testing"
	"time"
)

// deadlineConn records the deadline that was set.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

// The deadline that interrupts a connection is in the past, whatever the wall clock was set to. It
// has a monotonic clock reading, and only that reading is compared then.
func TestConnInterruptUsesMonotonicClock(t *testing.T) {
	conn := &deadlineConn{}
	(&pooledConn{Conn: conn}).interrupt()
	if conn.deadline == conn.deadline.Round(0) { // Round(0) strips the monotonic reading
		t.Errorf("got deadline %v, a wall time, want one with a monotonic reading", conn.deadline)
	}
	if now := time.Now(); !conn.deadline.Before(now) {
		t.Errorf("got deadline %v, want one before %v", conn.deadline, now)
	}
}
