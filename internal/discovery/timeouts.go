package discovery

import "time"

// Timeouts of one call.
const (
	// WatchIdleTimeout bounds how long a watch may deliver no data before it is closed. A healthy
	// discovery writes a line every 2 s. If discovery stops writing, the agent is expected to know
	// its changes within 6 s of that. These 6 s include the wait before the next call and that call
	// itself.
	WatchIdleTimeout = 3 * time.Second
	// firstByteTimeout bounds how long a call of a watch may wait for its first byte. A discovery
	// that serves many agents in turn fails a call that has waited for 2 s. A longer timeout would
	// leave too little of the 6 s for the next call.
	firstByteTimeout = 2500 * time.Millisecond
	// localHedgeDelay is the time without a byte after which a watch of a discovery on the agent's
	// own machine sends one more call (see hedgedWatch). From the end of an outage of discovery, the
	// contract treats the agent as notified of all changes. It then has only the grace period of
	// drains to receive them.
	localHedgeDelay = 750 * time.Millisecond
	// fetchTimeout bounds a fetch from its connect to its last byte.
	fetchTimeout = 3 * time.Second
)

// Retries of the first calls to a new discovery. The agent is expected to know the list of a new
// discovery after 4 s, so these calls get shorter timeouts and are retried without the usual
// backoff.
const (
	newDiscoveryRetryTime     = 4 * time.Second         // no retry is scheduled later than this
	newDiscoveryRetryInterval = 200 * time.Millisecond  // from a failure to the next call
	newDiscoveryCallTimeout   = 1300 * time.Millisecond // of one call
)

// Backoff after a call that failed on this machine because it had no free descriptor, no free port
// or no route. Such a call has not reached discovery and costs it nothing, so it is retried soon:
// the backoff doubles from the minimum to the maximum. Discovery is therefore called within 0.1 s
// after the shortage ends, long before the agent is expected to know its changes. At most about 20
// connects a second are tried.
const (
	minLocalFailureBackoff = 25 * time.Millisecond
	maxLocalFailureBackoff = 100 * time.Millisecond
)
