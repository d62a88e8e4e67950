package clientconn

import (
	"context"
	"time"

	"ploverreel/internal/socket"
)

// exceedsMaxKeepAlive reports whether more than maxKeepAlive connections are idle or active.
// Clients may then soon get no slot for their next request, because some clients send one request
// and keep their connection open forever. The caller holds t.mu.
func (t *Table) exceedsMaxKeepAlive() bool {
	kept := 0
	for c := range t.conns {
		if c.stage == stageIdle || c.stage == stageActive {
			kept++
		}
	}
	return kept > t.maxKeepAlive
}

// MayKeepAlive reports whether a connection may be kept alive after a response.
func (t *Table) MayKeepAlive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.exceedsMaxKeepAlive()
}

// ReapIdleUntil periodically closes long idle connections while too many are kept alive. It returns
// when the context ends.
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

// reapIdle closes the connections that have been idle for idleGrace if too many are kept alive.
func (t *Table) reapIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.exceedsMaxKeepAlive() {
		return
	}
	for c := range t.conns {
		if c.isIdle() && now.Sub(c.stageSince) >= idleGrace {
			c.expireRead()
		}
	}
}

// CloseIdle closes the connections that are between two requests. If includeNew is set, it also
// closes new connections on which nothing has arrived since the accept.
func (t *Table) CloseIdle(includeNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.isIdle() || includeNew && c.stage == stageNew && c.isSilent() {
			c.expireRead()
		}
	}
}

// isIdle reports whether the connection is between two requests and no byte of the next one has
// arrived. The caller holds table.mu.
func (c *Conn) isIdle() bool {
	return !c.closing && c.stage == stageIdle && !c.head.started && socket.Peek(c.Conn) != socket.PeekUnread
}

// isSilent reports whether no byte has arrived on the connection, neither read nor unread. The
// caller holds table.mu.
func (c *Conn) isSilent() bool {
	return !c.closing && !c.received.Load() && socket.Peek(c.Conn) == socket.PeekNothing
}
