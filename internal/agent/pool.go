package agent

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"
)

// pool opens connections to backends within the process's share of descriptors and keeps those
// that are idle. It stands in place of http.Transport's, which may hand a connection to the next
// request before it sees that bytes of the last are left over.
//
// A connection is dialling (counted in open, without a backendConn), in use (by one attempt, which
// alone may close it or put it back), resting (idle for less than minRest; not used yet), idle (may
// be used), and closed (by the attempt that used it, by the sweep after its idle lifetime, for a new
// one at the limit, or with its backend).
type pool struct {
	connect func(ctx context.Context, network, addr string) (net.Conn, error) // set once
	after   func(time.Duration) <-chan time.Time                              // time.After, but for tests

	mu sync.Mutex // guards what follows, and the fields of backendConns and of idle connections

	// The settings.
	timeout     time.Duration // of a connect
	idleTimeout time.Duration // how long a connection is kept without use, at most
	maxConns    int           // bounds open
	allowExtra  bool          // a connection may be opened beside the only one of a backend while it rests

	open         int        // connections that are up or dialling
	idle         *list.List // of *backendConn: all that are idle, the longest idle first
	sweeping     bool       // a sweep is to come
	idleLifetime idleLifetimeEstimator
}

func newPool(connect func(context.Context, string, string) (net.Conn, error), timeout, idle time.Duration, maxConns int) *pool {
	return &pool{connect: connect, after: time.After, timeout: timeout, idleTimeout: idle, maxConns: maxConns, idle: list.New()}
}

// configure changes the settings; connections over a lower limit close as others are wanted.
func (p *pool) configure(timeout, idle time.Duration, maxConns int, extra bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeout, p.idleTimeout, p.maxConns, p.allowExtra = timeout, idle, maxConns, extra
}

// newBackendConns is the connections, none as yet, to the process at the address dial.
func (p *pool) newBackendConns(dial string) *backendConns { return &backendConns{pool: p, dial: dial} }

// reserve counts a connection that is about to be opened. At the limit it closes the one that is
// idle longest; if none is, it returns errNoSocket. The pool must be locked, and is unlocked while a
// connection closes.
func (p *pool) reserve() error {
	for p.open >= p.maxConns {
		longest := p.idle.Front()
		if longest == nil {
			return errNoSocket
		}
		conn := longest.Value.(*backendConn)
		conn.unlist()
		p.mu.Unlock()
		conn.Close()
		p.mu.Lock()
	}
	p.open++
	return nil
}

// release counts a connection as closed, or as one that did not come up.
func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// used notes how the use of a connection went; broke says that it ended before a byte of the
// answer came.
func (p *pool) used(conn *backendConn, broke bool) {
	if conn.idleFor > 0 {
		p.mu.Lock()
		p.idleLifetime.observe(conn.idleFor, broke, time.Now())
		p.mu.Unlock()
	}
}

// sweep closes what has been idle for too long, and comes back while any is left.
func (p *pool) sweep() {
	var old []*backendConn
	p.mu.Lock()
	now, limit := time.Now(), p.idleLifetime.limit(p.idleTimeout)
	for longest := p.idle.Front(); longest != nil; longest = p.idle.Front() {
		conn := longest.Value.(*backendConn)
		if left := limit - now.Sub(conn.since); left > 0 {
			time.AfterFunc(left, p.sweep)
			break
		}
		conn.unlist()
		old = append(old, conn)
	}
	p.sweeping = p.idle.Len() > 0
	p.mu.Unlock()
	closeAll(old)
}

func closeAll(conns []*backendConn) {
	for _, conn := range conns {
		conn.Close()
	}
}

// backendConn is a connection to a backend, for one attempt at a time.
type backendConn struct {
	net.Conn
	conns     *backendConns
	closeOnce sync.Once

	// Of the attempt that uses it.
	readBudget int           // bytes that may still be read
	idleFor    time.Duration // how long it had been idle; 0: it is new

	// Of an idle connection; the pool's lock guards them.
	element *list.Element // its place in pool.idle
	since   time.Time     // when it became idle
}

// Read bounds what one answer may bring; over that it returns errTooLong.
func (c *backendConn) Read(buf []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(buf[:min(len(buf), c.readBudget)])
	c.readBudget -= n
	return n, err
}

// interrupt ends reads and writes, those that wait as well. Its deadline is past by the monotonic
// clock too: a wall time would count by what the machine's clock was set to.
func (c *backendConn) interrupt() { _ = c.SetDeadline(time.Now().Add(-time.Second)) }

// unlist takes a connection from the idle ones. The pool must be locked.
func (c *backendConn) unlist() {
	c.conns.pool.idle.Remove(c.element)
	c.element = nil
	for i, other := range c.conns.idle {
		if other == c {
			c.conns.idle = append(c.conns.idle[:i], c.conns.idle[i+1:]...)
			return
		}
	}
}

// Close closes the connection and frees its descriptor in the pool. It may be called again.
func (c *backendConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.conns.pool.release)
	return err
}
