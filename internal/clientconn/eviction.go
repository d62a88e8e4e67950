package clientconn

import (
	"time"

	"ploverreel/internal/socket"
)

// evictionClass says why a connection may be evicted. Lower classes are evicted first.
type evictionClass uint8

const (
	evictLongIdle       evictionClass = iota // idle for idleGrace or longer
	evictSilent                              // new, and nothing was received for the silent grace
	evictRejected                            // answered with an error, all of which is written
	evictUnfinishedHead                      // a head that is incomplete after unfinishedHeadGrace
	evictIdle                                // idle, even if only just
	notEvictable                             // with a request in progress, too recent, or ended already

	evictionClasses = int(notEvictable)
)

// requiresNoUnreadBytes reports whether a connection of the class stays when unread bytes have
// arrived on it: they are likely a client's request.
func (class evictionClass) requiresNoUnreadBytes() bool {
	return class != evictRejected && class != evictUnfinishedHead
}

// evictionClass returns the class of a connection. The caller holds t.mu.
func (t *Table) evictionClass(c *Conn, now time.Time) evictionClass {
	age := now.Sub(c.stageSince)
	switch {
	case c.closing:
		return notEvictable
	case c.stage == stageIdle && c.head.started:
		if age >= unfinishedHeadGrace { // the server itself allows far longer
			return evictUnfinishedHead
		}
	case c.stage == stageIdle && age >= idleGrace:
		return evictLongIdle
	case c.stage == stageNew && c.received.Load() && age >= unfinishedHeadGrace:
		return evictUnfinishedHead
	case c.stage == stageNew && !c.received.Load() && age >= t.silentGrace:
		return evictSilent
	case c.stage == stageRejected && c.responseWritten:
		return evictRejected
	case c.stage == stageIdle:
		return evictIdle
	}
	return notEvictable
}

// evictionCandidate returns the connection to evict for a new one, or nil: of the lowest class that
// has any, the one that has been at its stage for longest. The caller holds t.mu.
func (t *Table) evictionCandidate(now time.Time) *Conn {
	var oldest [evictionClasses]*Conn
	for c := range t.conns {
		class := t.evictionClass(c, now)
		if class == notEvictable {
			continue
		}
		if oldest[class] != nil && !c.stageSince.Before(oldest[class].stageSince) {
			continue
		}
		if class.requiresNoUnreadBytes() && socket.Peek(c.Conn) == socket.PeekUnread {
			continue
		}
		oldest[class] = c
	}
	for _, c := range oldest {
		if c != nil {
			return c
		}
	}
	return nil
}

// closingCount counts the connections that the server is about to close. The caller holds t.mu.
func (t *Table) closingCount() (n int) {
	for c := range t.conns {
		if c.closesWithoutRequest() {
			n++
		}
	}
	return n
}

// endRead ends a connection without a request in progress, such that no request is lost: its
// descriptor is not closed while the server reads, but that read times out at once. If the read
// returns bytes all the same, their request is answered and the connection closed with the
// response. If it returns none, the server closes the connection, of which nothing was read.
// The caller holds table.mu.
func (c *Conn) endRead() {
	now := time.Now()
	c.closing = true
	if c.head.started {
		c.head.deadline = now
	}
	_ = c.Conn.SetReadDeadline(now)
}

// closeRejected closes a connection whose client was sent an error, and which the server reads no
// more. The caller holds t.mu.
func (t *Table) closeRejected(c *Conn) {
	c.Conn.Close()
	delete(t.conns, c)
}
