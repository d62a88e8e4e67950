package agent

import (
	"net"
	"net/http"
	"sync"
	"time"

	"ploverreel/internal/socket"
)

// clientTable is the client connection table: it holds the clients' connections, at most maxConns
// of them, and decides which are ended to make a slot free, to keep the number of idle ones in
// bounds, and at shutdown. mu guards the table and the first group of fields of each clientConn.
type clientTable struct {
	mu          sync.Mutex
	maxConns    int // the slots
	maxKeptIdle int // connections that have carried a request, above which they are not kept alive
	conns       map[*clientConn]struct{}
	waiting     int // accepted connections that wait for a slot

	// freed has an item when a slot has become free. Its buffer holds one: a waiter looks
	// through the table again, however many became free.
	freed chan struct{}

	// Durations that tests replace: silentConnGrace and acquireWait.
	silentGrace, acquireTimeout time.Duration
}

func newClientTable(maxConns, maxKeptIdle int) *clientTable {
	return &clientTable{maxConns: maxConns, maxKeptIdle: maxKeptIdle, conns: map[*clientConn]struct{}{},
		freed: make(chan struct{}, 1), silentGrace: silentConnGrace, acquireTimeout: acquireWait}
}

// resize changes the limits. Connections above a lowered limit are ended as new ones arrive.
func (t *clientTable) resize(maxConns, maxKeptIdle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns, t.maxKeptIdle = maxConns, maxKeptIdle
}

// acquirePatience is how long a new connection waits for a slot.
func (t *clientTable) acquirePatience() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acquireTimeout
}

// addWaiting changes the number of accepted connections that wait for a slot.
func (t *clientTable) addWaiting(change int) {
	t.mu.Lock()
	t.waiting += change
	t.mu.Unlock()
}

// acquire enters the connection in the table and reports whether there was a free slot. Without
// one it ends the connections that are needed least; their slots are free once the server has
// closed them, so the caller tries again.
func (t *clientTable) acquire(c *clientConn, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := 0; n < maxEvictionsPerAcquire && len(t.conns)-t.closingCount() >= t.maxConns; n++ {
		victim := t.evictionCandidate(now)
		if victim == nil {
			break
		}
		if victim.stage == stageRejected {
			t.closeRejected(victim)
		} else {
			t.endRead(victim)
		}
	}
	if len(t.conns) >= t.maxConns {
		return false
	}
	t.conns[c] = struct{}{}
	return true
}

// closingCount counts the connections that the server is about to close. The caller holds t.mu.
func (t *clientTable) closingCount() (n int) {
	for c := range t.conns {
		if c.closesWithoutRequest() {
			n++
		}
	}
	return n
}

// evictionClass says why a connection may be evicted. Lower classes are evicted first.
type evictionClass uint8

