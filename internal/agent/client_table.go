package agent

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleFor is how long a client's connection without a request is left alone.
	clientIdleGrace = 2 * time.Second
	// unfinishedFor is how long a request may take to come while others want its place.
	unfinishedHeadGrace = 500 * time.Millisecond
	// silentFor is how long a new connection may say nothing while others want its place,
	// roomFor how long a new one waits for a place, looked for every roomEvery.
	silentConnGrace                  = 30 * time.Millisecond
	acquireWait, acquirePollInterval = 150 * time.Millisecond, 2 * time.Millisecond
	// leastHeadFor is what a head has to come whole in at least, from its first byte.
	minHeadTime = 100 * time.Millisecond
	// endedAtOnce is how many connections are ended at most for one that comes. Each costs a
	// look at all; a limit that was lowered is reached as more come.
	maxEvictionsPerAcquire = 4
	// tidyEvery is how often idle connections are looked through.
	reapInterval = 250 * time.Millisecond
)

// stage is what a client's connection is at.
type connStage uint8

const (
	stageNew      connStage = iota // its first request has not come whole
	stageIdle                      // between requests
	stageActive                    // a request is being read or answered
	stageRejected                  // it was told that its request is bad, and closes
)

// places holds the clients' connections, at most as many as there are places.
type clientTable struct {
	maxConns    int
	maxKeptIdle int // connections that ask or have asked, past which they are not kept
	mu          sync.Mutex
	conns       map[*clientConn]struct{}
	waiting     int           // accepted connections that wait for a place
	freed       chan struct{} // has an item when a place became free; room for one
	// silent and room are silentFor and roomFor, but for tests.
	silentGrace, acquireTimeout time.Duration
}

func newClientTable(most, many int) *clientTable {
	return &clientTable{maxConns: most, maxKeptIdle: many, conns: map[*clientConn]struct{}{},
		freed: make(chan struct{}, 1), silentGrace: silentConnGrace, acquireTimeout: acquireWait}
}

// resize changes how many places there are; connections over it end as others come.
func (p *clientTable) resize(most, many int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns, p.maxKeptIdle = most, many
}

// patience is how long a new connection waits for a place.
func (p *clientTable) acquirePatience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acquireTimeout
}

// wait counts an accepted connection that has no place yet, or with -1 no longer waits.
func (p *clientTable) wait(change int) {
	p.mu.Lock()
	p.waiting += change
	p.mu.Unlock()
}

