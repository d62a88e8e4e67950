package backend

import (
	"context"
	"runtime/debug"
	"time"

	"ploverreel/internal/socket"
)

const (
	// defaultRestTime is how long a connection rests before it is used again: what a backend sends beyond
	// its answer comes some milliseconds behind it, and is seen by then. A second answer that met
	// the next request there would be taken for its own.
	defaultRestTime = 10 * time.Millisecond
	// extraRetryDelay is the time without another extra connection after this machine could not
	// open one. It is short since the errors of this machine last for a moment.
	extraRetryDelay = 20 * time.Millisecond
)

// Conns is the connections to one process of a backend at one address. The loop makes one
// for each process and closes it; the attempts get and put connections. The pool's lock guards
// all fields but the first two, which don't change.
type Conns struct {
	pool *Pool
	addr string

	idle    []*pooledConn // resting or idle, the longest first
	closed  bool          // what is put back is closed
	opening bool          // an extra connection is dialling
	// noExtra is until when no extra connection is opened, as one did not come up: the backend may
	// have no room for it.
	noExtra time.Time
	// panicked is a panic in the opening of an extra connection, which the next result of an attempt
	// takes along.
	panicked *PanicError
}

// Addr returns the address that the connections are to.
func (b *Conns) Addr() string { return b.addr }

// get acquires a connection on which no bytes wait: an idle one that has rested or, within the
// context and the time of a connect, a new one. Its error is ErrNoSocket, that of the context or
// that of the connect.
func (b *Conns) get(ctx context.Context) (*pooledConn, error) {
	p := b.pool
	p.mu.Lock()
	limit := p.idleLifetime.limit(p.settings.IdleTimeout)
	for conn := b.pick(time.Now()); conn != nil; conn = b.pick(time.Now()) {
		rest := p.settings.RestTime - time.Since(conn.since)
		extra := rest > 0 && b.mayOpenExtra()
		b.opening = b.opening || extra
		p.mu.Unlock()
		if rest > 0 {
			fresh, err := b.awaitRest(ctx, rest, extra)
			if fresh != nil || err != nil {
				b.putSince(conn, conn.since)
				return fresh, err
			}
		}
		if conn.idleFor = time.Since(conn.since); conn.idleFor <= limit && socket.Peek(conn.Conn) == socket.PeekNothing {
			return conn, nil
		}
		conn.Close() // it has ended or may have, or brings unrequested bytes
		p.mu.Lock()
	}
	err := p.reserve()
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return b.connect(ctx)
}

// connect opens a connection, within the context and the time of a connect, that the pool has
// counted already.
func (b *Conns) connect(ctx context.Context) (*pooledConn, error) {
	p := b.pool
	p.mu.Lock()
	timeout := p.settings.ConnectTimeout
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	up := false
	defer func() { // after a panic too: the pool has no other way to learn of it
		if !up {
			p.release()
		}
	}()
	conn, err := p.DialContext(ctx, "tcp", b.addr)
	if err != nil {
		return nil, err
	}
	up = true
	return &pooledConn{Conn: conn, conns: b}, nil
}

// mayOpenExtra reports whether a connection may be opened because the only one that is not in use
// rests, and if so counts it as open. All others have an attempt, so the backend has at most one
// more than the most attempts it had at one time; none is closed for it. The pool must be locked.
func (b *Conns) mayOpenExtra() bool {
	p := b.pool
	if !p.settings.ExtraConns || b.opening || len(b.idle) > 0 || p.open >= p.settings.MaxConns || time.Now().Before(b.noExtra) {
		return false
	}
	p.open++
	return true
}

// awaitRest waits until the connection has rested; then it returns nil and nil. Where an extra one
// is opened and comes up first, that is returned; later it joins the idle ones, so that the next
// attempt need not wait.
func (b *Conns) awaitRest(ctx context.Context, rest time.Duration, extra bool) (*pooledConn, error) {
	var up chan *pooledConn // stays nil, and so silent, without an extra one
	if extra {
		up = make(chan *pooledConn)
		left := make(chan struct{})
		defer close(left)
		go b.openExtra(ctx, up, left)
	}
	select {
	case <-b.pool.after(rest):
		return nil, nil
	case fresh := <-up:
		return fresh, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// openExtra opens an extra connection for the attempt that waits on up, or for the next if that
// one has left. One that fails is no attempt's failure, as none depends on it; nor does a panic end
// the process with all the requests that it serves.
func (b *Conns) openExtra(ctx context.Context, up chan<- *pooledConn, left <-chan struct{}) {
	defer func() {
		if reason := recover(); reason != nil {
			b.extraPanicked(&PanicError{where: "an extra connection", reason: reason, stack: debug.Stack()})
		}
	}()
	conn, err := b.connect(ctx)
	b.extraOpened(err, ctx.Err() != nil)
	if err != nil {
		return
	}
	select {
	case up <- conn:
	case <-left:
		b.put(conn)
	}
}

// extraOpened notes the end of the connect of an extra connection. Where it failed, and was not
// given up, no other is tried for a while.
func (b *Conns) extraOpened(err error, givenUp bool) {
	p := b.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	b.opening = false
	switch {
	case err == nil || givenUp:
	case socket.IsLocalError(err):
		b.noExtra = time.Now().Add(extraRetryDelay)
	default:
		b.noExtra = time.Now().Add(p.settings.IdleTimeout)
	}
}

// extraPanicked notes a panic as a failed connect, and keeps it for takePanic.
func (b *Conns) extraPanicked(err *PanicError) {
	b.extraOpened(err, false)
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	b.panicked = err
}

// takePanic returns the panic that is kept, once; nil if there is none.
func (b *Conns) takePanic() *PanicError {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	err := b.panicked
	b.panicked = nil
	return err
}

// pick takes the idle connection used last among those that have rested, else the one idle
// longest, else nil. The pool must be locked.
func (b *Conns) pick(now time.Time) *pooledConn {
	for i := len(b.idle) - 1; i >= 0; i-- {
		if conn := b.idle[i]; i == 0 || now.Sub(conn.since) >= b.pool.settings.RestTime {
			conn.unlist()
			return conn
		}
	}
	return nil
}

// put gives a connection back for the next attempt.
func (b *Conns) put(conn *pooledConn) { b.putSince(conn, time.Now()) }

// putSince is put for a connection that has been idle since then.
func (b *Conns) putSince(conn *pooledConn, since time.Time) {
	p := b.pool
	p.mu.Lock()
	if b.closed {
		p.mu.Unlock()
		conn.Close()
		return
	}
	conn.since, conn.element = since, p.idle.PushBack(conn)
	b.idle = append(b.idle, conn)
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(p.idleLifetime.limit(p.settings.IdleTimeout), p.sweep)
	}
	p.mu.Unlock()
}

// CloseIdle closes the connections that are idle; the backend stays.
func (b *Conns) CloseIdle() { closeAll(b.takeIdle(false)) }

// Close closes the connections for good: those in use when they are put back.
func (b *Conns) Close() { closeAll(b.takeIdle(true)) }

// takeIdle takes all idle connections out of the pool.
func (b *Conns) takeIdle(forGood bool) []*pooledConn {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	b.closed = b.closed || forGood
	taken := b.idle
	b.idle = nil
	for _, conn := range taken {
		b.pool.idle.Remove(conn.element)
	}
	return taken
}
