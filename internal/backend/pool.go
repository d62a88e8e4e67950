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
	MaxConns       int           // connections that are open or dialling at once
	// ExtraConns lets a connection be opened while the only one of a backend settles, so that an
	// attempt needn't wait for that.
	ExtraConns bool
	// SettleDelay is how long a connection stays unused after an answer; zero: 10 ms.
	SettleDelay time.Duration
}

// withDefaults returns the settings with the defaults in place of zeros.
func (s Settings) withDefaults() Settings {
	if s.SettleDelay == 0 {
		s.SettleDelay = defaultSettleDelay
	}
	return s
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool opens connections to backends within the process's share of descriptors and keeps those
// that are idle. It replaces http.Transport's pool, which may hand a connection to the next request
// before it sees that bytes of the last answer are left over.
//
// A connection is in one of these states:
//   - dialling: it is counted in open, and there is no pooledConn yet;
//   - in use: by one attempt, which alone may close it or put it back;
//   - settling: idle for less than the settle delay, and not used yet;
//   - idle: it may be used;
//   - closed: by the attempt that used it, by the sweep after its idle lifetime, for a new connection
//     at the limit, or with the Conns that it belongs to.
type Pool struct {
	// DialContext opens the connections. It must not be changed while attempts run.
	DialContext DialFunc

	after func(time.Duration) <-chan time.Time // time.After; replaced by tests

	mu           sync.Mutex // guards what follows, the fields of Conns and those of idle connections
	settings     Settings
	open         int        // connections that are up or dialling
	idle         *list.List // of *pooledConn: all that settle or are idle, the longest idle first
	sweeping     bool       // a sweep is scheduled
	idleLifetime idleLifetimeEstimator
}

// NewPool returns a pool that opens connections with dial.
func NewPool(dial DialFunc, settings Settings) *Pool {
	return &Pool{DialContext: dial, after: time.After, settings: settings.withDefaults(), idle: list.New()}
}

// Configure changes the settings. Connections over a lower limit are closed when others are needed.
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

// NewConns returns the connections to one process of a backend, which is at addr. There are none at
// first.
func (p *Pool) NewConns(addr string) *Conns { return &Conns{pool: p, addr: addr} }

// reserve counts a connection that is about to be opened. At the limit it closes the one that has
// been idle longest; if none is idle, it returns ErrConnLimit. The caller holds p.mu, which is
// released while a connection closes.
func (p *Pool) reserve() error {
	for p.open >= p.settings.MaxConns {
		longest := p.idle.Front()
		if longest == nil {
			return ErrConnLimit
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

// release counts a connection as closed, or as one that could not be opened.
func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// observeReuse records how the reuse of a connection went. The connection broke if it ended before
// a byte of the answer was read.
func (p *Pool) observeReuse(conn *pooledConn, broke bool) {
	if conn.idleFor > 0 {
		p.mu.Lock()
		p.idleLifetime.observe(conn.idleFor, broke, time.Now())
		p.mu.Unlock()
	}
}

// sweep closes what has been idle for longer than the idle lifetime, and schedules itself while any
// connection is left.
func (p *Pool) sweep() {
	var expired []*pooledConn
	p.mu.Lock()
	now, limit := time.Now(), p.idleLifetime.limit(p.settings.IdleTimeout)
	for longest := p.idle.Front(); longest != nil; longest = p.idle.Front() {
		conn := longest.Value.(*pooledConn)
		if left := limit - now.Sub(conn.idleSince); left > 0 {
			time.AfterFunc(left, p.sweep)
			break
		}
		conn.unlist()
		expired = append(expired, conn)
	}
	p.sweeping = p.idle.Len() > 0
	p.mu.Unlock()
	closeAll(expired)
}

// closeAll closes connections. The caller doesn't hold the pool's mutex.
func closeAll(conns []*pooledConn) {
	for _, conn := range conns {
		conn.Close()
	}
}
