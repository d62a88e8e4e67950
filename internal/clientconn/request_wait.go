package clientconn

import "time"

// requestWait is what the handler of a request waits for, before the request is forwarded or
// answered without a backend. The table's mutex guards it.
type requestWait uint8

const (
	notWaiting   requestWait = iota // the request is whole and its answer is not delayed
	awaitsBody                      // the rest of the body; the connection may be evicted
	delaysAnswer                    // the time of its answer (see DelayAnswer); the connection may be evicted
	waitEvicted                     // the table has ended the wait; the handler is about to reject the request
)

// BeginBody records that the handler waits for the body of its request, of the given length, until
// the deadline. Until EndBody is called, the table may end the wait earlier, because it needs the
// slot for another connection. The pending read then times out.
func (c *Conn) BeginBody(length int64, deadline time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.bodyEnd.tracked {
		c.beginBody(length)
	}
	c.wait = awaitsBody
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
	evicted = c.wait == waitEvicted
	if complete {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	if complete || !evicted {
		c.wait = notWaiting
	}
	return evicted
}

// DelayAnswer delays the answer to a request that is answered without a backend, if the agent has
// given many such answers (see Table.SetAnswerRate). It returns early if canceled is closed, or if
// the table needs the slot for another connection. In the latter case it reports that the connection
// is evicted: the handler must mark it as rejected and close it with the answer.
func (c *Conn) DelayAnswer(canceled <-chan struct{}) (evicted bool) {
	delay, ended := c.beginDelay(time.Now())
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ended:
		case <-canceled:
		}
	}
	return c.endDelay()
}

// beginDelay returns the delay of an answer, and a channel that is closed when the table ends it.
func (c *Conn) beginDelay(now time.Time) (delay time.Duration, ended <-chan struct{}) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.wait == waitEvicted {
		return 0, nil
	}
	if delay = c.table.answers.reserve(now); delay > 0 {
		c.wait, c.delayEnded = delaysAnswer, make(chan struct{})
		c.progress.start(now)
	}
	return delay, c.delayEnded
}

// endDelay records that the answer is delayed no longer, and reports whether the connection is
// evicted.
func (c *Conn) endDelay() (evicted bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.delayEnded = nil
	if c.wait == delaysAnswer {
		c.wait = notWaiting
	}
	return c.wait == waitEvicted
}

// mayEndWait reports whether the table may end what the handler waits for. The caller holds
// table.mu.
func (c *Conn) mayEndWait() bool { return c.wait == awaitsBody || c.wait == delaysAnswer }

// endWait ends what the handler waits for. The caller holds table.mu.
func (c *Conn) endWait() {
	if c.wait == awaitsBody {
		_ = c.Conn.SetReadDeadline(time.Now())
	} else {
		close(c.delayEnded)
	}
	c.wait = waitEvicted
}
