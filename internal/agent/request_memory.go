package agent

import "sync/atomic"

// minReservedBytes is the size of a request without a body below which its memory is not counted. The
// number of such requests is bounded by the slots for clients and by the loop's queue.
const minReservedBytes = 1 << 10

// requestMemory counts the bytes of all requests in memory: their bodies, and what is kept of their
// heads. Its methods may be called from any goroutine.
type requestMemory struct{ used atomic.Int64 }

// reserve reserves memory for a request, and reports false if all requests together would exceed the
// limit. The caller holds the reservation.
func (m *requestMemory) reserve(size, limit int64) (reserved *memoryReservation, ok bool) {
	if m.used.Add(size) > limit {
		m.used.Add(-size)
		return nil, false
	}
	reserved = &memoryReservation{memory: m, size: size}
	reserved.hold()
	return reserved, true
}

// memoryReservation is the memory of one request. It is freed when all of its holders have released
// it: the handler of the request, and the loop, which may drop the request much later. A nil
// reservation is that of a small request.
type memoryReservation struct {
	memory  *requestMemory
	size    int64
	holders atomic.Int32
}

// hold adds a holder.
func (r *memoryReservation) hold() {
	if r != nil {
		r.holders.Add(1)
	}
}

// release removes a holder.
func (r *memoryReservation) release() {
	if r != nil && r.holders.Add(-1) == 0 {
		r.memory.used.Add(-r.size)
	}
}
