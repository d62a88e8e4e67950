package clientconn

import "ploverreel/internal/socket"

// bodyEnd finds the first byte that was read behind the body of a request. The table's mutex guards
// it. The zero value is that of a head that the server read together with an earlier request, of
// which it isn't known where it ends.
type bodyEnd struct {
	left     int64 // bytes of the body that were not read yet
	tracked  bool  // all that was read behind the head is known
	found    bool  // a byte behind the body was read
	nextByte byte  // the first byte behind the body
}

// add adds bytes that were read behind the head.
func (e *bodyEnd) add(read []byte) {
	if inBody := min(int64(len(read)), e.left); inBody > 0 {
		e.left -= inBody
		read = read[inBody:]
	}
	if len(read) > 0 && !e.found {
		e.found, e.nextByte = true, read[0]
	}
}

// beginBody records the length of the body of the request in progress, whose head was scanned to its
// end. The caller holds table.mu.
func (c *Conn) beginBody(length int64) {
	c.bodyEnd = bodyEnd{left: length, tracked: true}
	c.bodyEnd.add(c.head.behind)
}

// IsBodyTooLong reports whether bytes have arrived behind the request, which has been read, that
// can't be the beginning of a next request. The length is then wrong, and only a part of what the
// client sent was read.
func (c *Conn) IsBodyTooLong() bool {
	var peeked byte
	unread := false
	if c.reading.TryLock() { // otherwise the server reads what arrives
		peeked, unread = socket.PeekByte(c.Conn)
		c.reading.Unlock()
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	switch {
	case !c.bodyEnd.tracked:
		return false
	case c.bodyEnd.found:
		return !mayBeginRequest(c.bodyEnd.nextByte)
	}
	return unread && !mayBeginRequest(peeked)
}

// mayBeginRequest reports whether a byte may be the first one of a request: of its method, or of
// blank lines before it.
func mayBeginRequest(first byte) bool {
	return 'A' <= first && first <= 'Z' || first == '\r' || first == '\n'
}
