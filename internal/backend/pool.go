package backend

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"
)

// Settings are the limits of a Pool.
type Settings struct {
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // how long a connection is kept without use, at most
	MaxConns       int           // open at once, those that are dialling included
	// ExtraConns lets a connection be opened beside the only one of a backend while that rests.
	ExtraConns bool
	// RestTime is how long a connection rests after an answer before it is used again; 0:
	// defaultRestTime.
	RestTime time.Duration
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool opens connections to backends within the process's share of descriptors and keeps those
// that are idle. It stands in place of http.Transport's, which may hand a connection to the next
// request before it sees that bytes of the last are left over.
//
// A connection is dialling (counted in open, without a pooledConn), in use (by one attempt, which
// alone may close it or put it back), resting (idle for less than the rest time; not used yet), idle
// (may be used), and closed (by the attempt that used it, by the sweep after its idle lifetime, for a
// new one at the limit, or with its backend).
//
// Its methods may be called from any goroutine.
type Pool struct {
	// DialContext opens the connections. It is not changed once an attempt runs.
	DialContext DialFunc

	after func(time.Duration) <-chan time.Time // time.After, but for tests

	mu           sync.Mutex // guards what follows, and the fields of Conns and of idle connections
	settings     Settings
	open         int        // connections that are up or dialling
	idle         *list.List // of *pooledConn: all that are idle, the longest idle first
	sweeping     bool       // a sweep is to come
	idleLifetime idleLifetimeEstimator
}

// NewPool returns a pool that opens connections with dial.
func NewPool(dial DialFunc, settings Settings) *Pool {
	return &Pool{DialContext: dial, after: time.After, settings: settings.withDefaults(), idle: list.New()}
}

func (s Settings) withDefaults() Settings {
	if s.RestTime == 0 {
		s.RestTime = defaultRestTime
	}
	return s
}

// Configure changes the settings; connections over a lower limit close as others are wanted.
func (p *Pool) Configure(settings Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings = settings.withDefaults()
}

// Settings returns the settings in force.
func (p *Pool) Settings() Settings {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings
}

// NewConns returns the connections, none as yet, to one process of a backend at an address.
func (p *Pool) NewConns(addr string) *Conns { return &Conns{pool: p, addr: addr} }

// reserve counts a connection that is about to be opened. At the limit it closes the one that is
// idle longest; if none is, it returns ErrNoSocket. The pool must be locked, and is unlocked while a
// connection closes.
func (p *Pool) reserve() error {
	for p.open >= p.settings.MaxConns {
		longest := p.idle.Front()
		if longest == nil {
			return ErrNoSocket
		}
		conn := longest.Value.(*pooledConn)
		conn.unlist()
		p.mu.Unlock()
		conn.Close()
		p.mu.Lock()
	}
	p.open++
	return nil
}

// release counts a connection as closed, or as one that did not come up.
func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// used notes how the use of a connection went; broke says that it ended before a byte of the
// answer came.
func (p *Pool) used(conn *pooledConn, broke bool) {
	if conn.idleFor > 0 {
		p.mu.Lock()
		p.idleLifetime.observe(conn.idleFor, broke, time.Now())
		p.mu.Unlock()
	}
}

// sweep closes what has been idle for too long, and comes back while any is left.
func (p *Pool) sweep() {
	var old []*pooledConn
	p.mu.Lock()
	now, limit := time.Now(), p.idleLifetime.limit(p.settings.IdleTimeout)
	for longest := p.idle.Front(); longest != nil; longest = p.idle.Front() {
		conn := longest.Value.(*pooledConn)
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

func closeAll(conns []*pooledConn) {
	for _, conn := range conns {
		conn.Close()
	}
}

// pooledConn is a connection to a backend, for one attempt at a time.
type pooledConn struct {
	net.Conn
	conns     *Conns
	closeOnce sync.Once

	// Of the attempt that uses it.
	readBudget int           // bytes that may still be read
	idleFor    time.Duration // how long it had been idle; 0: it is new

	// Of an idle connection; the pool's lock guards them.
	element *list.Element // its place in pool.idle
	since   time.Time     // when it became idle
}

// Read bounds what one answer may bring; over that it returns errTooLong.
func (c *pooledConn) Read(buf []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(buf[:min(len(buf), c.readBudget)])
	c.readBudget -= n
	return n, err
}

// interrupt ends reads and writes, those that wait as well. Its deadline is past by the monotonic
// clock too: a wall time would count by what the machine's clock was set to.
func (c *pooledConn) interrupt() { _ = c.SetDeadline(time.Now().Add(-time.Second)) }

// unlist takes a connection from the idle ones. The pool must be locked.
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

// Close closes the connection and frees its descriptor in the pool. It may be called again.
func (c *pooledConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.conns.pool.release)
	return err
}
