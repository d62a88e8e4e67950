package backend

import (
	"context"
	"runtime/debug"
	"time"

	"ploverreel/internal/socket"
)

// extraRetryDelay is how long no extra connection is opened after one failed because of an error of
// this machine. It is short because such errors are temporary.
const extraRetryDelay = 20 * time.Millisecond

// extraState is the state of the extra connections of a Conns. An extra connection is opened when
// the only connection that is not in use is settling, so that an attempt need not wait for it. The
// pool's mutex guards the state.
type extraState struct {
	dialling bool // an extra connection is being opened
	// notBefore is the earliest time at which the next extra connection may be opened. It is set
	// when one could not be opened, as the backend may have no capacity for it.
	notBefore time.Time
	// panicked is a panic while an extra connection was opened. The next Result reports it.
	panicked *PanicError
}

// reserveExtra reports whether an extra connection may be opened, and if so counts it as open. One
// may be opened only while all connections but the settling one are in use. A backend therefore has
// at most one connection more than its highest number of concurrent attempts. No connection is
// closed to make room for an extra one. The caller holds the pool's mutex.
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

// awaitSettled waits until a connection has settled and then returns nil and nil. If openExtra is
// set, it opens an extra connection at the same time, and returns that if it is open first. An
// extra connection that is open later becomes idle.
func (c *Conns) awaitSettled(ctx context.Context, wait time.Duration, openExtra bool) (*pooledConn, error) {
	var opened chan *pooledConn // without an extra connection nil, from which a receive blocks forever
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

// openExtra opens an extra connection for the attempt that receives from opened. If that attempt
// has closed abandoned, the connection becomes idle instead. No attempt fails because of an error,
// as none depends on the extra connection. A panic is recovered, as it would otherwise end the
// process with all the requests that it serves.
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

// recordExtraDial records that the connect of an extra connection has ended. If it failed and was
// not cancelled, no other extra connection is opened for some time: for extraRetryDelay after an
// error of this machine, and for the idle timeout after any other error.
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

// recordExtraPanic records a panic as a failed connect and keeps it for takeExtraPanic.
func (c *Conns) recordExtraPanic(err *PanicError) {
	c.recordExtraDial(err, false)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.extra.panicked = err
}

// takeExtraPanic returns the recorded panic and clears it. It returns nil if there is none.
func (c *Conns) takeExtraPanic() *PanicError {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	err := c.extra.panicked
	c.extra.panicked = nil
	return err
}
