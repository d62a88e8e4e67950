package clientconn

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"ploverreel/internal/socket"
)

// Listen returns a listener on a TCP address. A listen that fails for want of a resource of this
// machine is retried for listenTimeout, or until the context ends. The error is that of the last
// try.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return listenWith(ctx, func() (net.Listener, error) { return net.Listen("tcp", address) }, time.After)
}

// listenWith is Listen by a function that opens the listener and one that waits.
func listenWith(ctx context.Context, open func() (net.Listener, error), after func(time.Duration) <-chan time.Time) (net.Listener, error) {
	for retries := listenTimeout / acceptRetryDelay; ; retries-- {
		ln, err := open()
		if err == nil || !isTransientListenError(err) || retries <= 0 {
			return ln, err
		}
		select {
		case <-after(acceptRetryDelay):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// isTransientListenError reports whether a listen may succeed when it is retried. An address that
// doesn't belong to this machine is a permanent fault, unlike where a connect reports the same error.
func isTransientListenError(err error) bool {
	return socket.IsLocalError(err) && !errors.Is(err, syscall.EADDRNOTAVAIL)
}

// Listener is a net.Listener that enters each connection that it accepts in the client connection
// table. Its connections are of type *Conn.
type Listener struct {
	net.Listener
	table      *Table
	closeOnce  sync.Once
	closed     chan struct{} // closed with the listener
	log        *slog.Logger
	failures   int       // failed accepts so far
	lastLogged time.Time // when a failure was last logged
	after      func(time.Duration) <-chan time.Time
}

// NewListener returns a Listener that accepts from ln and logs failed accepts.
func NewListener(ln net.Listener, table *Table, log *slog.Logger) *Listener {
	return &Listener{Listener: ln, table: table, closed: make(chan struct{}), log: log, after: time.After}
}

// Close closes the listener. Both the graceful shutdown and the http server call it; the second
// call returns no error, or an agent that shut down in order would exit with one.
func (l *Listener) Close() (err error) {
	l.closeOnce.Do(func() {
		err = l.Listener.Close()
		close(l.closed)
	})
	return err
}

// Accept returns the next connection that has a slot in the table. It accepts also while the table
// is full: a connection left in the kernel's queue would have its request count as received with
// nobody to answer it. One that gets no slot in defaultAcquireTimeout is closed. Only the listener's close
// ends Accept with an error.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		if client := l.acquireSlot(conn); client != nil {
			return client, nil
		}
	}
}

// acceptNext accepts a connection, however often that fails first. Linux returns errors of the
// network and of the new connection from accept; neither these nor an exhausted descriptor table
// say anything of the connections that follow.
func (l *Listener) acceptNext() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.recordFailure(err)
		select {
		case <-l.after(acceptRetryDelay):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// recordFailure counts a failed accept, and logs it at most once in acceptLogInterval.
func (l *Listener) recordFailure(err error) {
	l.failures++
	if now := time.Now(); l.lastLogged.IsZero() || now.Sub(l.lastLogged) >= acceptLogInterval {
		l.lastLogged = now
		l.log.Warn("accept failed, retrying", "err", err, "failures", l.failures)
	}
}

// acquireSlot waits for a slot for a new connection, and closes the connection if there is none in
// time. The listener's close doesn't end the wait, which is short: the connection was accepted, and
// its request may have arrived. It counts as waiting meanwhile, so that a shutdown waits for it.
func (l *Listener) acquireSlot(conn net.Conn) *Conn {
	client := &Conn{Conn: conn, table: l.table, stageSince: time.Now()}
	l.table.addWaiting(1)
	defer l.table.addWaiting(-1)
	for !l.table.acquire(client, time.Now()) {
		if client.firstSeenAt.IsZero() && socket.Peek(conn) == socket.PeekUnread {
			client.firstSeenAt = time.Now()
		}
		if time.Since(client.stageSince) > l.table.currentAcquireTimeout() {
			conn.Close()
			return nil
		}
		select {
		case <-l.table.freed:
		case <-time.After(acquirePollInterval):
		}
	}
	return client
}
