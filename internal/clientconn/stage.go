package clientconn

import (
	"net"
	"net/http"
	"time"
)

// connStage is the stage of a client connection between accept and close.
type connStage uint8

const (
	stageNew      connStage = iota // no complete request has arrived yet
	stageIdle                      // kept alive between two requests
	stageActive                    // a request is in progress: its head is complete, its response isn't
	stageRejected                  // its request was answered with an error, and it is about to be closed
)

// OnConnState is the server's ConnState hook.
func (t *Table) OnConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setStage(stageActive)
	case http.StateIdle:
		c.setStage(stageIdle)
	}
}

// BeginRequest records that a handler has started to handle a request of the connection. It returns
// the time at which the last byte of the request's head was read, and whether the request is the
// last one because the table is closing the connection. It waits for pipelinedRequestDelay if the
// client sent the request before the response to the one before.
func (c *Conn) BeginRequest() (receivedAt time.Time, last bool) {
	c.setStage(stageActive)
	receivedAt, last, pipelined := c.beginHandling()
	if pipelined {
		c.table.sleep(pipelinedRequestDelay)
	}
	return receivedAt, last
}

// beginHandling records that a handler handles the request. It returns the results of BeginRequest,
// and whether the client sent the request before the response to the one before.
func (c *Conn) beginHandling() (receivedAt time.Time, last, pipelined bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.handled = true
	return c.head.receivedAt, c.closing, c.head.arrivedEarly
}

// Write is called by the server. If no handler handles a request, it is the server's own answer to
// an invalid head, after which the server closes the connection.
func (c *Conn) Write(text []byte) (int, error) {
	if c.rejectedByServer() {
		c.MarkRejected()
		c.DelayAnswer(nil)
		defer c.markResponseWritten()
	}
	return c.Conn.Write(text)
}

// rejectedByServer reports whether the server writes an answer of its own.
func (c *Conn) rejectedByServer() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return !c.handled && c.stage != stageRejected
}

// MarkRejected records that the connection's request is answered with an error and that the
// connection closes with the response. The connection may be evicted once the response is written.
func (c *Conn) MarkRejected() { c.setStage(stageRejected) }

// setStage moves the connection to another stage. A rejected connection stays rejected.
func (c *Conn) setStage(stage connStage) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.stage != stageRejected {
		c.stage, c.stageSince = stage, time.Now()
	}
	switch stage {
	case stageActive:
		c.head.started = false // the head is complete
	case stageIdle:
		c.handled, c.wait, c.bodyEnd = false, notWaiting, bodyEnd{}
		c.table.headMemory.release(&c.head)
		c.head.awaitNext(c.stageSince)
	}
}

// markResponseWritten records that the server has written everything that it will write.
func (c *Conn) markResponseWritten() {
	c.table.mu.Lock()
	c.responseWritten = true
	c.table.mu.Unlock()
}

// awaitsHead reports whether the connection is waiting for the head of a request or reading it. The
// caller holds table.mu.
func (c *Conn) awaitsHead() bool {
	return c.stage == stageNew || c.stage == stageIdle
}

// closesWithoutRequest reports whether the table is closing the connection and no byte of a further
// request was read, so that the server is about to close it. The caller holds table.mu.
func (c *Conn) closesWithoutRequest() bool {
	return c.closing && !c.head.started && c.awaitsHead()
}
