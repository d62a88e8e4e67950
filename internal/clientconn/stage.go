package clientconn

import (
	"net"
	"net/http"
	"time"
)

// connStage is where a client connection stands between its accept and its close.
type connStage uint8

const (
	stageNew      connStage = iota // no complete request has arrived yet
	stageIdle                      // between two requests, kept alive
	stageActive                    // a request is being read or answered
	stageRejected                  // its request was answered with an error, the connection is about to close
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

// BeginRequest notes that a handler takes the connection's request. It returns when the last byte
// of the request's head was read, and whether the connection closes with the response.
func (c *Conn) BeginRequest() (receivedAt time.Time, last bool) {
	c.setStage(stageActive)
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.head.receivedAt, c.closing
}

// MarkRejected notes that the connection's request is answered with an error, and that the
// connection closes with the response. It may be evicted once that is written.
func (c *Conn) MarkRejected() { c.setStage(stageRejected) }

// setStage moves a connection to another stage. A rejected one stays rejected.
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
		c.head.awaitNext(c.stageSince)
	}
}

// noteResponseWritten notes that the server has written all that it will write on a connection.
func (c *Conn) noteResponseWritten() {
	c.table.mu.Lock()
	c.responseWritten = true
	c.table.mu.Unlock()
}

// awaitsHead reports whether the connection waits for the head of a request or reads one. The
// caller holds table.mu.
func (c *Conn) awaitsHead() bool {
	return c.stage == stageNew || c.stage == stageIdle
}

// closesWithoutRequest reports whether the connection was ended before any of a further request
// was read, so that the server is about to close it. The caller holds table.mu.
func (c *Conn) closesWithoutRequest() bool {
	return c.closing && !c.head.started && c.awaitsHead()
}
