package agent

import "time"

// Timeouts of a request. A bad client has to get an error or a close within 3 s of connecting, so
// clientconn.HeadTimeout + bodyTimeout stays below that with a margin.
const (
	// bodyTimeout is how long a request's body may take to arrive.
	bodyTimeout = time.Second
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
