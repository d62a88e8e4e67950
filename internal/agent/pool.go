package agent

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// settle is how long a connection rests before it is used again: what a backend sends
// beyond its answer comes some milliseconds behind it, and is seen by then. A second answer
// that met the next request there would be taken for its own.
const minRest = 10 * time.Millisecond

// extraRetryDelay is the time without another extra connection after this machine could not open
// one: no other failure of it is to be feared for long.
const extraRetryDelay = 20 * time.Millisecond

// pool opens connections to backends within the process's share of descriptors and
// keeps those that stand idle. It is a pool of its own since http.Transport may hand a
// connection to the next request before it sees that bytes of the last are left over.
type pool struct {
	connect     func(ctx context.Context, network, addr string) (net.Conn, error)
	after       func(time.Duration) <-chan time.Time // time.After, but for tests
	timeout     time.Duration                        // of a connect
	idleTimeout time.Duration                        // how long a connection is kept without use
	maxConns    int
	allowExtra  bool // a connection may be opened beside the only one of a backend while it rests

	mu           sync.Mutex
	open         int        // connections that are up or coming up
	idle         *list.List // of *conn: all that stand idle, the longest first
	sweeping     bool
	idleLifetime idleLifetimeEstimator
}

// group is the connections to one process of a backend at one address.
type backendConns struct {
	pool    *pool
	dial    string
	idle    []*backendConn // idle, the longest first
	closed  bool           // what comes back is closed
	opening bool           // an extra connection is coming up
	// noExtra is until when none is opened, as one did not come up: the backend may have no
	// room for it.
	noExtra time.Time
}

// conn is a connection to a backend, for one attempt at a time.
type backendConn struct {
	net.Conn
	conns *backendConns
	left  int           // bytes that may still be read for the attempt
	idle  *list.Element // its place among all that stand idle
	since time.Time     // when it came to stand idle
	age   time.Duration // how long it had stood idle; 0: new
	once  sync.Once
}

var errTooLong = errors.New("answer: longer than any may be")

