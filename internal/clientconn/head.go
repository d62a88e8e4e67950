package clientconn

import (
	"time"

	"ploverreel/internal/socket"
)

// headState is the progress of reading the head of a request. The table's mutex guards it.
type headState struct {
	started            bool      // some bytes of the next head were read, but not all
	deadline           time.Time // when the head in progress must be complete
	receivedAt         time.Time // when the last bytes of the most recent head were read
	bufferSize         int       // size of the server's read buffer: the largest of its reads so far
	peekedAfterTimeout bool      // a read of this head timed out but was repeated, as bytes were unread
	serverWaited       bool      // on an idle connection, the server has set the deadline for the wait for the next head
	inServerBuffer     bool      // the server read the beginning of this head together with an earlier request
	arrivedEarly       bool      // the beginning of this head had arrived before the server read on behind an earlier request
	scan               headScan  // of the head in progress, or of that of the request in progress
	unscanned          unscannedText
	behind             []byte // read together with the end of the head in progress
	reserved           int64  // bytes of Table.headMemory that this head uses
}

// start records that the first bytes of a head were read at now, on a connection that has waited
// for them since the given time. The head must be complete HeadTimeout after since, but gets at
// least minHeadTime from now.
func (h *headState) start(since, now time.Time) {
	h.started = true
	h.deadline = since.Add(HeadTimeout)
	if least := now.Add(minHeadTime); h.deadline.Before(least) {
		h.deadline = least
	}
}

// awaitNext prepares for the head of the next request on a connection that has been idle since the
// given time.
func (h *headState) awaitNext(since time.Time) {
	h.peekedAfterTimeout = false
	h.deadline = since.Add(HeadTimeout)
	h.serverWaited, h.inServerBuffer, h.arrivedEarly, h.scan = false, false, false, headScan{}
	h.behind = nil
}

// recordScan scans bytes of the head in progress. Bytes behind its end may belong to the next one.
func (h *headState) recordScan(read []byte) {
	if h.inServerBuffer {
		h.unscanned.add(read)
		return
	}
	if h.scan == (headScan{}) {
		h.unscanned = unscannedText{} // the server's buffer was empty
	}
	behind := h.scan.scan(read)
	h.unscanned.add(behind)
	h.behind = append(h.behind[:0:0], behind...)
}

// beginRead records that the server reads into a buffer of size bytes, and reports whether it reads
// the head of a request. The server's first read is into its whole buffer. A later read into a
// smaller one means that the server already holds bytes of the next request, which it read together
// with the previous request. If that head is refused, beginRead returns the reason.
func (c *Conn) beginRead(size int) (isHead bool, refusal *headRefusal) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.stage == stageRejected && size > 1 {
		c.responseWritten = true // except in the background, the server reads on only behind its response
	}
	if !c.awaitsHead() {
		return false, nil
	}
	if c.stage == stageIdle && !c.head.started {
		c.head.arrivedEarly = len(c.readAhead) > 0 || socket.Peek(c.Conn) == socket.PeekUnread
	}
	c.head.bufferSize = max(c.head.bufferSize, size)
	if size < c.head.bufferSize && !c.head.started {
		c.startHead(time.Now())
	}
	if c.head.inServerBuffer {
		return true, c.checkHead()
	}
	return true, nil
}

// startHead records that the first bytes of a head were read. The head must be complete by its
// deadline, also on a connection that the table is closing. The caller holds table.mu.
func (c *Conn) startHead(now time.Time) {
	if c.stage == stageIdle {
		c.stageSince = now
	}
	c.progress.start(now)
	c.head.start(c.stageSince, now)
	_ = c.Conn.SetReadDeadline(c.head.deadline)
}

// retryAfterTimeout reports whether a read of a head that has timed out must be repeated because
// bytes arrived before the timeout was noticed. If they stayed unread, the close would reset the
// connection. A read is repeated at most once for each head.
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
		_ = c.Conn.SetReadDeadline(time.Now().Add(minHeadTime)) // the bytes have already arrived
	}
	return true
}

// recordRead records that bytes were read that arrived at receivedAt. If background is set, the
// server read them while a handler runs; otherwise they are part of a request. It reports whether a
// request is in progress. If the bytes belong to a head that is refused, it returns the reason.
func (c *Conn) recordRead(read []byte, background bool, receivedAt time.Time) (active bool, refusal *headRefusal) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.progress.add(len(read), time.Now())
	switch {
	case c.stage == stageActive:
		c.head.started = c.head.started || background
		c.head.unscanned.add(read)
		if background || c.wait == awaitsBody {
			c.bodyEnd.add(read)
		}
		return true, nil
	case !c.head.started:
		c.startHead(time.Now())
	case c.head.peekedAfterTimeout:
		_ = c.Conn.SetReadDeadline(c.head.deadline)
	}
	c.head.receivedAt = receivedAt
	if !c.awaitsHead() {
		return false, nil // the server discards the rest of a rejected request
	}
	c.head.recordScan(read)
	if c.head.scan.ended {
		c.beginBody(0) // until BeginBody
	}
	return false, c.checkHead()
}

// SetReadDeadline is called by the server. A connection that the table is closing keeps its expired
// deadline until bytes arrive, and a head in progress gets no later deadline than
// headState.deadline. The server sets the zero time only when a head is complete. From then on a
// request is in progress, and the table can't close the connection.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.awaitsHead() {
		if c.stage == stageIdle {
			c.detectBufferedHead()
		}
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

// detectBufferedHead records that the server sets a read deadline on an idle connection. It sets one
// before it waits for the first bytes of the next head, and another one when it has them. If it has
// read nothing in between, it read these bytes together with an earlier request. The caller holds
// table.mu.
func (c *Conn) detectBufferedHead() {
	if c.head.serverWaited && !c.head.started && !c.head.inServerBuffer {
		c.startHead(time.Now())
		c.head.inServerBuffer, c.head.arrivedEarly = true, true
		c.head.unscanned.limit(c.head.bufferSize)
	}
	c.head.serverWaited = true
}