// take gives the connection a place if one is free. Otherwise it ends the connection that needs
// its own least: its place is free when the server has closed it.
func (p *clientTable) acquire(c *clientConn, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := 0; n < maxEvictionsPerAcquire && len(p.conns)-p.closing() >= p.maxConns; n++ {
		least := p.evictionCandidate(now)
		if least == nil {
			break
		}
		if least.stage == stageRejected {
			p.closeLocked(least)
		} else {
			p.endRead(least)
		}
	}
	if len(p.conns) >= p.maxConns {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// closing counts the connections that the server is about to close. The places are locked.
func (p *clientTable) closing() (n int) {
	for c := range p.conns {
		if c.closing && !c.headStarted && (c.stage == stageNew || c.stage == stageIdle) {
			n++
		}
	}
	return n
}

// least finds the connection to end for a new one: the one idle longest, else the
// oldest that has said nothing, else one that was turned away, else the oldest whose
// request does not come to its end, and of the others one between requests. One
// with a request open is never ended. The places are locked.
func (p *clientTable) evictionCandidate(now time.Time) *clientConn {
	const kinds = 5
	var found [kinds]*clientConn
	for c := range p.conns {
		kind, age := kinds, now.Sub(c.stageSince)
		switch {
		case c.closing:
		case c.stage == stageIdle && c.headStarted:
			if age >= unfinishedHeadGrace { // the server waits far longer for its first bytes
				kind = 3
			}
		case c.stage == stageIdle && age >= clientIdleGrace:
			kind = 0
		case c.stage == stageNew && c.received.Load() && age >= unfinishedHeadGrace:
			kind = 3
		case c.stage == stageNew && !c.received.Load() && age >= p.silentGrace:
			kind = 1
		case c.stage == stageRejected && c.responseWritten:
			kind = 2
		case c.stage == stageIdle:
			kind = 4
		}
		// What has just come and is not yet read is somebody's request.
		if kind < kinds && (found[kind] == nil || c.stageSince.Before(found[kind].stageSince)) &&
			(kind == 2 || kind == 3 || peekConn(c.Conn) <= 0) {
			found[kind] = c
		}
	}
	for _, c := range found {
		if c != nil {
			return c
		}
	}
	return nil
}

// end ends a connection on which no request is open, without a request being lost: not its
// descriptor is closed beside the server's read, but that read's time is over. Either the read
// returns bytes all the same, then their request is answered and the connection ends with the
// answer, or it returns none and the server closes the connection, of which nothing was read.
// The places are locked.
func (p *clientTable) endRead(c *clientConn) {
	now := time.Now()
	c.closing = true
	if c.headStarted {
		c.headDeadline = now
	}
	_ = c.Conn.SetReadDeadline(now)
}

// reading notes that the server reads into so much room, and reports whether for a request's
// head. The room of its first read is its whole buffer. With less of it free the server holds
// bytes of the next request, read behind those of the one before.
func (p *clientTable) reading(c *clientConn, room int) (head bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.stage != stageNew && c.stage != stageIdle {
		return false
	}
	c.headRoom = max(c.headRoom, room)
	if room < c.headRoom && !c.headStarted {
		p.startHead(c, time.Now())
	}
	return true
}

// begin notes that the first bytes of a head have been read, which has to come whole in its
// time, also on a connection that was ended. The places are locked.
func (p *clientTable) startHead(c *clientConn, now time.Time) {
	if c.stage == stageIdle {
		c.stageSince = now
	}
	c.headStarted = true
	c.headDeadline = c.stageSince.Add(headTimeout)
	if least := now.Add(minHeadTime); c.headDeadline.Before(least) {
		c.headDeadline = least
	}
	_ = c.Conn.SetReadDeadline(c.headDeadline)
}

// timedOut is told that the time of a read of a head is over. It reports whether bytes have
// come before this was seen, which then are read: unread they would reset the connection.
func (p *clientTable) timedOut(c *clientConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.lookedAfterTimeout || peekConn(c.Conn) <= 0 {
		return false
	}
	c.lookedAfterTimeout = true
	if !c.headStarted {
		p.startHead(c, time.Now())
	} else {
		_ = c.Conn.SetReadDeadline(time.Now().Add(minHeadTime)) // they are there already
	}
	return true
}

// arrived notes that bytes, which were there at a time, were read from a connection, ahead of
// its request's answer or as a part of a request. It reports whether a request is open.
func (p *clientTable) noteRead(c *clientConn, ahead bool, at time.Time) (open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.stage == stageActive:
		c.headStarted = c.headStarted || ahead
		return true
	case !c.headStarted:
		p.startHead(c, time.Now())
	case c.lookedAfterTimeout:
		_ = c.Conn.SetReadDeadline(c.headDeadline)
	}
	c.headReceivedAt = at
	return false
}

// setReadDeadline sets the time that the server gives a read. A connection that was ended keeps
// its own until bytes have come, and a head has no more time than from its first byte on. No
// time at all is set only for what is no head: then the head has come whole, and the connection
// can't be ended any more.
func (p *clientTable) setReadDeadline(c *clientConn, t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.stage == stageNew || c.stage == stageIdle {
		switch {
		case t.IsZero():
			c.stage, c.stageSince, c.headStarted = stageActive, time.Now(), false
		case c.headStarted && c.headDeadline.Before(t):
			t = c.headDeadline
		case c.closing && !c.headStarted:
			return nil
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// claim takes a connection's request to be answered. It reports when the last byte of its head
// came, and whether the connection ends with the answer.
func (p *clientTable) beginRequest(c *clientConn) (cameAt time.Time, last bool) {
	p.setStage(c, stageActive)
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.headReceivedAt, c.closing
}

// shut closes a connection whose client was told that its request is bad, and which the server
// reads no more. The places are locked.
func (p *clientTable) closeLocked(c *clientConn) {
	c.Conn.Close()
	delete(p.conns, c)
}

func (p *clientTable) remove(c *clientConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// written notes that the server has said all that it says on a connection.
func (p *clientTable) written(c *clientConn) {
	p.mu.Lock()
	c.responseWritten = true
	p.mu.Unlock()
}

// enter notes a connection's new stage. A rejected one stays so.
func (p *clientTable) setStage(c *clientConn, to connStage) {
	p.mu.Lock()
	if c.stage != stageRejected {
		c.stage, c.stageSince = to, time.Now()
	}
	switch to {
	case stageActive:
		c.headStarted = false // it has come
	case stageIdle:
		c.lookedAfterTimeout = false
		c.headDeadline = c.stageSince.Add(headTimeout) // of what came ahead
	}
	p.mu.Unlock()
}

// track is the server's ConnState hook.
func (p *clientTable) onConnState(c net.Conn, state http.ConnState) {
	cc, ok := c.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		p.setStage(cc, stageActive)
	case http.StateIdle:
		p.setStage(cc, stageIdle)
	}
}

// crowded tells whether so many connections are kept that clients may soon have none left
// for their next request: some ask once and keep theirs for good. The places are locked.
func (p *clientTable) overKeptIdle() bool {
	n := 0
	for c := range p.conns {
		if c.stage == stageIdle || c.stage == stageActive {
			n++
		}
	}
	return n > p.maxKeptIdle
}

// keep tells whether a connection may stay open after an answer.
func (p *clientTable) mayKeepAlive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.overKeptIdle()
}

// tidy ends those that have been idle for a while, as long as there are too many.
func (p *clientTable) reapIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.overKeptIdle() {
		return
	}
	for c := range p.conns {
		if c.isIdle() && now.Sub(c.stageSince) >= clientIdleGrace {
			p.endRead(c)
		}
	}
}

// closeWaiting ends the connections on which no request is open or coming in: those
// between two requests and, where fresh ones are asked for too, those that said nothing yet.
func (p *clientTable) closeIdle(freshToo bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.isIdle() || freshToo && c.stage == stageNew && c.isSilent() {
			p.endRead(c)
		}
	}
}

// count is how many connections are accepted and not closed.
func (p *clientTable) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) + p.waiting
}
