package backend

import (
	"net"
	"testing"
	"time"
)

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
func TestConnInterruptUsesMonotonicClock(t *testing.T) {
	conn := &deadlineConn{}
	(&pooledConn{Conn: conn}).interrupt()
	if conn.deadline == conn.deadline.Round(0) { // which strips the reading
		t.Errorf("got deadline %v, a wall time, want one with a monotonic reading", conn.deadline)
	}
	if now := time.Now(); !conn.deadline.Before(now) {
		t.Errorf("got deadline %v, want one before %v", conn.deadline, now)
	}
}
