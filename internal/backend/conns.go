package backend

import (
	"context"
	"time"

	"ploverreel/internal/socket"
)

// defaultSettleDelay is how long a connection is not reused after a response. A backend that sends
// more than its response sends the surplus some milliseconds later, and the delay is long enough to
// detect it. Without the delay, a surplus second response could be mistaken for the response to the
// next request.
const defaultSettleDelay = 10 * time.Millisecond

// Conns holds the connections to one process of a backend at one address. Attempts get connections
// from it and return them. It is closed when its process or address is no longer in use.
type Conns struct {
	pool *Pool  // never changes
	addr string // never changes

	// Guarded by the pool's mutex.
	idle   []*pooledConn // settling or idle; the longest idle is first
	closed bool          // connections that attempts return are closed
	extra  extraState
}

// Addr returns the address of the backend process.
func (c *Conns) Addr() string { return c.addr }

// get returns a connection without unread bytes. It is an idle one that has settled or a new one
// that is opened within the context and the connect timeout. The error is ErrConnLimit, the
// context's error or the error of the connect.
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
		conn.Close() // it is closed by the peer, may have been dropped, or has received surplus bytes
		p.mu.Lock()
	}
	err := p.reserve()
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return c.connect(ctx)
}

// connect opens a connection within the context and the connect timeout. The pool has already
// counted the connection as open.
func (c *Conns) connect(ctx context.Context) (*pooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.pool.Settings().ConnectTimeout)
	defer cancel()
	connected := false
	defer func() { // also after a panic, as nothing else would release the connection
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

// popIdle removes and returns the most recently used of the idle connections that have settled. If
// none has settled, it removes and returns the one that has been idle longest, which settles first.
// Without any idle connection it returns nil. The caller holds the pool's mutex.
func (c *Conns) popIdle(now time.Time) *pooledConn {
	for i := len(c.idle) - 1; i >= 0; i-- {
		if conn := c.idle[i]; i == 0 || now.Sub(conn.idleSince) >= c.pool.settings.SettleDelay {
			conn.unlist()
			return conn
		}
	}
	return nil
}

// put returns a connection after use. It is available to other attempts once it has settled.
func (c *Conns) put(conn *pooledConn) { c.putIdleSince(conn, time.Now()) }

// putIdleSince returns a connection that has been idle since the given time. It closes the
// connection if the Conns is closed. Otherwise it schedules a sweep, unless one is scheduled
// already.
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

// CloseIdle closes the idle connections. New ones may be opened afterwards.
func (c *Conns) CloseIdle() { closeAll(c.removeAllIdle(false)) }

// Close closes the idle connections, and from then on each connection that an attempt returns.
func (c *Conns) Close() { closeAll(c.removeAllIdle(true)) }

// removeAllIdle removes and returns all idle connections. If closes is set, it also closes the
// Conns.
func (c *Conns) removeAllIdle(closes bool) []*pooledConn {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.closed = c.closed || closes
	removed := c.idle
	c.idle = nil
	for _, conn := range removed {
		c.pool.idle.Remove(conn.element)
	}
	return removed
}
