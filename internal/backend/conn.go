package backend

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// pooledConn is a connection to a backend, used by one attempt at a time.
type pooledConn struct {
	net.Conn
	conns     *Conns
	closeOnce sync.Once

	// These belong to the attempt that uses the connection.
	readBudget int           // bytes that may still be read
	idleFor    time.Duration // how long the connection had been idle; 0: it is new

	// These belong to an idle connection, and are guarded by the pool's mutex.
	element   *list.Element // its element in pool.idle
	idleSince time.Time
}

// Read bounds what one answer may bring. It returns errResponseTooLong once readBudget is used up.
func (c *pooledConn) Read(buf []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, errResponseTooLong
	}
	n, err := c.Conn.Read(buf[:min(len(buf), c.readBudget)])
	c.readBudget -= n
	return n, err
}

// interrupt ends reads and writes, those that are blocked as well. Its deadline is past by the
// monotonic clock too: a wall time would depend on what the machine's clock was set to.
func (c *pooledConn) interrupt() { _ = c.SetDeadline(time.Now().Add(-time.Second)) }

// unlist removes a connection from the idle ones. The caller holds the pool's mutex.
func (c *pooledConn) unlist() {
	c.conns.pool.idle.Remove(c.element)
	c.element = nil
	for i, other := range c.conns.idle {
		if other == c {
			c.conns.idle = append(c.conns.idle[:i], c.conns.idle[i+1:]...)
			return
		}
	}
}

// Close closes the connection and then frees its descriptor in the pool. It may be called again.
func (c *pooledConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.conns.pool.release)
	return err
}
