package agent

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// acceptRetryDelay is how long a failed accept is waited after. The shortest deadlines of
	// clients are some tens of milliseconds, so it doesn't grow; a failure costs one call.
	acceptRetryDelay = 10 * time.Millisecond
	// acceptLogInterval is how often failed accepts are logged at most.
	acceptLogInterval = time.Second
	// listenFor is how long a start waits for a listener that this machine has no room for: the
	// agent has to be ready within 6 s of a restart.
	listenFor = 4 * time.Second
)

// Listen opens the clients' listener. A table that is full for a moment doesn't end the start.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return listenWith(ctx, func() (net.Listener, error) { return net.Listen("tcp", address) }, time.After)
}

func listenWith(ctx context.Context, open func() (net.Listener, error), after func(time.Duration) <-chan time.Time) (net.Listener, error) {
	for tries := listenFor / acceptRetryDelay; ; tries-- {
		ln, err := open()
		// An address that is not this machine's stays so.
		if err == nil || !isLocalError(err) || errors.Is(err, syscall.EADDRNOTAVAIL) || tries <= 0 {
			return ln, err
		}
		select {
		case <-after(acceptRetryDelay):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// listener gives each connection that it accepts a place.
type clientListener struct {
	net.Listener
	table    *clientTable
	once     sync.Once
	closed   chan struct{} // closed with the listener; nil: nobody waits
	log      *slog.Logger
	failures int       // failed accepts so far
	logged   time.Time // when one was logged last
	// after is time.After, but for tests.
	after func(time.Duration) <-chan time.Time
}

func newClientListener(ln net.Listener, places *clientTable, log *slog.Logger) *clientListener {
	return &clientListener{Listener: ln, table: places, closed: make(chan struct{}), log: log, after: time.After}
}

// Close may be called by who leaves and by the server: the second must not be told that it
// came too late, or an agent that ended in order would end with an error.
func (l *clientListener) Close() (err error) {
	l.once.Do(func() {
		err = l.Listener.Close()
		if l.closed != nil {
			close(l.closed)
		}
	})
	return err
}

// Accept always takes the next connection: left in the kernel's queue its request would
// count as taken with nobody to answer. Without a place for it one is made, or where
// all are in use the new connection is closed. Only the listener's close ends it.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		if cc := l.place(c); cc != nil {
			return cc, nil
		}
	}
}

// acceptNext accepts a connection, however often that fails before. Linux hands on errors of
// the network and of the connection as errors of accept; none of them, nor a table that is full
// for a moment, says anything of the connections to come.
func (l *clientListener) acceptNext() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.noteFailure(err)
		select {
		case <-l.after(acceptRetryDelay):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// noteFailure counts a failed accept and logs it, unless one was just logged.
func (l *clientListener) noteFailure(err error) {
	l.failures++
	if now := time.Now(); l.logged.IsZero() || now.Sub(l.logged) >= acceptLogInterval {
		l.logged = now
		l.log.Warn("accept failed, is tried again", "err", err, "failures", l.failures)
	}
}

// place finds a place for a new connection, or closes it. The listener's close doesn't end
// the wait, which is short: the connection was accepted and its request may have come.
func (l *clientListener) place(c net.Conn) *clientConn {
	cc := &clientConn{Conn: c, table: l.table, stageSince: time.Now()}
	l.table.wait(1) // who leaves must not take it for closed
	defer l.table.wait(-1)
	for !l.table.acquire(cc, time.Now()) {
		if cc.firstSeenAt.IsZero() && peekConn(c) > 0 {
			cc.firstSeenAt = time.Now()
		}
		if time.Since(cc.stageSince) > l.table.acquirePatience() {
			c.Close()
			return nil
		}
		select {
		case <-l.table.freed:
		case <-time.After(acquirePollInterval):
		}
	}
	return cc
}
