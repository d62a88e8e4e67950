package clientconn

import (
	"context"
	"time"

	"ploverreel/internal/socket"
)

// overKeptIdle reports whether more connections are kept than maxKeptIdle, so that clients may
// soon have no slot for their next request: some send one request and keep their connection
// without end. The caller holds t.mu.
func (t *Table) overKeptIdle() bool {
	kept := 0
	for c := range t.conns {
		if c.stage == stageIdle || c.stage == stageActive {
			kept++
		}
	}
	return kept > t.maxKeptIdle
}

// MayKeepAlive reports whether a connection may stay open after a response.
func (t *Table) MayKeepAlive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.overKeptIdle()
}

// ReapIdleUntil ends long idle connections, while too many are kept, until the context ends.
func (t *Table) ReapIdleUntil(ctx context.Context) {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			t.reapIdle(now)
		case <-ctx.Done():
			return
		}
	}
}

// reapIdle ends the connections that have been idle for idleGrace, while too many are kept.
func (t *Table) reapIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.overKeptIdle() {
		return
	}
	for c := range t.conns {
		if c.isIdle() && now.Sub(c.stageSince) >= idleGrace {
			c.endRead()
		}
	}
}

// CloseIdle ends the connections that are between two requests and, if newToo is set, those on
// which nothing has arrived since they were accepted.
func (t *Table) CloseIdle(newToo bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.isIdle() || newToo && c.stage == stageNew && c.isSilent() {
			c.endRead()
		}
	}
}

// isIdle reports whether the connection is between two requests and nothing of the next has
// arrived. The caller holds table.mu.
func (c *Conn) isIdle() bool {
	return !c.closing && c.stage == stageIdle && !c.head.started && socket.Peek(c.Conn) != socket.PeekUnread
}

// isSilent reports whether nothing has arrived on the connection, not even unread. The caller
// holds table.mu.
func (c *Conn) isSilent() bool {
	return !c.closing && !c.received.Load() && socket.Peek(c.Conn) == socket.PeekNothing
}
