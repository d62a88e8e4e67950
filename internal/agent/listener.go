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
type listener struct {
	net.Listener
	places   *places
	once     sync.Once
	closed   chan struct{} // closed with the listener; nil: nobody waits
	log      *slog.Logger
	failures int       // failed accepts so far
	logged   time.Time // when one was logged last
	// after is time.After, but for tests.
	after func(time.Duration) <-chan time.Time
}

func newListener(ln net.Listener, places *places, log *slog.Logger) *listener {
	return &listener{Listener: ln, places: places, closed: make(chan struct{}), log: log, after: time.After}
}

// Close may be called by who leaves and by the server: the second must not be told that it
// came too late, or an agent that ended in order would end with an error.
func (l *listener) Close() (err error) {
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
func (l *listener) Accept() (net.Conn, error) {
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
func (l *listener) acceptNext() (net.Conn, error) {
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
func (l *listener) noteFailure(err error) {
	l.failures++
	if now := time.Now(); l.logged.IsZero() || now.Sub(l.logged) >= acceptLogInterval {
		l.logged = now
		l.log.Warn("accept failed, is tried again", "err", err, "failures", l.failures)
	}
}

// place finds a place for a new connection, or closes it. The listener's close doesn't end
// the wait, which is short: the connection was accepted and its request may have come.
func (l *listener) place(c net.Conn) *clientConn {
	cc := &clientConn{Conn: c, places: l.places, since: time.Now()}
	l.places.wait(1) // who leaves must not take it for closed
	defer l.places.wait(-1)
	for !l.places.take(cc, time.Now()) {
		if cc.seenAt.IsZero() && pending(c) > 0 {
			cc.seenAt = time.Now()
		}
		if time.Since(cc.since) > l.places.patience() {
			c.Close()
			return nil
		}
		select {
		case <-l.places.freed:
		case <-time.After(roomEvery):
		}
	}
	return cc
}
