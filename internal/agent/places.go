package agent

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleFor is how long a client's connection without a request is left alone.
	idleFor = 2 * time.Second
	// unfinishedFor is how long a request may take to come while others want its place.
	unfinishedFor = 500 * time.Millisecond
	// silentFor is how long a new connection may say nothing while others want its place,
	// roomFor how long a new one waits for a place, looked for every roomEvery.
	silentFor          = 30 * time.Millisecond
	roomFor, roomEvery = 150 * time.Millisecond, 2 * time.Millisecond
	// leastHeadFor is what a head has to come whole in at least, from its first byte.
	leastHeadFor = 100 * time.Millisecond
	// endedAtOnce is how many connections are ended at most for one that comes. Each costs a
	// look at all; a limit that was lowered is reached as more come.
	endedAtOnce = 4
	// tidyEvery is how often idle connections are looked through.
	tidyEvery = 250 * time.Millisecond
)

// stage is what a client's connection is at.
type stage uint8

const (
	fresh    stage = iota // its first request has not come whole
	idle                  // between requests
	busy                  // a request is being read or answered
	rejected              // it was told that its request is bad, and closes
)

// places holds the clients' connections, at most as many as there are places.
type places struct {
	most    int
	many    int // connections that ask or have asked, past which they are not kept
	mu      sync.Mutex
	conns   map[*clientConn]struct{}
	waiting int           // accepted connections that wait for a place
	freed   chan struct{} // has an item when a place became free; room for one
	// silent and room are silentFor and roomFor, but for tests.
	silent, room time.Duration
}

func newPlaces(most, many int) *places {
	return &places{most: most, many: many, conns: map[*clientConn]struct{}{},
		freed: make(chan struct{}, 1), silent: silentFor, room: roomFor}
}

// resize changes how many places there are; connections over it end as others come.
func (p *places) resize(most, many int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most, p.many = most, many
}

// patience is how long a new connection waits for a place.
func (p *places) patience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.room
}

// wait counts an accepted connection that has no place yet, or with -1 no longer waits.
func (p *places) wait(change int) {
	p.mu.Lock()
	p.waiting += change
	p.mu.Unlock()
}

