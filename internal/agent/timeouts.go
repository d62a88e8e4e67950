package agent

import "time"

// Timeouts of a request. A bad client has to get an error or a close within 3 s of connecting, so
// headTimeout + bodyTimeout stays below that with a margin.
const (
	// headTimeout is how long a request's head may take to arrive.
	headTimeout = 1500 * time.Millisecond
	// bodyTimeout is how long a request's body may take to arrive.
	bodyTimeout = time.Second
	// minHeadTime is the least time that a head has from its first byte, however late in
	// headTimeout that came.
	minHeadTime = 100 * time.Millisecond
	// minBodyTime is the least time that a body has, however short the request's deadline. An
	// answer after the deadline is worth nothing, but none needs to be lost for a body that is
	// slightly late.
	minBodyTime = 100 * time.Millisecond
	// responseWriteTimeout is how long after its deadline a client may take to read a response.
	responseWriteTimeout = 5 * time.Second
	// guardMargin is how long before a request's deadline the handler answers without the loop,
	// if that has given no response. The decision module is told of a deadline that is earlier
	// by this and wordMargin, so that its own last answer, which carries a Retry-After, is out by
	// then whatever the interval between its turns.
	guardMargin = 2 * time.Millisecond
	wordMargin  = 3 * time.Millisecond
)

// Times of client connections between requests, and of the table that holds them.
const (
	// clientKeepAlive is how long a connection stays open between requests while its slot is not
	// needed.
	clientKeepAlive = 15 * time.Second
	// clientIdleGrace is how long a connection is idle before it is reaped while too many are
	// kept, and before it is the first to be evicted for a new one.
	clientIdleGrace = 2 * time.Second
	// unfinishedHeadGrace is how long a head may be incomplete while others need the slot.
	unfinishedHeadGrace = 500 * time.Millisecond
	// silentConnGrace is how long a new connection may send nothing while others need the slot.
	silentConnGrace = 30 * time.Millisecond
	// acquireWait is how long a new connection waits for a slot before it is closed.
	acquireWait = 150 * time.Millisecond
	// acquirePollInterval is how often a waiting connection looks for a slot at least.
	acquirePollInterval = 2 * time.Millisecond
	// reapInterval is how often the table is searched for idle connections.
	reapInterval = 250 * time.Millisecond
)

// maxEvictionsPerAcquire bounds the connections that are ended for one new one, as each costs a
// pass over the table. A limit that was lowered is reached over several new connections.
const maxEvictionsPerAcquire = 4

// Times of the clients' listener.
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

// Times of a graceful shutdown, counted from SIGTERM.
const (
	// shutdownAcceptTime is how long connections are accepted: clients open new ones for up to
	// 0.4 s.
	shutdownAcceptTime = 450 * time.Millisecond
	// shutdownSettleTime is left after that to read what was accepted last.
	shutdownSettleTime = 50 * time.Millisecond
	// shutdownRejectAfter is when requests that arrive are rejected at once: SIGKILL may come
	// before they could be answered.
	shutdownRejectAfter = 600 * time.Millisecond
	// minKillDelay is how long after SIGTERM SIGKILL comes at the earliest where the settings
	// have deadlines as long or longer. 0.7 s are added to it.
	minKillDelay = 3 * time.Second
	// shutdownPollInterval is how often the connections are checked while the agent drains.
	shutdownPollInterval = 5 * time.Millisecond
)
