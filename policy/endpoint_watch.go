// This file holds when discovery is asked for the list.

package policy

import (
	"math"
)

const (
	// What discovery has to tell counts as told after toldWithin, in ms, whatever went wrong
	// before; it serves calls in turn, and one that has waited for callMost fails. callMargin
	// is left for the way and for what the list sets off.
	notifyWithinMs, watchCallMaxMs, watchCallMarginMs = 6000.0, 2000.0, 250.0
	// callGap is how far apart, in ms, the agents of a small fleet call that start together:
	// those of large ones take all the time that they have.
	watchStaggerMs = 75.0
	// A watch on the agent's own machine costs nothing: firstWait and longestWait, in ms, only
	// keep its calls from spinning.
	localWatchDelayMs, localWatchMaxDelayMs = 100.0, 500.0
	// firstBackoff is the span, in ms, of the wait after a first failed call: less would come
	// back to a queue that is as long as it was. lostBackoff is that after a watch that told
	// has ended: what it missed counts as told some 2 s later, the call included.
	firstWatchBackoffMs, watchEndedBackoffMs = 1000.0, 1000.0
)

// watchScheduler decides when discovery is called.
type watchScheduler struct {
	fetchedAt    float64 // last fetch of the whole list, in ms
	startedAt    float64 // last call that watches the list, in ms
	failures     int     // failed calls in a row
	shortWatches int     // watches in a row that ended as soon as they had notified
}

// askForList sets the time of the first call that follows the list. Where discovery is one
// service for all, agents that start together have turns by their numbers, so that their calls
// don't wait for each other. The list that an agent starts with is as old as its restart took,
// and what it misses may count as told already: all turns are within the drains' grace.
func (b *Balancer) startWatch() {
	switch b.set.Membership {
	case MembershipWatched:
		b.watchAfter(b.rng.Float64() * localWatchDelayMs)
	case MembershipOnRequest:
		turn := (float64(b.set.Index) + b.rng.Float64()) / float64(max(b.set.Replicas, b.set.Index+1))
		b.watchAfter(turn * b.spread(min(b.set.Contract.DrainGraceMs, notifyWithinMs-watchCallMaxMs-watchCallMarginMs)))
	}
}

// askAgain sets the time of the next call after failures calls in a row that failed, or
// watches that told and ended at once: a backoff with jitter that doubles from span. The
// last call may have failed at the very moment in which discovery came back, so what it
// took, the wait and the next call are together less than toldWithin.
func (b *Balancer) retryWatch(failures int, span float64) {
	if b.set.Membership == MembershipWatched {
		b.watchAfter(b.rng.Float64() * min(localWatchDelayMs*math.Pow(2, float64(failures)), localWatchMaxDelayMs))
		return
	}
	most := notifyWithinMs - watchCallMaxMs - watchCallMarginMs - (b.now - b.watch.startedAt)
	span = min(span*math.Pow(2, float64(failures-1)), max(most, firstWatchBackoffMs))
	b.watchAfter(span * (0.5 + b.rng.Float64()/2))
}

// onLost sets the time of the next call after a watch that had told has ended. One that
// ends again and again as soon as it has told is no better than calls that fail.
func (b *Balancer) onWatchEnded() {
	b.watch.failures = 0
	if b.now-b.watch.startedAt < notifyWithinMs/2 {
		b.watch.shortWatches++
	} else {
		b.watch.shortWatches = 1
	}
	switch {
	case b.watch.shortWatches > 1:
		b.retryWatch(b.watch.shortWatches-1, watchEndedBackoffMs)
	case b.set.Membership == MembershipWatched:
		b.watchAfter(b.rng.Float64() * localWatchDelayMs)
	default:
		b.watchAfter(b.rng.Float64() * b.spread(watchEndedBackoffMs))
	}
}

// spread is the time over which all agents' calls are spread, at most most.
func (b *Balancer) spread(most float64) float64 {
	return min(watchStaggerMs*float64(b.set.Replicas), most)
}

func (b *Balancer) watchAfter(in float64) {
	b.do(Action{Kind: ActionTimer, DelayMs: in, Token: timerWatch})
}

// refetch asks for the whole list, seldom: every call loads discovery. Who follows the list
// has it as new as can be, or waits for its turn to ask.
func (b *Balancer) fetchList() {
	if b.set.Membership == MembershipPushed && b.now-b.watch.fetchedAt >= max(b.set.Contract.PollWithinMs, 1000) {
		b.watch.fetchedAt = b.now
		b.do(Action{Kind: ActionFetch})
	}
}
