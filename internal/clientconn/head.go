package clientconn

import (
	"time"

	"ploverreel/internal/socket"
)

// headState is the progress of reading a request's head. It is guarded by the table's mutex.
type headState struct {
	started            bool      // bytes of the next head were read, and it is not complete
	deadline           time.Time // when the head in progress has to be complete
	receivedAt         time.Time // when the last bytes of the latest head were read
	bufferSize         int       // the size of the server's read buffer, learned from its reads
	peekedAfterTimeout bool      // unread bytes were looked for after a read timed out
}

// start notes at now that the first bytes of a head were read on a connection that has waited for
// them since a time. The head has HeadTimeout from since, but at least minHeadTime from now.
func (h *headState) start(since, now time.Time) {
	h.started = true
	h.deadline = since.Add(HeadTimeout)
	if least := now.Add(minHeadTime); h.deadline.Before(least) {
		h.deadline = least
	}
}

// awaitNext prepares for the head of the next request on a connection that is idle since a time.
func (h *headState) awaitNext(since time.Time) {
	h.peekedAfterTimeout = false
	h.deadline = since.Add(HeadTimeout)
}

// beginRead notes that the server reads into a buffer of size bytes, and reports whether it reads
// a request's head. The size of its first read is that of its whole buffer. A later read into less
// means that the server already holds bytes of the next request, read together with the previous
// one.
func (c *Conn) beginRead(size int) (isHead bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if !c.awaitsHead() {
		return false
	}
	c.head.bufferSize = max(c.head.bufferSize, size)
	if size < c.head.bufferSize && !c.head.started {
		c.startHead(time.Now())
	}
	return true
}

// startHead notes that the first bytes of a head have been read. The head has to be complete by
// its deadline, also on a connection that the table has ended. The caller holds table.mu.
func (c *Conn) startHead(now time.Time) {
	if c.stage == stageIdle {
		c.stageSince = now
	}
	c.head.start(c.stageSince, now)
	_ = c.Conn.SetReadDeadline(c.head.deadline)
}

// retryAfterTimeout reports whether a read of a head that has timed out is to be made once more,
// as bytes have arrived before the timeout was noticed: unread they would reset the connection.
func (c *Conn) retryAfterTimeout() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.head.peekedAfterTimeout || socket.Peek(c.Conn) != socket.PeekUnread {
		return false
	}
	c.head.peekedAfterTimeout = true
	if !c.head.started {
		c.startHead(time.Now())
	} else {
		_ = c.Conn.SetReadDeadline(time.Now().Add(minHeadTime)) // the bytes are there already
	}
	return true
}

// recordRead notes bytes that were read from a connection and arrived at a time, either as part of
// a request or, with background set, next to a running handler. It reports whether a request is in
// progress.
func (c *Conn) recordRead(background bool, receivedAt time.Time) (active bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	switch {
	case c.stage == stageActive:
		c.head.started = c.head.started || background
		return true
	case !c.head.started:
		c.startHead(time.Now())
	case c.head.peekedAfterTimeout:
		_ = c.Conn.SetReadDeadline(c.head.deadline)
	}
	c.head.receivedAt = receivedAt
	return false
}

// SetReadDeadline is called by the server. A connection that the table has ended keeps its own
// deadline until bytes arrive, and a head has no longer than headState.deadline. The server sets
// the zero time only once a head is complete: from then on a request is in progress, and the
// connection can't be ended any more.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.awaitsHead() {
		switch {
		case deadline.IsZero():
			c.stage, c.stageSince, c.head.started = stageActive, time.Now(), false
		case c.head.started && c.head.deadline.Before(deadline):
			deadline = c.head.deadline
		case c.closing && !c.head.started:
			return nil
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}
