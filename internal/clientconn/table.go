package clientconn

import (
	"math"
	"sync"
	"time"
)

// Table is the client connection table. It has maxConns slots, each for one client connection. It
// decides which connections are closed to free a slot, to limit the number that are kept alive, and
// at shutdown. mu guards the fields of the table, and the fields from stage to wait of each Conn.
type Table struct {
	mu           sync.Mutex
	maxConns     int // number of slots
	maxKeepAlive int // while more connections are idle or active, none is kept alive after a response
	conns        map[*Conn]struct{}
	waiting      int // number of accepted connections that wait for a slot
	headMemory   headMemoryLimit
	answers      rateLimit // of answers without a backend
	discards     rateLimit // of the pauses between discarded bytes

	sleep func(time.Duration) // time.Sleep; replaced by tests

	// freed has an item after a slot has become free. A buffer of one item is enough: however many
	// slots have become free, a waiter that receives the item checks the whole table again.
	freed chan struct{}

	// Their values are defaultSilentGrace and defaultAcquireTimeout, unless SetTimeouts has changed
	// them.
	silentGrace, acquireTimeout time.Duration
}

// NewTable returns an empty table with maxConns slots. While more than maxKeepAlive connections are
// idle or active, no connection is kept alive after its response.
func NewTable(maxConns, maxKeepAlive int) *Table {
	return &Table{maxConns: maxConns, maxKeepAlive: maxKeepAlive, conns: map[*Conn]struct{}{},
		headMemory: headMemoryLimit{max: math.MaxInt64}, sleep: time.Sleep,
		discards: rateLimit{interval: discardPause},
		freed:    make(chan struct{}, 1), silentGrace: defaultSilentGrace, acquireTimeout: defaultAcquireTimeout}
}

// Resize changes the limits. Connections above a lowered limit are closed when new ones arrive.
func (t *Table) Resize(maxConns, maxKeepAlive int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns, t.maxKeepAlive = maxConns, maxKeepAlive
}

// Limits returns the number of slots, and the number of connections above which none is kept alive.
func (t *Table) Limits() (maxConns, maxKeepAlive int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxConns, t.maxKeepAlive
}

// SetTimeouts changes how long a new connection may send nothing before it may be evicted, and how
// long an accepted connection waits for a slot. It is for tests, whose clients may be slow to
// write.
func (t *Table) SetTimeouts(silentGrace, acquireTimeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silentGrace, t.acquireTimeout = silentGrace, acquireTimeout
}

// currentAcquireTimeout returns how long an accepted connection waits for a slot.
func (t *Table) currentAcquireTimeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acquireTimeout
}

// addWaiting changes the number of accepted connections that wait for a slot.
func (t *Table) addWaiting(change int) {
	t.mu.Lock()
	t.waiting += change
	t.mu.Unlock()
}

// acquire enters the connection in the table and reports whether there was a free slot. If there is
// none, it evicts connections, those of the lowest eviction class first. The slots of most of them
// become free only when the server has closed them, so the caller has to try again.
func (t *Table) acquire(c *Conn, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.maxConns {
		t.evictForNew(now)
	}
	if len(t.conns) >= t.maxConns {
		return false
	}
	t.conns[c] = struct{}{}
	return true
}

// evictForNew evicts connections until one slot is free or about to become free, but not more than
// maxEvictionsPerAcquire. The caller holds t.mu.
func (t *Table) evictForNew(now time.Time) {
	closing := t.closingCount()
	for n := 0; n < maxEvictionsPerAcquire && len(t.conns)-closing >= t.maxConns; n++ {
		victim := t.evictionCandidate(now)
		if victim == nil {
			return
		}
		if isClosed := t.evict(victim); !isClosed {
			closing++
		}
	}
}

// remove frees the slot of a closed connection.
func (t *Table) remove(c *Conn) {
	t.mu.Lock()
	t.delete(c)
	t.mu.Unlock()
	select {
	case t.freed <- struct{}{}:
	default:
	}
}

// delete removes a connection from the table, unless it was removed before, and releases the memory
// of its head. The caller holds t.mu.
func (t *Table) delete(c *Conn) {
	delete(t.conns, c)
	t.headMemory.release(&c.head)
}

// Count returns the number of connections that are accepted and not closed, including those that
// wait for a slot.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) + t.waiting
}
