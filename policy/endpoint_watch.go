// This file holds when discovery is asked for the list.

package policy

import (
	"math"
)

const (
	// What discovery has to tell counts as told after toldWithin, in ms, whatever went wrong
	// before; it serves calls in turn, and one that has waited for callMost fails. callMargin
	// is left for the way and for what the list sets off.
	toldWithin, callMost, callMargin = 6000.0, 2000.0, 250.0
	// callGap is how far apart, in ms, the agents of a small fleet call that start together:
	// those of large ones take all the time that they have.
	callGap = 75.0
	// A watch on the agent's own machine costs nothing: firstWait and longestWait, in ms, only
	// keep its calls from spinning.
	firstWait, longestWait = 100.0, 500.0
	// firstBackoff is the span, in ms, of the wait after a first failed call: less would come
	// back to a queue that is as long as it was. lostBackoff is that after a watch that told
	// has ended: what it missed counts as told some 2 s later, the call included.
	firstBackoff, lostBackoff = 1000.0, 1000.0
)

// askForList sets the time of the first call that follows the list. Where discovery is one
// service for all, agents that start together have turns by their numbers, so that their calls
// don't wait for each other. The list that an agent starts with is as old as its restart took,
// and what it misses may count as told already: all turns are within the drains' grace.
func (b *Balancer) askForList() {
	switch b.set.Membership {
	case MembershipWatched:
		b.follow(b.rng.Float64() * firstWait)
	case MembershipOnRequest:
		turn := (float64(b.set.Index) + b.rng.Float64()) / float64(max(b.set.Replicas, b.set.Index+1))
		b.follow(turn * b.spread(min(b.set.Contract.DrainGraceMs, toldWithin-callMost-callMargin)))
	}
}

// askAgain sets the time of the next call after failures calls in a row that failed, or
// watches that told and ended at once: a backoff with jitter that doubles from span. The
// last call may have failed at the very moment in which discovery came back, so what it
// took, the wait and the next call are together less than toldWithin.
func (b *Balancer) askAgain(failures int, span float64) {
	if b.set.Membership == MembershipWatched {
		b.follow(b.rng.Float64() * min(firstWait*math.Pow(2, float64(failures)), longestWait))
		return
	}
	most := toldWithin - callMost - callMargin - (b.now - b.askedAt)
	span = min(span*math.Pow(2, float64(failures-1)), max(most, firstBackoff))
	b.follow(span * (0.5 + b.rng.Float64()/2))
}

// onLost sets the time of the next call after a watch that had told has ended. One that
// ends again and again as soon as it has told is no better than calls that fail.
func (b *Balancer) onLost() {
	b.failures = 0
	if b.now-b.askedAt < toldWithin/2 {
		b.losses++
	} else {
		b.losses = 1
	}
	switch {
	case b.losses > 1:
		b.askAgain(b.losses-1, lostBackoff)
	case b.set.Membership == MembershipWatched:
		b.follow(b.rng.Float64() * firstWait)
	default:
		b.follow(b.rng.Float64() * b.spread(lostBackoff))
	}
}

// spread is the time over which all agents' calls are spread, at most most.
func (b *Balancer) spread(most float64) float64 {
	return min(callGap*float64(b.set.Replicas), most)
}

func (b *Balancer) follow(in float64) {
	b.do(Action{Kind: ActionTimer, DelayMs: in, Token: followToken})
}

// refetch asks for the whole list, seldom: every call loads discovery. Who follows the list
// has it as new as can be, or waits for its turn to ask.
func (b *Balancer) refetch() {
	if b.set.Membership == MembershipPushed && b.now-b.lookedAt >= max(b.set.Contract.PollWithinMs, 1000) {
		b.lookedAt = b.now
		b.do(Action{Kind: ActionFetch})
	}
}
