package backend

import (
	"context"
	"runtime/debug"
	"time"

	"ploverreel/internal/socket"
)

// extraRetryDelay is the time without another extra connection after this machine could not open
// one. It is short, as the errors of this machine last for a moment.
const extraRetryDelay = 20 * time.Millisecond

// extraState is the state of the extra connections of a Conns: those that are opened so that an
// attempt needn't wait until the only connection that isn't in use has settled. The pool's mutex
// guards it.
type extraState struct {
	dialling bool // an extra connection is being opened
	// notBefore is when the next one may be opened, as the last could not be: the backend may have
	// no capacity for it.
	notBefore time.Time
	// panicked is a panic while one was opened, which the next result of an attempt reports.
	panicked *PanicError
}

// reserveExtra reports whether an extra connection may be opened, and if so counts it as open. All
// other connections have an attempt, so a backend has at most one connection more than the most
// attempts it had at one time. None is closed for an extra one. The caller holds the pool's mutex.
func (c *Conns) reserveExtra() bool {
	p := c.pool
	if !p.settings.ExtraConns || c.extra.dialling || len(c.idle) > 0 || p.open >= p.settings.MaxConns ||
		time.Now().Before(c.extra.notBefore) {
		return false
	}
	p.open++
	c.extra.dialling = true
	return true
}

// awaitSettled waits until a connection has settled, and returns nil and nil then. If an extra
// connection is opened and is up first, it returns that. One that is up later joins the idle ones.
func (c *Conns) awaitSettled(ctx context.Context, wait time.Duration, openExtra bool) (*pooledConn, error) {
	var opened chan *pooledConn // nil, which blocks forever, without an extra connection
	if openExtra {
		opened = make(chan *pooledConn)
		abandoned := make(chan struct{})
		defer close(abandoned)
		go c.openExtra(ctx, opened, abandoned)
	}
	select {
	case <-c.pool.after(wait):
		return nil, nil
	case extra := <-opened:
		return extra, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// openExtra opens an extra connection for the attempt that receives from opened or, once that has
// abandoned it, for the next. If it fails, no attempt does, as none depends on it. A panic doesn't
// end the process with all the requests that it serves.
func (c *Conns) openExtra(ctx context.Context, opened chan<- *pooledConn, abandoned <-chan struct{}) {
	defer func() {
		if reason := recover(); reason != nil {
			c.recordExtraPanic(&PanicError{where: "an extra connection", reason: reason, stack: debug.Stack()})
		}
	}()
	conn, err := c.connect(ctx)
	c.recordExtraDial(err, ctx.Err() != nil)
	if err != nil {
		return
	}
	select {
	case opened <- conn:
	case <-abandoned:
		c.put(conn)
	}
}

// recordExtraDial records the end of the connect of an extra connection. If that failed without
// being cancelled, no other is opened for a while.
func (c *Conns) recordExtraDial(err error, cancelled bool) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.extra.dialling = false
	switch {
	case err == nil || cancelled:
	case socket.IsLocalError(err):
		c.extra.notBefore = time.Now().Add(extraRetryDelay)
	default:
		c.extra.notBefore = time.Now().Add(p.settings.IdleTimeout)
	}
}

// recordExtraPanic records a panic as a failed connect, and keeps it for takeExtraPanic.
func (c *Conns) recordExtraPanic(err *PanicError) {
	c.recordExtraDial(err, false)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.extra.panicked = err
}

// takeExtraPanic returns the panic that was kept, once; nil if there is none.
func (c *Conns) takeExtraPanic() *PanicError {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	err := c.extra.panicked
	c.extra.panicked = nil
	return err
}
