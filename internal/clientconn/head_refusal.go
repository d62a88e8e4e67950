package clientconn

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"ploverreel/internal/socket"
)

const (
	// maxDiscardedHead is the size, in bytes, of a refused head above which its rest is not awaited.
	// It is above that of the longest head that the server reads.
	maxDiscardedHead = 32 << 10
	// refusalTimeout bounds the time in which a refused client reads its response and closes the
	// connection.
	refusalTimeout = 100 * time.Millisecond
	// maxRefusedBytes bounds how much of a refused request is read and discarded: the longest valid
	// request is shorter.
	maxRefusedBytes = 128 << 10
)

// headRefusal is the reason why a head is not read to its end.
type headRefusal struct {
	status     int
	reason     string        // one line for the client
	retryAfter time.Duration // 0: no Retry-After
}

// response returns the whole text of the response to a refused client.
func (r *headRefusal) response() string {
	retryAfter := ""
	if r.retryAfter > 0 {
		retryAfter = "Retry-After: " + FormatRetryAfter(r.retryAfter) + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s\n",
		r.status, http.StatusText(r.status), retryAfter, len(r.reason)+1, r.reason)
}

// FormatRetryAfter returns the value of a Retry-After header: seconds, with a fraction.
func FormatRetryAfter(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', -1, 64)
}

// checkHead returns the reason for which the head in progress is refused, or nil. The caller holds
// table.mu.
func (c *Conn) checkHead() *headRefusal {
	limit := &c.table.headMemory
	switch {
	case c.head.scan.headerLines() > MaxHeaderLines: // the handler counts those of a head that is not scanned
		return &headRefusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "head: too many lines"}
	case !limit.reserve(&c.head):
		return &headRefusal{status: http.StatusServiceUnavailable, reason: "head: no memory left", retryAfter: limit.retryAfter}
	}
	return nil
}

// refuse responds to a client whose head is refused, and discards what the client still sends.
// Unread bytes would reset the connection when it is closed, and the client would lose the response.
// If lingers is set, refuse waits for such bytes for a limited time. It always returns io.EOF, for
// the server. The buffer is for the discarded bytes.
func (c *Conn) refuse(refusal *headRefusal, buffer []byte, lingers bool) error {
	c.refused = true
	c.MarkRejected()
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, refusal.response()); err != nil {
		return io.EOF
	}
	_ = c.CloseWrite()
	for discarded := 0; discarded < maxRefusedBytes && (lingers || socket.Peek(c.Conn) == socket.PeekUnread); {
		n, err := c.Conn.Read(buffer) // the table may close the connection meanwhile
		if err != nil {
			break
		}
		discarded += n
	}
	return io.EOF
}

// discardHead reads and discards the rest of a refused head until it ends, until it exceeds
// maxDiscardedHead, or until a read fails, at the deadline of the head at the latest. A faulty
// client whose head never ends would connect again at once if it got its response earlier.
func (c *Conn) discardHead(buffer []byte) {
	read := c.readAhead
	c.readAhead = nil
	for c.awaitsRestOfHead(read) {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		read = buffer[:n]
	}
}

// awaitsRestOfHead scans bytes of a refused head and reports whether more of it must be discarded.
func (c *Conn) awaitsRestOfHead(read []byte) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.head.recordScan(read)
	return !c.head.scan.ended && c.head.scan.size+c.head.unscanned.size <= maxDiscardedHead
}
