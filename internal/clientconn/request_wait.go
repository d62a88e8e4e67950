package clientconn

import "time"

// bodyState is the state of the body of the request in progress. The table's mutex guards it.
type bodyState uint8

const (
	bodyNotAwaited bodyState = iota // there is none, it is complete, or its request was rejected
	bodyAwaited                     // the handler waits for the rest of it; the connection may be evicted
	bodyEvicted                     // the table has ended that wait; the handler is about to reject the request
)

// BeginBody records that the handler waits for the body of its request until the deadline. Until
// EndBody is called, the table may end the wait earlier, because it needs the slot for another
// connection. The pending read then times out.
func (c *Conn) BeginBody(deadline time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.body = bodyAwaited
	c.progress.start(time.Now())
	_ = c.Conn.SetReadDeadline(deadline)
}

// EndBody records that the handler no longer waits for the body, and removes the read deadline if
// the body is complete. It reports whether the table has ended the wait. If it has and the body is
// incomplete, the handler must reject the request and mark the connection as rejected. A body that
// was complete in spite of that is used.
func (c *Conn) EndBody(complete bool) (evicted bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	evicted = c.body == bodyEvicted
	if complete {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	if complete || !evicted {
		c.body = bodyNotAwaited
	}
	return evicted
}

// expireBody ends the handler's wait for the rest of a body. The caller holds table.mu.
func (c *Conn) expireBody() {
	c.body = bodyEvicted
	_ = c.Conn.SetReadDeadline(time.Now())
}
