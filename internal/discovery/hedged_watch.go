package discovery

import (
	"context"
	"sync/atomic"
	"time"
)

// maxHedgedCalls bounds the calls of one watch that wait for their first word at the same time.
const maxHedgedCalls = 4

// hedgedWatch opens one watch by several calls. A discovery on the agent's own machine answers at
// once and at no cost, so a call on which nothing has come for hedgeDelay may have been made while
// discovery was down, and will never be answered; or discovery is slow. So the call stays, and
// another is made beside it. The first call that is answered is the watch; the others end.
type hedgedWatch struct {
	client    *Client
	since     int64
	firstByte time.Duration // how long each call waits for its first word
	answered  atomic.Bool   // a call was answered, or the watch has failed: no other call counts
}

// claim reports whether the caller is the first to decide how the watch goes on.
func (h *hedgedWatch) claim() bool { return h.answered.CompareAndSwap(false, true) }

// run follows the watch until it ends. It fails as soon as one of its calls does before any was
// answered. No call is left when it returns but for those that are about to see that they ended.
func (h *hedgedWatch) run(hedgeDelay time.Duration) watchResult {
	ctx, cancel := context.WithCancel(h.client.ctx)
	defer cancel()
	results := make(chan watchResult, maxHedgedCalls)
	calls := 0
	call := func() {
		calls++
		go func() { results <- h.client.watchOnce(ctx, h.since, h.firstByte, h.claim) }()
	}
	call()
	for {
		var hedge <-chan time.Time
		if hedgeDelay > 0 && calls < maxHedgedCalls && !h.answered.Load() {
			hedge = h.client.after(hedgeDelay)
		}
		select {
		case <-hedge:
			if !h.answered.Load() {
				call()
			}
		case result := <-results:
			if result.alive || h.claim() {
				return result
			}
		}
	}
}
