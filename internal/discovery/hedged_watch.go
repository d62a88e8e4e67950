package discovery

import (
	"context"
	"sync/atomic"
	"time"
)

// maxHedgedCalls bounds the number of concurrent calls of one watch that wait for their first byte.
const maxHedgedCalls = 4

// hedgedWatch opens one watch with hedged calls. A discovery on the agent's own machine answers at
// once and at no cost. If a call receives no data for the hedge delay, there are two possible
// reasons: the call was made while discovery was down and will never be answered, or discovery is
// slow. So the call stays open and one more is sent. The first call that is answered becomes the
// watch, and the others are cancelled.
type hedgedWatch struct {
	client           *Client
	since            int64
	firstByteTimeout time.Duration // of each call
	claimed          atomic.Bool   // set by the one call that determines the outcome of the watch
}

// claim claims the watch for one of its calls, which was answered or has failed. It returns false if
// another call has claimed the watch before.
func (h *hedgedWatch) claim() bool { return h.claimed.CompareAndSwap(false, true) }

// run runs the watch until it ends. The watch fails as soon as one of its calls fails before any was
// answered. When run returns, all other calls are cancelled, but some may not have returned yet.
func (h *hedgedWatch) run(hedgeDelay time.Duration) watchResult {
	ctx, cancel := context.WithCancel(h.client.ctx)
	defer cancel()
	results := make(chan watchResult, maxHedgedCalls)
	calls := 0
	call := func() {
		calls++
		go func() { results <- h.client.watchOnce(ctx, h.since, h.firstByteTimeout, h.claim) }()
	}
	call()
	for {
		var hedge <-chan time.Time
		if hedgeDelay > 0 && calls < maxHedgedCalls && !h.claimed.Load() {
			hedge = h.client.after(hedgeDelay)
		}
		select {
		case <-hedge:
			if !h.claimed.Load() {
				call()
			}
		case result := <-results:
			if result.receivedData || h.claim() {
				return result
			}
		}
	}
}
