package clientconn

import (
	"time"

	"ploverreel/internal/socket"
)

// evictionClass is the reason why a connection may be evicted, or notEvictable. Lower classes are
// evicted first.
type evictionClass uint8

const (
	evictLongIdle   evictionClass = iota // idle for idleGrace or longer
	evictSilent                          // new, and nothing received for Table.silentGrace or longer
	evictRejected                        // its request was answered with an error, which is written
	evictUnfinished                      // its request is still incomplete after unfinishedGrace
	evictStalled                         // its request is incomplete, and hardly a byte came for stalledGrace
	evictIdle                            // idle for less than idleGrace
	notEvictable                         // has a whole request in progress, is too recent, or is closing

	evictionClasses = int(notEvictable)
)

// protectedByUnreadBytes reports whether unread bytes protect a connection of the class from
// eviction. Such bytes are likely to be a client's request.
func (class evictionClass) protectedByUnreadBytes() bool {
	return class != evictRejected && class != evictUnfinished
}

// evictionClass returns the class of a connection. The caller holds t.mu.
func (t *Table) evictionClass(c *Conn, now time.Time) evictionClass {
	age := now.Sub(c.stageSince)
	switch {
	case c.stage == stageRejected && c.responseWritten:
		return evictRejected
	case c.mayEndWait(), !c.closing && c.isReceivingHead():
		return c.unfinishedClass(age, now)
	case c.closing:
		return notEvictable
	case c.stage == stageIdle && age >= idleGrace:
		return evictLongIdle
	case c.stage == stageNew && age >= t.silentGrace:
		return evictSilent
	case c.stage == stageIdle:
		return evictIdle
	}
	return notEvictable
}

// isReceivingHead reports whether a part of a head was received, but not all. The caller holds
// table.mu.
func (c *Conn) isReceivingHead() bool {
	return c.stage == stageIdle && c.head.started || c.stage == stageNew && c.received.Load()
}

// unfinishedClass returns the class of a connection on which a part of a request was received. The
// HTTP server's own timeouts are much longer than the graces. The caller holds table.mu.
func (c *Conn) unfinishedClass(age time.Duration, now time.Time) evictionClass {
	switch {
	case age >= unfinishedGrace:
		return evictUnfinished
	case c.progress.stalled(now):
		return evictStalled
	}
	return notEvictable
}

// evictionCandidate returns the connection to evict for a new one. Among the connections of the
// lowest class that has any, it is the one that has been in its stage longest. It returns nil if no
// connection may be evicted. The caller holds t.mu.
func (t *Table) evictionCandidate(now time.Time) *Conn {
	var oldest [evictionClasses]*Conn
	peeks := 0
	for c := range t.conns {
		class := t.evictionClass(c, now)
		if class == notEvictable {
			continue
		}
		if oldest[class] != nil && !c.stageSince.Before(oldest[class].stageSince) {
			continue
		}
		if class.protectedByUnreadBytes() {
			if peeks++; peeks > maxPeeksPerEviction || socket.Peek(c.Conn) == socket.PeekUnread {
				continue
			}
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

// closingCount returns the number of connections that the table is closing and the server is about
// to close. The caller holds t.mu.
func (t *Table) closingCount() (n int) {
	for c := range t.conns {
		if c.closesWithoutRequest() || c.wait == waitEvicted && !c.responseWritten {
			n++
		}
	}
	return n
}

// expireRead closes a connection that has no request in progress, without the loss of a request that
// arrives meanwhile. It does not close the descriptor while the server reads, but makes that read
// time out at once. If the read still returns bytes, their request is answered and the connection is
// closed with the response. If it returns none, no byte of a request was read, and the server closes
// the connection. The caller holds table.mu.
func (c *Conn) expireRead() {
	now := time.Now()
	c.closing = true
	if c.head.started {
		c.head.deadline = now
	}
	_ = c.Conn.SetReadDeadline(now)
}

// evict makes the server close a connection whose slot is needed, and reports whether it is closed
// already. The caller holds t.mu.
func (t *Table) evict(c *Conn) (isClosed bool) {
	switch {
	case c.stage == stageRejected && c.responseWritten:
		t.closeRejected(c)
		return true
	case c.mayEndWait():
		c.endWait()
	default:
		c.expireRead()
	}
	return false
}

// closeRejected closes a connection whose request was answered with an error. No byte that is read
// from it is used any more. The caller holds t.mu.
func (t *Table) closeRejected(c *Conn) {
	c.Conn.Close()
	t.delete(c)
}