// take gives the connection a place if one is free. Otherwise it ends the connection that needs
// its own least: its place is free when the server has closed it.
func (p *places) take(c *clientConn, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := 0; n < endedAtOnce && len(p.conns)-p.closing() >= p.most; n++ {
		least := p.least(now)
		if least == nil {
			break
		}
		if least.stage == rejected {
			p.shut(least)
		} else {
			p.end(least)
		}
	}
	if len(p.conns) >= p.most {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// closing counts the connections that the server is about to close. The places are locked.
func (p *places) closing() (n int) {
	for c := range p.conns {
		if c.ending && !c.coming && (c.stage == fresh || c.stage == idle) {
			n++
		}
	}
	return n
}

// least finds the connection to end for a new one: the one idle longest, else the
// oldest that has said nothing, else one that was turned away, else the oldest whose
// request does not come to its end, and of the others one between requests. One
// with a request open is never ended. The places are locked.
func (p *places) least(now time.Time) *clientConn {
	const kinds = 5
	var found [kinds]*clientConn
	for c := range p.conns {
		kind, age := kinds, now.Sub(c.since)
		switch {
		case c.ending:
		case c.stage == idle && c.coming:
			if age >= unfinishedFor { // the server waits far longer for its first bytes
				kind = 3
			}
		case c.stage == idle && age >= idleFor:
			kind = 0
		case c.stage == fresh && c.got.Load() && age >= unfinishedFor:
			kind = 3
		case c.stage == fresh && !c.got.Load() && age >= p.silent:
			kind = 1
		case c.stage == rejected && c.answered:
			kind = 2
		case c.stage == idle:
			kind = 4
		}
		// What has just come and is not yet read is somebody's request.
		if kind < kinds && (found[kind] == nil || c.since.Before(found[kind].since)) &&
			(kind == 2 || kind == 3 || pending(c.Conn) <= 0) {
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
func (p *places) end(c *clientConn) {
	now := time.Now()
	c.ending = true
	if c.coming {
		c.headBy = now
	}
	_ = c.Conn.SetReadDeadline(now)
}

// reading notes that the server reads into so much room, and reports whether for a request's
// head. The room of its first read is its whole buffer. With less of it free the server holds
// bytes of the next request, read behind those of the one before.
func (p *places) reading(c *clientConn, room int) (head bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.stage != fresh && c.stage != idle {
		return false
	}
	c.buffer = max(c.buffer, room)
	if room < c.buffer && !c.coming {
		p.begin(c, time.Now())
	}
	return true
}

// begin notes that the first bytes of a head have been read, which has to come whole in its
// time, also on a connection that was ended. The places are locked.
func (p *places) begin(c *clientConn, now time.Time) {
	if c.stage == idle {
		c.since = now
	}
	c.coming = true
	c.headBy = c.since.Add(headFor)
	if least := now.Add(leastHeadFor); c.headBy.Before(least) {
		c.headBy = least
	}
	_ = c.Conn.SetReadDeadline(c.headBy)
}

// timedOut is told that the time of a read of a head is over. It reports whether bytes have
// come before this was seen, which then are read: unread they would reset the connection.
func (p *places) timedOut(c *clientConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.looked || pending(c.Conn) <= 0 {
		return false
	}
	c.looked = true
	if !c.coming {
		p.begin(c, time.Now())
	} else {
		_ = c.Conn.SetReadDeadline(time.Now().Add(leastHeadFor)) // they are there already
	}
	return true
}

// arrived notes that bytes, which were there at a time, were read from a connection, ahead of
// its request's answer or as a part of a request. It reports whether a request is open.
func (p *places) arrived(c *clientConn, ahead bool, at time.Time) (open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.stage == busy:
		c.coming = c.coming || ahead
		return true
	case !c.coming:
		p.begin(c, time.Now())
	case c.looked:
		_ = c.Conn.SetReadDeadline(c.headBy)
	}
	c.cameAt = at
	return false
}

// setReadDeadline sets the time that the server gives a read. A connection that was ended keeps
// its own until bytes have come, and a head has no more time than from its first byte on. No
// time at all is set only for what is no head: then the head has come whole, and the connection
// can't be ended any more.
func (p *places) setReadDeadline(c *clientConn, t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.stage == fresh || c.stage == idle {
		switch {
		case t.IsZero():
			c.stage, c.since, c.coming = busy, time.Now(), false
		case c.coming && c.headBy.Before(t):
			t = c.headBy
		case c.ending && !c.coming:
			return nil
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// claim takes a connection's request to be answered. It reports when the last byte of its head
// came, and whether the connection ends with the answer.
func (p *places) claim(c *clientConn) (cameAt time.Time, last bool) {
	p.enter(c, busy)
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.cameAt, c.ending
}

// shut closes a connection whose client was told that its request is bad, and which the server
// reads no more. The places are locked.
func (p *places) shut(c *clientConn) {
	c.Conn.Close()
	delete(p.conns, c)
}

func (p *places) drop(c *clientConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// written notes that the server has said all that it says on a connection.
func (p *places) written(c *clientConn) {
	p.mu.Lock()
	c.answered = true
	p.mu.Unlock()
}

// enter notes a connection's new stage. A rejected one stays so.
func (p *places) enter(c *clientConn, to stage) {
	p.mu.Lock()
	if c.stage != rejected {
		c.stage, c.since = to, time.Now()
	}
	switch to {
	case busy:
		c.coming = false // it has come
	case idle:
		c.looked = false
		c.headBy = c.since.Add(headFor) // of what came ahead
	}
	p.mu.Unlock()
}

// track is the server's ConnState hook.
func (p *places) track(c net.Conn, state http.ConnState) {
	cc, ok := c.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		p.enter(cc, busy)
	case http.StateIdle:
		p.enter(cc, idle)
	}
}

// crowded tells whether so many connections are kept that clients may soon have none left
// for their next request: some ask once and keep theirs for good. The places are locked.
func (p *places) crowded() bool {
	n := 0
	for c := range p.conns {
		if c.stage == idle || c.stage == busy {
			n++
		}
	}
	return n > p.many
}

// keep tells whether a connection may stay open after an answer.
func (p *places) keep() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.crowded()
}

// tidy ends those that have been idle for a while, as long as there are too many.
func (p *places) tidy(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.crowded() {
		return
	}
	for c := range p.conns {
		if c.resting() && now.Sub(c.since) >= idleFor {
			p.end(c)
		}
	}
}

// closeWaiting ends the connections on which no request is open or coming in: those
// between two requests and, where fresh ones are asked for too, those that said nothing yet.
func (p *places) closeWaiting(freshToo bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.resting() || freshToo && c.stage == fresh && c.silent() {
			p.end(c)
		}
	}
}

// count is how many connections are accepted and not closed.
func (p *places) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) + p.waiting
}
