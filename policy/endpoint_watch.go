// This file schedules the calls to discovery for the endpoint list.

package policy

import (
	"math"
)

const (
	// notifyDeadlineMs is the time, in ms, after which the contract treats an agent as notified of
	// a change of the list, whatever failed before. maxWatchCallMs bounds how long a call waits, in
	// ms: discovery serves calls in turn, and a call that has waited this long fails.
	// watchCallMarginMs is the time reserved for network delay and for processing the list, in ms.
	notifyDeadlineMs, maxWatchCallMs, watchCallMarginMs = 6000.0, 2000.0, 250.0
	// watchStaggerMs times the number of agents is the time, in ms, over which a small fleet spreads
	// its calls when its agents start together. Large fleets use all the time that is allowed.
	watchStaggerMs = 75.0
	// localWatchDelayMs and localWatchMaxDelayMs bound the first and the longest delay, in ms,
	// before a call to discovery on the agent's own machine. Such calls cost nothing; the delays
	// only prevent a busy loop.
	localWatchDelayMs, localWatchMaxDelayMs = 100.0, 500.0
	// initialWatchBackoffMs bounds the backoff after the first failed call, in ms. The bound on later
	// backoffs is never lower: after a shorter backoff the queue at discovery would still be as long
	// as before.
	initialWatchBackoffMs = 1000.0
	// watchEndedBackoffMs bounds the backoff, in ms, after the end of a watch that had delivered
	// something. The agent is treated as notified of what the watch missed some 2 s later, and the
	// next call has to end by then.
	watchEndedBackoffMs = 1000.0
	// minFetchIntervalMs is the minimum time between two fetches of the whole list, in ms.
	minFetchIntervalMs = 1000.0
)

// watchScheduler decides when the agent calls discovery.
type watchScheduler struct {
	*environment
	fetchedAt    float64 // time of the last fetch of the whole list, in ms
	openedAt     float64 // time of the last opening of a watch, or of the start, in ms
	failures     int     // consecutive failed calls
	shortWatches int     // consecutive short watches and the long one before them, see onEnded
}

// newWatchScheduler returns a scheduler that has never fetched the list.
func newWatchScheduler(env *environment) watchScheduler {
	return watchScheduler{environment: env, fetchedAt: never}
}

// start schedules the first watch. If all agents share one discovery service, agents that start
// together call it in the order of their indexes, so that their calls don't queue behind each other.
// The cached list that an agent starts with is as old as its restart took, and the agent may already
// be treated as notified of the changes since. Therefore all first calls are made within the drain
// grace.
func (w *watchScheduler) start() {
	w.openedAt = w.now
	switch w.settings.Membership {
	case MembershipWatched:
		w.scheduleWatch(w.rng.Float64() * localWatchDelayMs)
	case MembershipOnRequest:
		position := (float64(w.settings.Index) + w.rng.Float64()) /
			float64(max(w.settings.Replicas, w.settings.Index+1))
		maxSpreadMs := min(w.settings.Contract.DrainGraceMs,
			notifyDeadlineMs-maxWatchCallMs-watchCallMarginMs)
		w.scheduleWatch(position * w.spreadMs(maxSpreadMs))
	}
}

// openWatch opens the scheduled watch.
func (w *watchScheduler) openWatch() {
	w.openedAt = w.now
	w.emit(OpenWatch())
}

// onDelivered resets the failures, because discovery has delivered a list.
func (w *watchScheduler) onDelivered() { w.failures = 0 }

// onFailed schedules the next call after a failed one.
func (w *watchScheduler) onFailed() {
	w.failures++
	w.scheduleRetry(w.failures, initialWatchBackoffMs)
}

// onEnded schedules the next call after the end of a watch that had delivered something. A watch is
// short if it ends within half of notifyDeadlineMs after its opening. After a short watch the next
// call is backed off as after failed calls, unless no watch had ended before.
func (w *watchScheduler) onEnded() {
	w.failures = 0
	if w.now-w.openedAt < notifyDeadlineMs/2 {
		w.shortWatches++
	} else {
		w.shortWatches = 1
	}
	switch {
	case w.shortWatches > 1:
		w.scheduleRetry(w.shortWatches-1, watchEndedBackoffMs)
	case w.settings.Membership == MembershipWatched:
		w.scheduleWatch(w.rng.Float64() * localWatchDelayMs)
	default:
		w.scheduleWatch(w.rng.Float64() * w.spreadMs(watchEndedBackoffMs))
	}
}

// scheduleRetry schedules the next call after consecutive failures, with an exponential backoff that
// starts at backoffMs. Jitter takes off up to half of it, or up to all of it if discovery is on the
// agent's own machine. The last call may have failed at the very moment at which discovery recovered.
// Therefore the duration of that call, the backoff and the next call together stay below
// notifyDeadlineMs.
func (w *watchScheduler) scheduleRetry(failures int, backoffMs float64) {
	if w.settings.Membership == MembershipWatched {
		maxBackoffMs := min(localWatchDelayMs*math.Pow(2, float64(failures)), localWatchMaxDelayMs)
		w.scheduleWatch(w.rng.Float64() * maxBackoffMs)
		return
	}
	maxBackoffMs := notifyDeadlineMs - maxWatchCallMs - watchCallMarginMs - (w.now - w.openedAt)
	backoffMs = min(backoffMs*math.Pow(2, float64(failures-1)), max(maxBackoffMs, initialWatchBackoffMs))
	w.scheduleWatch(backoffMs * (0.5 + w.rng.Float64()/2))
}

// spreadMs returns the time over which the calls of all agents are spread, at most limitMs.
func (w *watchScheduler) spreadMs(limitMs float64) float64 {
	return min(watchStaggerMs*float64(w.settings.Replicas), limitMs)
}

// scheduleWatch schedules the next watch.
func (w *watchScheduler) scheduleWatch(delayMs float64) {
	w.emit(SetTimer(delayMs, timerWatch))
}

// fetch fetches the whole list, at a limited rate because every call is load for discovery. It does
// nothing in the modes in which the agent watches the list: the list is then up to date, or the next
// watch is already scheduled.
func (w *watchScheduler) fetch() {
	if w.settings.Membership != MembershipPushed {
		return
	}
	if w.now-w.fetchedAt >= max(w.settings.Contract.MaxListAgeMs, minFetchIntervalMs) {
		w.fetchedAt = w.now
		w.emit(FetchEndpoints())
	}
}
