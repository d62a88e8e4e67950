package clientconn

import (
	"errors"
	"os"
	"sync"
	"time"

	"ploverreel/internal/socket"
)

const (
	// maxReadAhead limits how many bytes are buffered that a client sends while its request is in
	// progress. If there are more, the connection ends after the buffered ones.
	maxReadAhead = 4 << 10
	// discardBufferSize is the size, in bytes, of the buffer for one read of discarded bytes.
	discardBufferSize = 64 << 10
	// discardsPerPause is the number of reads of discarded bytes between two pauses. A close that is
	// behind some MB of unread bytes is still detected within 0.1 s.
	discardsPerPause = 4
	// discardPause is the least length of such a pause, and the mean one if several connections
	// discard bytes. Without it, clients that send without a pause would keep the processor.
	discardPause = time.Millisecond
)

// discardBuffers holds buffers for bytes that are discarded. They are not part of the connections
// because a buffer is needed only during a read that doesn't block.
var discardBuffers = sync.Pool{New: func() any { return new([discardBufferSize]byte) }}

// WatchDisconnect watches for the client's disconnect while its request is in progress, if the
// server doesn't. The server reads in the background, except while it holds a byte of a next
// request: the client's close would then stay behind unread bytes, and its request would be
// forwarded. gone is closed when the client has disconnected; it is nil if the server watches. The
// handler must call stop before it returns, and must not read from the connection until then.
func (c *Conn) WatchDisconnect() (gone <-chan struct{}, stop func()) {
	if !c.serverHoldsByte.Load() || !c.reading.TryLock() {
		return nil, func() {}
	}
	disconnected, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		if c.watchForDisconnect() != nil {
			close(disconnected)
		}
	}()
	return disconnected, func() {
		_ = c.Conn.SetReadDeadline(time.Now())
		<-ended
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.reading.Unlock()
	}
}

// watchForDisconnect keeps reading while a request is in progress, until the client disconnects or
// the response is written. The server itself stops watching at the first byte that arrives. If a
// client sent more and then disconnected, the server would not detect that, and the client's
// request would be forwarded.
func (c *Conn) watchForDisconnect() error {
	chunk := make([]byte, maxReadAhead)
	for {
		n, err := c.Conn.Read(chunk)
		c.keepReadAhead(chunk[:n])
		if err == nil && c.readAheadOverflowed {
			err = c.discardUnread()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil // the response is written, or the read deadline has passed
		}
		if err != nil {
			return err
		}
	}
}

// keepReadAhead appends bytes to readAhead, up to maxReadAhead. Clients don't pipeline that many
// requests, so no client waits for a response to the bytes that are dropped.
func (c *Conn) keepReadAhead(read []byte) {
	if room := maxReadAhead - len(c.readAhead); len(read) > room {
		c.readAheadOverflowed = true
		read = read[:room]
	}
	if len(read) > 0 && len(c.readAhead) == 0 {
		c.readAheadAt = time.Now()
	}
	c.readAhead = append(c.readAhead, read...)
}

// discardUnread reads and discards bytes that have arrived, and then pauses. It doesn't wait for
// bytes.
func (c *Conn) discardUnread() error {
	for i := range discardsPerPause {
		if socket.Peek(c.Conn) != socket.PeekUnread {
			if i == 0 {
				return nil
			}
			break
		}
		buffer := discardBuffers.Get().(*[discardBufferSize]byte)
		_, err := c.Conn.Read(buffer[:])
		discardBuffers.Put(buffer)
		if err != nil {
			return err
		}
	}
	c.table.sleep(c.table.reserveDiscard(time.Now()))
	return nil
}

// reserveDiscard returns the length of a pause that begins at the time now.
func (t *Table) reserveDiscard(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.discards.reserve(now), discardPause)
}
