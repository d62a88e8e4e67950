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
	IdleTimeout    time.Duration // the longest time that an unused connection is kept
	MaxConns       int           // the highest number of connections that are open or dialling
	// ExtraConns allows another connection to a backend to be opened if the only connection that is
	// not in use is settling. An attempt then need not wait for the settle delay.
	ExtraConns bool
	// SettleDelay is how long a connection is not reused after a response; zero: 10 ms.
	SettleDelay time.Duration
}

// withDefaults returns the settings with zero values replaced by defaults.
func (s Settings) withDefaults() Settings {
	if s.SettleDelay == 0 {
		s.SettleDelay = defaultSettleDelay
	}
	return s
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool opens connections to backends within the process's limit of descriptors and keeps idle ones
// for reuse. It replaces the pool of http.Transport, which may reuse a connection before it detects
// surplus bytes behind the last response.
//
// A connection is in one of these states:
//   - dialling: it is counted in open, but has no pooledConn yet;
//   - in use: one attempt uses it, and only that attempt may close it or return it;
//   - settling: it has been idle for less than the settle delay and must not be used yet;
//   - idle: it may be used;
//   - closed: by the attempt that used it, by the sweep after its idle lifetime, to make room for a
//     new connection at the limit, or with the Conns that it belongs to.
type Pool struct {
	// DialContext opens connections. It must not be changed while attempts run.
	DialContext DialFunc

	after func(time.Duration) <-chan time.Time // time.After; replaced by tests

	mu           sync.Mutex // guards the fields below and those of each Conns and idle connection
	settings     Settings
	open         int        // number of connections that are open or dialling
	idle         *list.List // of *pooledConn, settling or idle; the longest idle is first
	sweeping     bool       // a sweep is scheduled
	idleLifetime idleLifetimeEstimator
}

// NewPool returns a pool that opens connections with dial.
func NewPool(dial DialFunc, settings Settings) *Pool {
	return &Pool{DialContext: dial, after: time.After, settings: settings.withDefaults(), idle: list.New()}
}

// Configure changes the settings. If the new connection limit is lower, connections above it are
// closed only when new ones are needed.
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

// NewConns returns a Conns, without any connections yet, for the backend process at addr.
func (p *Pool) NewConns(addr string) *Conns { return &Conns{pool: p, addr: addr} }

// reserve counts a connection that is about to be opened. At the connection limit it closes the
// connection that has been idle longest; if none is idle, it returns ErrConnLimit. The caller holds
// p.mu, which is released while a connection is closed.
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

// release lowers the count of open connections by one that was closed or could not be opened.
func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// observeReuse records a use of a connection for the estimate of the idle lifetime, and whether the
// connection broke, that is, ended before a byte of the response was read. It ignores the first use
// of a connection.
func (p *Pool) observeReuse(conn *pooledConn, broke bool) {
	if conn.idleFor > 0 {
		p.mu.Lock()
		p.idleLifetime.observe(conn.idleFor, broke, time.Now())
		p.mu.Unlock()
	}
}

// sweep closes the connections that have been idle for longer than the idle lifetime. It schedules
// the next sweep if any idle connection is left.
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

// closeAll closes connections. The caller must not hold the pool's mutex.
func closeAll(conns []*pooledConn) {
	for _, conn := range conns {
		conn.Close()
	}
}
