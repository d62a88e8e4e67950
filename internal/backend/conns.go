package backend

import (
	"context"
	"time"

	"ploverreel/internal/socket"
)

// defaultSettleDelay is how long a connection settles after an answer before it is used again. What
// a backend sends beyond its answer comes some milliseconds behind it, and is seen by then. A second
// answer that met the next request there would be taken for the answer to that.
const defaultSettleDelay = 10 * time.Millisecond

// Conns is the connections to one process of a backend at one address. Attempts get connections from
// it and put them back. It is closed when its process or address is no longer in use.
type Conns struct {
	pool *Pool  // never changes
	addr string // never changes

	// The pool's mutex guards these.
	idle   []*pooledConn // settling or idle, the longest idle first
	closed bool          // connections that are put back are closed
	extra  extraState
}

// Addr returns the address that the connections are to.
func (c *Conns) Addr() string { return c.addr }

// get returns a connection on which no bytes wait: an idle one that has settled or, within the
// context and the connect timeout, a new one. Its error is ErrConnLimit, the context's error or the
// error of the connect.
func (c *Conns) get(ctx context.Context) (*pooledConn, error) {
	p := c.pool
	p.mu.Lock()
	limit := p.idleLifetime.limit(p.settings.IdleTimeout)
	for conn := c.popIdle(time.Now()); conn != nil; conn = c.popIdle(time.Now()) {
		wait := p.settings.SettleDelay - time.Since(conn.idleSince)
		openExtra := wait > 0 && c.reserveExtra()
		p.mu.Unlock()
		if wait > 0 {
			extra, err := c.awaitSettled(ctx, wait, openExtra)
			if extra != nil || err != nil {
				c.putIdleSince(conn, conn.idleSince)
				return extra, err
			}
		}
		if conn.idleFor = time.Since(conn.idleSince); conn.idleFor <= limit && socket.Peek(conn.Conn) == socket.PeekNothing {
			return conn, nil
		}
		conn.Close() // it has ended or may have, or unrequested bytes arrived on it
		p.mu.Lock()
	}
	err := p.reserve()
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return c.connect(ctx)
}

// connect opens a connection that the pool has counted already, within the context and the connect
// timeout.
func (c *Conns) connect(ctx context.Context) (*pooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.pool.Settings().ConnectTimeout)
	defer cancel()
	connected := false
	defer func() { // after a panic too: the pool has no other way to learn of it
		if !connected {
			c.pool.release()
		}
	}()
	conn, err := c.pool.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, err
	}
	connected = true
	return &pooledConn{Conn: conn, conns: c}, nil
}

// popIdle removes and returns the idle connection that was used last among those that have settled,
// else the one idle longest, else nil. The caller holds the pool's mutex.
func (c *Conns) popIdle(now time.Time) *pooledConn {
	for i := len(c.idle) - 1; i >= 0; i-- {
		if conn := c.idle[i]; i == 0 || now.Sub(conn.idleSince) >= c.pool.settings.SettleDelay {
			conn.unlist()
			return conn
		}
	}
	return nil
}

// put makes a connection available to the next attempt.
func (c *Conns) put(conn *pooledConn) { c.putIdleSince(conn, time.Now()) }

// putIdleSince makes a connection available that has been idle since a time.
func (c *Conns) putIdleSince(conn *pooledConn, since time.Time) {
	p := c.pool
	p.mu.Lock()
	if c.closed {
		p.mu.Unlock()
		conn.Close()
		return
	}
	conn.idleSince, conn.element = since, p.idle.PushBack(conn)
	c.idle = append(c.idle, conn)
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(p.idleLifetime.limit(p.settings.IdleTimeout), p.sweep)
	}
	p.mu.Unlock()
}

// CloseIdle closes the connections that are idle. Others may be opened after it.
func (c *Conns) CloseIdle() { closeAll(c.removeAllIdle(false)) }

// Close closes the idle connections, and from now on each connection that is put back.
func (c *Conns) Close() { closeAll(c.removeAllIdle(true)) }

// removeAllIdle removes and returns all idle connections, and closes the Conns if that is asked for.
func (c *Conns) removeAllIdle(closes bool) []*pooledConn {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.closed = c.closed || closes
	taken := c.idle
	c.idle = nil
	for _, conn := range taken {
		c.pool.idle.Remove(conn.element)
	}
	return taken
}
