package clientconn

import "time"

// MaxHeaderLines bounds the header lines of a request, that is, those behind the request line. The
// memory that a parsed head takes depends more on their number than on the bytes of the head.
const MaxHeaderLines = 100

// Estimates of the memory that the HTTP server uses for a head.
const (
	// headMemoryPerByte is the number of bytes of memory for one byte of a head: the buffer in which
	// a line grows, and the string that it is copied to.
	headMemoryPerByte = 2
	// headMemoryPerLine is the number of bytes of memory for one line in the map of the headers.
	headMemoryPerLine = 128
	// freeHeadMemory is the memory, in bytes, that the head of each connection may use regardless of
	// the limit for all heads together. Usual heads need less.
	freeHeadMemory = 4 << 10
)

// headMemoryLimit bounds the memory of all heads together that exceed freeHeadMemory. The table's
// mutex guards it.
type headMemoryLimit struct {
	max        int64         // in bytes
	used       int64         // in bytes: the sum of the connections' headState.reserved
	retryAfter time.Duration // for the clients whose heads are refused at the limit; 0: no Retry-After
}

// SetHeadMemoryLimit bounds the memory, in bytes, of the heads that are being read or whose requests
// are in progress. Each connection may use some memory regardless of the limit, which is enough for
// usual heads. At the limit a larger head is refused, and its client is asked to retry after
// retryAfter. A new table has no limit.
func (t *Table) SetHeadMemoryLimit(limit int64, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.headMemory.max, t.headMemory.retryAfter = limit, retryAfter
}

// memory returns an estimate, in bytes, of the memory that the head uses.
func (h *headState) memory() int64 {
	size, lines := h.scan.size, h.scan.lines
	if h.inServerBuffer {
		size, lines = h.unscanned.size, h.unscanned.lines
	}
	return int64(headMemoryPerByte*size + headMemoryPerLine*lines)
}

// reserve reserves the memory that a head uses above freeHeadMemory. It reports false, and reserves
// no more, if all heads together would exceed the limit.
func (l *headMemoryLimit) reserve(head *headState) bool {
	needed := max(head.memory()-freeHeadMemory, 0)
	grown := needed - head.reserved
	if grown > 0 && l.used+grown > l.max {
		return false
	}
	l.used += grown
	head.reserved = needed
	return true
}

// release releases the memory of a head that is no longer used.
func (l *headMemoryLimit) release(head *headState) {
	l.used -= head.reserved
	head.reserved = 0
}