// Read bounds what one answer may bring.
func (c *backendConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// readers are kept apart from the connections: only attempts that are out need one.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

func newPool(connect func(context.Context, string, string) (net.Conn, error), timeout, idle time.Duration, most int) *pool {
	return &pool{connect: connect, after: time.After, timeout: timeout, idleTimeout: idle, maxConns: most, idle: list.New()}
}

// configure changes the bounds; connections over them close as others are wanted.
func (p *pool) configure(timeout, idle time.Duration, most int, extra bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeout, p.idleTimeout, p.maxConns, p.allowExtra = timeout, idle, most, extra
}

func (p *pool) newBackendConns(dial string) *backendConns { return &backendConns{pool: p, dial: dial} }

// get gives a connection that nothing waits on: an idle one that has rested or, within the
// context and the time of a connect, a new one.
func (g *backendConns) get(ctx context.Context) (*backendConn, error) {
	p := g.pool
	p.mu.Lock()
	limit := p.idleLifetime.limit(p.idleTimeout)
	for c := g.pick(time.Now()); c != nil; c = g.pick(time.Now()) {
		rest := minRest - time.Since(c.since)
		extra := rest > 0 && g.mayOpenExtra()
		g.opening = g.opening || extra
		p.mu.Unlock()
		if rest > 0 {
			fresh, err := g.awaitRest(ctx, rest, extra)
			if fresh != nil || err != nil {
				g.putSince(c, c.since)
				return fresh, err
			}
		}
		if c.age = time.Since(c.since); c.age <= limit && peekConn(c.Conn) == 0 {
			return c, nil
		}
		c.Close() // it has ended or may have, or brings what nobody asked for
		p.mu.Lock()
	}
	for p.open >= p.maxConns {
		longest := p.idle.Front()
		if longest == nil {
			p.mu.Unlock()
			return nil, errNoSocket
		}
		c := longest.Value.(*backendConn)
		c.unlist()
		p.mu.Unlock()
		c.Close()
		p.mu.Lock()
	}
	p.open++
	p.mu.Unlock()
	return g.connect(ctx)
}

// connect opens a connection, within the context and the time of a connect, that the pool
// has counted already.
func (g *backendConns) connect(ctx context.Context) (*backendConn, error) {
	p := g.pool
	p.mu.Lock()
	timeout := p.timeout
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	up := false
	defer func() { // after a panic too: the pool has no other way to learn of it
		if !up {
			p.shut()
		}
	}()
	c, err := p.connect(ctx, "tcp", g.dial)
	if err != nil {
		return nil, err
	}
	up = true
	return &backendConn{Conn: c, conns: g}, nil
}

// mayOpenExtra tells whether a connection may be opened because the only one that is not in
// use rests. All others have an attempt, so the backend has at most one more than the most
// attempts it had at one time; none is closed for it. An extra one is counted as open from
// here on. The pool is locked.
func (g *backendConns) mayOpenExtra() bool {
	p := g.pool
	if !p.allowExtra || g.opening || len(g.idle) > 0 || p.open >= p.maxConns || time.Now().Before(g.noExtra) {
		return false
	}
	p.open++
	return true
}

// awaitRest waits until the connection has rested. Where an extra one is opened and comes up
// first, that is returned; later it joins the idle ones, so that the next need not wait.
func (g *backendConns) awaitRest(ctx context.Context, rest time.Duration, extra bool) (*backendConn, error) {
	var up chan *backendConn // stays nil, and so silent, without an extra one
	if extra {
		up = make(chan *backendConn)
		left := make(chan struct{})
		defer close(left)
		go g.openExtra(ctx, up, left)
	}
	select {
	case <-g.pool.after(rest):
		return nil, nil
	case fresh := <-up:
		return fresh, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// openExtra opens an extra connection for who waits, or for the next if that one has left.
// One that fails is no attempt's failure, as none depends on it.
func (g *backendConns) openExtra(ctx context.Context, up chan<- *backendConn, left <-chan struct{}) {
	p := g.pool
	c, err := g.connect(ctx)
	p.mu.Lock()
	g.opening = false
	switch {
	case err == nil || ctx.Err() != nil:
	case isLocalError(err):
		g.noExtra = time.Now().Add(extraRetryDelay)
	default:
		g.noExtra = time.Now().Add(p.idleTimeout)
	}
	p.mu.Unlock()
	if err != nil {
		return
	}
	select {
	case up <- c:
	case <-left:
		g.put(c)
	}
}

// pick takes the idle connection used last among those that have settled, else the one
// idle longest. The pool is locked.
func (g *backendConns) pick(now time.Time) *backendConn {
	for i := len(g.idle) - 1; i >= 0; i-- {
		if c := g.idle[i]; i == 0 || now.Sub(c.since) >= minRest {
			c.unlist()
			return c
		}
	}
	return nil
}

// unlist takes a connection from those that stand idle. The pool is locked.
func (c *backendConn) unlist() {
	c.conns.pool.idle.Remove(c.idle)
	c.idle = nil
	for i, o := range c.conns.idle {
		if o == c {
			c.conns.idle = append(c.conns.idle[:i], c.conns.idle[i+1:]...)
			return
		}
	}
}

// put gives a connection back for the next attempt.
func (g *backendConns) put(c *backendConn) { g.putSince(c, time.Now()) }

// putSince is put for a connection that has stood idle since then.
func (g *backendConns) putSince(c *backendConn, since time.Time) {
	p := g.pool
	p.mu.Lock()
	if g.closed {
		p.mu.Unlock()
		c.Close()
		return
	}
	c.since, c.idle = since, p.idle.PushBack(c)
	g.idle = append(g.idle, c)
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(p.idleLifetime.limit(p.idleTimeout), p.sweep)
	}
	p.mu.Unlock()
}

// used notes how the use of a connection went; broke is that it ended before a byte of
// the answer came.
func (p *pool) used(c *backendConn, broke bool) {
	if c.age > 0 {
		p.mu.Lock()
		p.idleLifetime.observe(c.age, broke, time.Now())
		p.mu.Unlock()
	}
}

// sweep closes what has stood idle for too long, and comes back while anything is left.
func (p *pool) sweep() {
	var old []*backendConn
	p.mu.Lock()
	now, limit := time.Now(), p.idleLifetime.limit(p.idleTimeout)
	for e := p.idle.Front(); e != nil; e = p.idle.Front() {
		c := e.Value.(*backendConn)
		if left := limit - now.Sub(c.since); left > 0 {
			time.AfterFunc(left, p.sweep)
			break
		}
		c.unlist()
		old = append(old, c)
	}
	p.sweeping = p.idle.Len() > 0
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// closeIdle closes the connections that stand idle.
func (g *backendConns) closeIdle() { g.closeConns(false) }

// retire closes the connections for good: those in use when they come back.
func (g *backendConns) close() { g.closeConns(true) }

func (g *backendConns) closeConns(retire bool) {
	g.pool.mu.Lock()
	g.closed = g.closed || retire
	old := g.idle
	g.idle = nil
	for _, c := range old {
		g.pool.idle.Remove(c.idle)
	}
	g.pool.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// shut counts a connection as closed.
func (p *pool) shut() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Close closes the connection and frees its descriptor in the pool.
func (c *backendConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.conns.pool.shut)
	return err
}
