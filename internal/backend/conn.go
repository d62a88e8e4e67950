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

	// Owned by the attempt that uses the connection.
	readBudget int           // how many more bytes may be read
	idleFor    time.Duration // how long the connection was idle before this use; 0: it is new

	// Used while the connection is idle. Guarded by the pool's mutex.
	element   *list.Element // its element in pool.idle
	idleSince time.Time
}

// Read limits the size of a response. It returns errResponseTooLong once readBudget is used up.
func (c *pooledConn) Read(buf []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, errResponseTooLong
	}
	n, err := c.Conn.Read(buf[:min(len(buf), c.readBudget)])
	c.readBudget -= n
	return n, err
}

// interrupt makes reads and writes time out, also those that are blocked. Its deadline is in the
// past and has a monotonic clock reading, so that it does not depend on changes of the wall clock.
func (c *pooledConn) interrupt() { _ = c.SetDeadline(time.Now().Add(-time.Second)) }

// unlist removes the connection from the lists of idle ones. The caller holds the pool's mutex.
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

// Close closes the connection and then frees its descriptor in the pool's count. It may be called
// more than once.
func (c *pooledConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.conns.pool.release)
	return err
}