const (
	evictLongIdle       evictionClass = iota // idle for clientIdleGrace or longer
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

// evictionClass tells in which class a connection is. The caller holds t.mu.
func (t *clientTable) evictionClass(c *clientConn, now time.Time) evictionClass {
	age := now.Sub(c.stageSince)
	switch {
	case c.closing:
		return notEvictable
	case c.stage == stageIdle && c.head.started:
		if age >= unfinishedHeadGrace { // the server itself allows far longer
			return evictUnfinishedHead
		}
	case c.stage == stageIdle && age >= clientIdleGrace:
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
func (t *clientTable) evictionCandidate(now time.Time) *clientConn {
	var oldest [evictionClasses]*clientConn
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

// endRead ends a connection without a request in progress, such that no request is lost: its
// descriptor is not closed while the server reads, but that read times out at once. If the read
// returns bytes all the same, their request is answered and the connection closed with the
// response. If it returns none, the server closes the connection, of which nothing was read.
// The caller holds t.mu.
func (t *clientTable) endRead(c *clientConn) {
	now := time.Now()
	c.closing = true
	if c.head.started {
		c.head.deadline = now
	}
	_ = c.Conn.SetReadDeadline(now)
}

// beginRead notes that the server reads into a buffer of size bytes, and reports whether it reads
// a request's head. The size of its first read is that of its whole buffer. A later read into less
// means that the server already holds bytes of the next request, read together with the previous
// one.
func (t *clientTable) beginRead(c *clientConn, size int) (isHead bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.awaitsHead() {
		return false
	}
	c.head.bufferSize = max(c.head.bufferSize, size)
	if size < c.head.bufferSize && !c.head.started {
		t.startHead(c, time.Now())
	}
	return true
}

// startHead notes that the first bytes of a head have been read. The head has to be complete by
// its deadline, also on a connection that the table has ended. The caller holds t.mu.
func (t *clientTable) startHead(c *clientConn, now time.Time) {
	if c.stage == stageIdle {
		c.stageSince = now
	}
	c.head.start(c.stageSince, now)
	_ = c.Conn.SetReadDeadline(c.head.deadline)
}

// retryAfterTimeout reports whether a read of a head that has timed out is to be made once more,
// as bytes have arrived before the timeout was noticed: unread they would reset the connection.
func (t *clientTable) retryAfterTimeout(c *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.head.peekedAfterTimeout || socket.Peek(c.Conn) != socket.PeekUnread {
		return false
	}
	c.head.peekedAfterTimeout = true
	if !c.head.started {
		t.startHead(c, time.Now())
	} else {
		_ = c.Conn.SetReadDeadline(time.Now().Add(minHeadTime)) // the bytes are there already
	}
	return true
}

// noteRead notes bytes that were read from a connection and arrived at a time, either as part of
// a request or, with background set, next to a running handler. It reports whether a request is in
// progress.
func (t *clientTable) noteRead(c *clientConn, background bool, receivedAt time.Time) (active bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case c.stage == stageActive:
		c.head.started = c.head.started || background
		return true
	case !c.head.started:
		t.startHead(c, time.Now())
	case c.head.peekedAfterTimeout:
		_ = c.Conn.SetReadDeadline(c.head.deadline)
	}
	c.head.receivedAt = receivedAt
	return false
}

// setReadDeadline sets the deadline that the server wants for its reads. A connection that was
// ended keeps its own deadline until bytes arrive, and a head has no longer than headState.deadline.
// The server sets the zero time only once a head is complete: from then on a request is in
// progress, and the connection can't be ended any more.
func (t *clientTable) setReadDeadline(c *clientConn, deadline time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
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

// beginRequest notes that a handler takes the connection's request. It returns when the last byte
// of the request's head was read, and whether the connection closes with the response.
func (t *clientTable) beginRequest(c *clientConn) (receivedAt time.Time, last bool) {
	t.setStage(c, stageActive)
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.head.receivedAt, c.closing
}

// closeRejected closes a connection whose client was sent an error, and which the server reads no
// more. The caller holds t.mu.
func (t *clientTable) closeRejected(c *clientConn) {
	c.Conn.Close()
	delete(t.conns, c)
}

// remove frees the slot of a connection that is closed.
func (t *clientTable) remove(c *clientConn) {
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
	select {
	case t.freed <- struct{}{}:
	default:
	}
}

// noteResponseWritten notes that the server has written all that it will write on a connection.
func (t *clientTable) noteResponseWritten(c *clientConn) {
	t.mu.Lock()
	c.responseWritten = true
	t.mu.Unlock()
}

// setStage moves a connection to another stage. A rejected one stays rejected.
func (t *clientTable) setStage(c *clientConn, stage connStage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.stage != stageRejected {
		c.stage, c.stageSince = stage, time.Now()
	}
	switch stage {
	case stageActive:
		c.head.started = false // the head is complete
	case stageIdle:
		c.head.awaitNext(c.stageSince)
	}
}

// onConnState is the server's ConnState hook.
func (t *clientTable) onConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		t.setStage(c, stageActive)
	case http.StateIdle:
		t.setStage(c, stageIdle)
	}
}

// overKeptIdle reports whether more connections are kept than maxKeptIdle, so that clients may
// soon have no slot for their next request: some send one request and keep their connection
// without end. The caller holds t.mu.
func (t *clientTable) overKeptIdle() bool {
	kept := 0
	for c := range t.conns {
		if c.stage == stageIdle || c.stage == stageActive {
			kept++
		}
	}
	return kept > t.maxKeptIdle
}

// mayKeepAlive reports whether a connection may stay open after a response.
func (t *clientTable) mayKeepAlive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.overKeptIdle()
}

// reapIdle ends the connections that have been idle for clientIdleGrace, while too many are kept.
func (t *clientTable) reapIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.overKeptIdle() {
		return
	}
	for c := range t.conns {
		if c.isIdle() && now.Sub(c.stageSince) >= clientIdleGrace {
			t.endRead(c)
		}
	}
}

// closeIdle ends the connections that are between two requests and, if newToo is set, those on
// which nothing has arrived since they were accepted.
func (t *clientTable) closeIdle(newToo bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.isIdle() || newToo && c.stage == stageNew && c.isSilent() {
			t.endRead(c)
		}
	}
}

// count is how many connections are accepted and not closed.
func (t *clientTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) + t.waiting
}
