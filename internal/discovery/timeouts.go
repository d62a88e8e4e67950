package discovery

import "time"

// Timeouts of one call.
const (
	// WatchSilence is how long a watch may deliver nothing before it is ended. Discovery writes a
	// line every 2 s. What it has to say counts as known to the agent 6 s after it fell silent, the
	// wait before the next call and that call included.
	WatchSilence = 3 * time.Second
	// firstWordTimeout is the same for the first bytes of a watch. A discovery that serves many
	// agents in turn has failed what waited for 2 s, and a call that is given up later would leave
	// too little of the 6 s to the next.
	firstWordTimeout = 2500 * time.Millisecond
	// localHedgeDelay is after how long without a byte another call of a watch is made beside the
	// first to a discovery on the agent's own machine. What it has when it is back after an outage
	// counts as notified, and has the drains' grace.
	localHedgeDelay = 750 * time.Millisecond
	// fetchTimeout bounds a fetch from its connect to its last byte.
	fetchTimeout = 3 * time.Second
)

// What a new discovery has to say counts as known to the agent after 4 s. So a call to it that fails
// is retried for newRetryTime, each time newRetryInterval after the failure, and is given up after
// newCallTimeout.
const (
	newRetryTime     = 4 * time.Second
	newRetryInterval = 200 * time.Millisecond
	newCallTimeout   = 1300 * time.Millisecond
)

// A call that this machine could not make, for want of a descriptor, a port or a route, has not
// reached discovery and costs it nothing: it is made again after minLocalBackoff, which doubles to
// maxLocalBackoff. So discovery is called within 0.1 s of the end of the want, long before what it
// has to say counts as known, and no more than some 20 connects a second are tried.
const (
	minLocalBackoff = 25 * time.Millisecond
	maxLocalBackoff = 100 * time.Millisecond
)
