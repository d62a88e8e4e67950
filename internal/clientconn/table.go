package clientconn

import (
	"sync"
	"time"
)

// Table is the client connection table: it holds the clients' connections, at most maxConns
// of them, and decides which are ended to make a slot free, to keep the number of idle ones in
// bounds, and at shutdown. mu guards the table and the first group of fields of each Conn.
type Table struct {
	mu          sync.Mutex
	maxConns    int // the slots
	maxKeptIdle int // connections that have carried a request, above which they are not kept alive
	conns       map[*Conn]struct{}
	waiting     int // accepted connections that wait for a slot

	// freed has an item when a slot has become free. Its buffer holds one: a waiter looks
	// through the table again, however many became free.
	freed chan struct{}

	// defaultSilentGrace and defaultAcquireTimeout, unless SetTimeouts has replaced them.
	silentGrace, acquireTimeout time.Duration
}

// NewTable returns an empty table of maxConns slots. Above maxKeptIdle connections that have carried
// a request, none is kept alive any more.
func NewTable(maxConns, maxKeptIdle int) *Table {
	return &Table{maxConns: maxConns, maxKeptIdle: maxKeptIdle, conns: map[*Conn]struct{}{},
		freed: make(chan struct{}, 1), silentGrace: defaultSilentGrace, acquireTimeout: defaultAcquireTimeout}
}

// Resize changes the limits. Connections above a lowered limit are ended as new ones arrive.
func (t *Table) Resize(maxConns, maxKeptIdle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns, t.maxKeptIdle = maxConns, maxKeptIdle
}

// Limits returns how many connections the table may hold, and above how many they are not kept
// alive.
func (t *Table) Limits() (maxConns, maxKeptIdle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxConns, t.maxKeptIdle
}

// SetTimeouts changes how long a new connection may send nothing while others need its slot, and
// how long a connection waits for a slot. It is for tests, whose clients may be slow to write.
func (t *Table) SetTimeouts(silentGrace, acquireTimeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silentGrace, t.acquireTimeout = silentGrace, acquireTimeout
}

// currentAcquireTimeout is how long a new connection waits for a slot.
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

// acquire enters the connection in the table and reports whether there was a free slot. Without
// one it ends the connections that are needed least; their slots are free once the server has
// closed them, so the caller tries again.
func (t *Table) acquire(c *Conn, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := 0; n < maxEvictionsPerAcquire && len(t.conns)-t.closingCount() >= t.maxConns; n++ {
		victim := t.evictionCandidate(now)
		if victim == nil {
			break
		}
		if victim.stage == stageRejected {
			t.closeRejected(victim)
		} else {
			victim.endRead()
		}
	}
	if len(t.conns) >= t.maxConns {
		return false
	}
	t.conns[c] = struct{}{}
	return true
}

// remove frees the slot of a connection that is closed.
func (t *Table) remove(c *Conn) {
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
	select {
	case t.freed <- struct{}{}:
	default:
	}
}

// Count returns how many connections are accepted and not closed.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) + t.waiting
}
