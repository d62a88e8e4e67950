package clientconn

import "time"

// Timeouts of the HTTP server's reads from a client connection.
const (
	// HeadTimeout is the longest time that the head of a request may take to arrive.
	HeadTimeout = 1500 * time.Millisecond
	// KeepAliveTimeout is how long a connection stays open between requests, unless its slot is
	// needed earlier.
	KeepAliveTimeout = 15 * time.Second
	// minHeadTime is the shortest time that a head gets from its first byte, even if that byte
	// arrived late in HeadTimeout.
	minHeadTime = 100 * time.Millisecond
)

// Times of the client connection table.
const (
	// idleGrace is how long a connection must be idle before it may be reaped because too many are
	// kept alive, and before it belongs to the class that is evicted first.
	idleGrace = 2 * time.Second
	// unfinishedGrace is how long a head, or the body behind it, may be incomplete before its
	// connection may be evicted.
	unfinishedGrace = 500 * time.Millisecond
	// stalledGrace is how long a client that has sent a part of a request may send fewer than
	// minProgress bytes before its connection may be evicted.
	stalledGrace = 100 * time.Millisecond
	// defaultSilentGrace is how long a new connection may send nothing before it may be evicted.
	defaultSilentGrace = 30 * time.Millisecond
	// defaultAcquireTimeout is how long a new connection waits for a slot before it is closed.
	defaultAcquireTimeout = 150 * time.Millisecond
	// acquirePollInterval is the longest time between two attempts of a waiting connection to get a
	// slot.
	acquirePollInterval = 2 * time.Millisecond
	// reapInterval is the time between two searches of the table for connections to reap.
	reapInterval = 250 * time.Millisecond
)

// maxEvictionsPerAcquire limits the connections that are evicted for one new connection, as each
// eviction costs a pass over the table. A lowered connection limit is therefore reached only after
// several new connections.
const maxEvictionsPerAcquire = 4

// maxPeeksPerEviction limits the system calls of one pass over the table. Above it, connections that
// unread bytes may protect are passed over.
const maxPeeksPerEviction = 64

// Times of the listener.
const (
	// acceptRetryDelay is the delay before a failed accept or listen is retried. It does not grow
	// (there is no backoff), because the shortest deadlines of clients are some tens of
	// milliseconds and a failed accept costs only one system call.
	acceptRetryDelay = 10 * time.Millisecond
	// acceptLogInterval is the shortest time between two log lines about failed accepts.
	acceptLogInterval = time.Second
	// listenTimeout is how long Listen retries if this machine lacks a resource. The agent has to
	// be ready within 6 s of a restart.
	listenTimeout = 4 * time.Second
)
