// This file holds when discovery is called for the endpoint list.

package policy

import (
	"math"
)

const (
	// A change of the list counts as notified after notifyWithinMs, whatever went wrong before.
	// Discovery serves calls in turn, and one that has waited for watchCallMaxMs fails.
	// watchCallMarginMs is the time that remains for the way and for what the list sets off.
	notifyWithinMs, watchCallMaxMs, watchCallMarginMs = 6000.0, 2000.0, 250.0
	// watchStaggerMs is how far apart the agents of a small fleet call that start together: those
	// of large fleets take all the time that they have.
	watchStaggerMs = 75.0
	// A watch on the agent's own machine costs nothing: localWatchDelayMs and
	// localWatchMaxDelayMs only keep its calls from spinning.
	localWatchDelayMs, localWatchMaxDelayMs = 100.0, 500.0
	// firstWatchBackoffMs is the span of the wait after a first failed call: a shorter one would
	// come back to a queue that is as long as it was.
	firstWatchBackoffMs = 1000.0
	// watchEndedBackoffMs is the same after a watch that had notified has ended: what it missed
	// counts as notified some 2 s later, the call included.
	watchEndedBackoffMs = 1000.0
	// minFetchGapMs is the shortest time between two fetches of the whole list.
	minFetchGapMs = 1000.0
)

// watchScheduler decides when discovery is called.
type watchScheduler struct {
	*environment
	fetchedAt    float64 // last fetch of the whole list, in ms
	startedAt    float64 // last call that watches the list, in ms
	failures     int     // failed calls in a row
	shortWatches int     // watches in a row that ended as soon as they had notified
}

// newWatchScheduler returns a scheduler that has never fetched the list.
func newWatchScheduler(env *environment) watchScheduler {
	return watchScheduler{environment: env, fetchedAt: never}
}

// start sets the time of the first call that watches the list. Where discovery is one service
// for all, agents that start together have turns by their numbers, so that their calls don't wait
// for each other. The list that an agent starts with is as old as its restart took, and what it
// misses may count as notified already: all turns are within the grace of draining.
func (w *watchScheduler) start() {
	w.startedAt = w.now
	switch w.settings.Membership {
	case MembershipWatched:
		w.watchAfter(w.rng.Float64() * localWatchDelayMs)
	case MembershipOnRequest:
		turn := (float64(w.settings.Index) + w.rng.Float64()) /
			float64(max(w.settings.Replicas, w.settings.Index+1))
		most := min(w.settings.Contract.DrainGraceMs, notifyWithinMs-watchCallMaxMs-watchCallMarginMs)
		w.watchAfter(turn * w.spreadMs(most))
	}
}

// begin starts the call that was due.
func (w *watchScheduler) begin() {
	w.startedAt = w.now
	w.emit(OpenWatch())
}

// onDelivered notes that discovery has delivered a list.
func (w *watchScheduler) onDelivered() { w.failures = 0 }

// onFailed sets the time of the next call after one that failed.
func (w *watchScheduler) onFailed() {
	w.failures++
	w.retry(w.failures, firstWatchBackoffMs)
}

// onEnded sets the time of the next call after a watch that had notified has ended. One that
// ends again and again as soon as it has notified is no better than calls that fail.
func (w *watchScheduler) onEnded() {
	w.failures = 0
	if w.now-w.startedAt < notifyWithinMs/2 {
		w.shortWatches++
	} else {
		w.shortWatches = 1
	}
	switch {
	case w.shortWatches > 1:
		w.retry(w.shortWatches-1, watchEndedBackoffMs)
	case w.settings.Membership == MembershipWatched:
		w.watchAfter(w.rng.Float64() * localWatchDelayMs)
	default:
		w.watchAfter(w.rng.Float64() * w.spreadMs(watchEndedBackoffMs))
	}
}

// retry sets the time of the next call after failures in a row: a backoff with jitter that
// doubles from spanMs. The last call may have failed at the very moment in which discovery came
// back, so what it took, the wait and the next call are together less than notifyWithinMs.
func (w *watchScheduler) retry(failures int, spanMs float64) {
	if w.settings.Membership == MembershipWatched {
		most := min(localWatchDelayMs*math.Pow(2, float64(failures)), localWatchMaxDelayMs)
		w.watchAfter(w.rng.Float64() * most)
		return
	}
	most := notifyWithinMs - watchCallMaxMs - watchCallMarginMs - (w.now - w.startedAt)
	spanMs = min(spanMs*math.Pow(2, float64(failures-1)), max(most, firstWatchBackoffMs))
	w.watchAfter(spanMs * (0.5 + w.rng.Float64()/2))
}

// spreadMs returns the time over which all agents' calls are spread, at most mostMs.
func (w *watchScheduler) spreadMs(mostMs float64) float64 {
	return min(watchStaggerMs*float64(w.settings.Replicas), mostMs)
}

// watchAfter sets the time of the next call that watches the list.
func (w *watchScheduler) watchAfter(delayMs float64) {
	w.emit(SetTimer(delayMs, timerWatch))
}

// fetch fetches the whole list, seldom: every call loads discovery. An agent that watches the
// list has it as new as can be, or waits for its turn to call.
func (w *watchScheduler) fetch() {
	if w.settings.Membership != MembershipPushed {
		return
	}
	if w.now-w.fetchedAt >= max(w.settings.Contract.PollWithinMs, minFetchGapMs) {
		w.fetchedAt = w.now
		w.emit(FetchEndpoints())
	}
}
