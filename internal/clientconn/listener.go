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

// Listen returns a listener on a TCP address. If the listen fails because this machine lacks a
// resource, Listen retries it for listenTimeout or until the context ends. The error is that of the
// last attempt.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return listenWith(ctx, func() (net.Listener, error) { return net.Listen("tcp", address) }, time.After)
}

// listenWith is Listen with the given functions to open the listener and to wait.
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

// isTransientListenError reports whether a listen may succeed when it is retried. For a listen,
// EADDRNOTAVAIL is permanent, as the address does not belong to this machine. A connect returns the
// same error for a temporary fault.
func isTransientListenError(err error) bool {
	return socket.IsLocalError(err) && !errors.Is(err, syscall.EADDRNOTAVAIL)
}

// Listener is a net.Listener that enters each accepted connection in the client connection table.
// Its connections are of type *Conn.
type Listener struct {
	net.Listener
	table      *Table
	closeOnce  sync.Once
	closed     chan struct{} // closed with the listener
	log        *slog.Logger
	failures   int       // number of failed accepts so far
	lastLogged time.Time // when a failure was last logged
	after      func(time.Duration) <-chan time.Time
}

// NewListener returns a Listener that accepts from ln and logs failed accepts.
func NewListener(ln net.Listener, table *Table, log *slog.Logger) *Listener {
	return &Listener{Listener: ln, table: table, closed: make(chan struct{}), log: log, after: time.After}
}

// Close closes the listener. Both the graceful shutdown and the HTTP server call it. The second
// call returns no error; otherwise the agent would exit with an error after a successful shutdown.
func (l *Listener) Close() (err error) {
	l.closeOnce.Do(func() {
		err = l.Listener.Close()
		close(l.closed)
	})
	return err
}

// Accept returns the next connection that gets a slot in the table. It also accepts connections
// while the table is full. Otherwise they would stay in the kernel's queue, and their requests would
// be received by the kernel but not answered. A connection that gets no slot within the table's
// acquire timeout is closed. Accept returns an error only after the listener was closed.
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

// acceptNext accepts a connection and retries after each failure. On Linux, accept also returns
// errors of the network and of the new connection. Such an error, or an exhausted descriptor table,
// does not mean that the next accept will fail.
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

// recordFailure counts a failed accept, and logs at most one in each acceptLogInterval.
func (l *Listener) recordFailure(err error) {
	l.failures++
	if now := time.Now(); l.lastLogged.IsZero() || now.Sub(l.lastLogged) >= acceptLogInterval {
		l.lastLogged = now
		l.log.Warn("accept failed, retrying", "err", err, "failures", l.failures)
	}
}

// acquireSlot waits for a slot for a new connection. If there is none in time, it closes the
// connection and returns nil. The close of the listener does not end the wait, because the
// connection was accepted, its request may have arrived, and the wait is short. During the wait the
// table counts the connection as waiting, so that a shutdown waits for it.
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
