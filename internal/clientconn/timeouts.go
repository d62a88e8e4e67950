package clientconn

import "time"

// Timeouts of a client connection, for the http server that reads from it.
const (
	// HeadTimeout is how long a request's head may take to arrive.
	HeadTimeout = 1500 * time.Millisecond
	// KeepAliveTimeout is how long a connection stays open between requests while its slot is not
	// needed.
	KeepAliveTimeout = 15 * time.Second
	// minHeadTime is the least time that a head has from its first byte, however late in
	// HeadTimeout that came.
	minHeadTime = 100 * time.Millisecond
)

// Times of the table.
const (
	// idleGrace is how long a connection is idle before it is reaped while too many are kept, and
	// before it is the first to be evicted for a new one.
	idleGrace = 2 * time.Second
	// unfinishedHeadGrace is how long a head may be incomplete while others need the slot.
	unfinishedHeadGrace = 500 * time.Millisecond
	// defaultSilentGrace is how long a new connection may send nothing while others need the slot.
	defaultSilentGrace = 30 * time.Millisecond
	// defaultAcquireTimeout is how long a new connection waits for a slot before it is closed.
	defaultAcquireTimeout = 150 * time.Millisecond
	// acquirePollInterval is how often a waiting connection looks for a slot at least.
	acquirePollInterval = 2 * time.Millisecond
	// reapInterval is how often the table is searched for idle connections.
	reapInterval = 250 * time.Millisecond
)

// maxEvictionsPerAcquire bounds the connections that are ended for one new one, as each costs a
// pass over the table. A limit that was lowered is reached over several new connections.
const maxEvictionsPerAcquire = 4

// Times of the listener.
const (
	// acceptRetryDelay is the pause after a failed accept. The shortest deadlines of clients are
	// some tens of milliseconds, so it doesn't grow; a failure costs one system call.
	acceptRetryDelay = 10 * time.Millisecond
	// acceptLogInterval is the least time between two log lines about failed accepts.
	acceptLogInterval = time.Second
	// listenTimeout is how long a start retries a listen that fails for want of a resource of
	// this machine: the agent has to be ready within 6 s of a restart.
	listenTimeout = 4 * time.Second
)
