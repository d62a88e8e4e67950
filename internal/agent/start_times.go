package agent

import (
	"math"

	"ploverreel/policy"
)

// maxClockOffsetMs is the assumed upper bound of the difference between the wall clocks of two
// machines, in ms. The clocks may be stepped by up to an hour each, in opposite directions, and have
// an error of some seconds besides.
const maxClockOffsetMs = 2*3600e3 + 60e3

// startTimes converts the time when a backend started, its born_ms, to the module's clock. A slow
// start lasts for a span of real time. But born_ms is a reading of another machine's wall clock,
// and the module's clock started at a reading of this machine's wall clock. After a step of either,
// the difference between the two is not the backend's age. The agent therefore estimates the offset
// between the two clocks from the notifications of starts, that is, from the lists in which a
// born_ms is new:
//
//   - A backend starts before the agent is notified of it. The time of the notification by the
//     module's clock, minus born_ms, is therefore an upper bound of the offset. The estimate is the
//     smallest of these bounds. With it a backend's age is too low by the delay of the fastest
//     notification, and never too high.
//   - While a watch is open, a notification arrives soon after the start. If the estimate puts a
//     start further before its notification than the tolerance, one of the clocks was stepped. The
//     time of the notification is then used as the start, and the estimate is reset to the bound
//     that it gives. The contract bounds the effect that a step within the tolerance has on slow
//     start, see policy.Contract.StartToleranceMs.
//   - After a time without a watch, the first list may contain starts from all of that time. The
//     tolerance grows by the length of that time.
//   - The first lists of a process are that of the configuration and the first one from discovery.
//     They contain all backends, and most of these have run for long. From these lists the agent
//     can't tell whether a wall clock is a minute ahead or the newest start was a minute ago. The
//     Date of discovery's response doesn't help: discovery runs on the agent's own machine, with
//     the same wall clock, and Date is rounded to a second. The time of the notification is
//     therefore used as the newest start, and each other start precedes it by the difference of
//     their born_ms. A born_ms that is in the future by this machine's clock proves that the clocks
//     differ. Its start is the time of the notification, and the estimate ignores it.
//   - In any case, if an age by this machine's clock exceeds maxClockOffsetMs, the backend is at
//     least as old as the excess.
//
// The cost: if an agent starts less than two hours after the newest start of a backend, it treats
// that backend, and those that started shortly before it, as warming up for at most the time of a
// slow start.
//
// The limit: in a first list, a backend on a machine whose wall clock was stepped back appears older
// than it is by the size of the step. On a watch it appears so if the step is within the tolerance.
//
// Each start is converted once: a backend that is listed again with the same born_ms has not
// restarted.
//
// All times are in ms. They are by the module's clock, except for born_ms. A startTimes belongs to
// the loop.
type startTimes struct {
	known           map[policy.Addr]startTime
	toleranceMs     float64 // time by which a notification may be slower than the fastest one
	awaitsFirstList bool    // discovery has delivered no list yet
	completeUntilMs float64 // the current list contains all starts up to this time; 0: a watch is open
	offsetMs        float64 // estimate of the module's clock minus the clock of born_ms
	hasOffset       bool    // offsetMs was estimated
}

// startTime is when a backend started.
type startTime struct {
	bornMs  float64 // as listed
	startMs float64 // by the module's clock
}

func newStartTimes() *startTimes {
	return &startTimes{known: map[policy.Addr]startTime{}, awaitsFirstList: true}
}

// setTolerance sets the time by which a notification may be slower than the fastest one.
func (t *startTimes) setTolerance(toleranceMs float64) { t.toleranceMs = toleranceMs }

// onWatchEnded records that no watch is open from now on, and that the last one may already have
// delivered no notifications for the last silenceMs.
func (t *startTimes) onWatchEnded(nowMs, silenceMs float64) {
	if t.completeUntilMs == 0 {
		t.completeUntilMs = nowMs - silenceMs
	}
}

// onWatchEvent records that a watch is open: it has delivered all starts so far and will deliver the
// next ones.
func (t *startTimes) onWatchEvent() { t.awaitsFirstList, t.completeUntilMs = false, 0 }

// onFetched records that a fetch has just delivered all starts so far.
func (t *startTimes) onFetched(nowMs float64) {
	t.awaitsFirstList = false
	if t.completeUntilMs != 0 {
		t.completeUntilMs = nowMs
	}
}

// toModuleClock converts the start times of a list's entries from born_ms to the module's clock.
func (t *startTimes) toModuleClock(entries []policy.Entry, nowMs float64) {
	if newestMs := t.newestBornMs(entries, nowMs); newestMs > 0 {
		t.updateOffset(newestMs, nowMs)
	}
	for i := range entries {
		entry := &entries[i]
		if !(entry.StartedMs > 0) { // long ago, or NaN; an earlier start of this backend is kept
			entry.StartedMs = 0
			continue
		}
		entry.StartedMs = t.moduleStart(entry.Server, entry.StartedMs, nowMs)
	}
}

// newestBornMs returns the newest born_ms of the list that can be used to estimate the offset, or 0
// if there is none. After the first list, only a born_ms that is new can be used.
func (t *startTimes) newestBornMs(entries []policy.Entry, nowMs float64) float64 {
	newestBornMs := 0.0
	for i := range entries {
		bornMs := entries[i].StartedMs
		if t.awaitsFirstList && bornMs > nowMs || !t.awaitsFirstList && t.known[entries[i].Server].bornMs == bornMs {
			continue
		}
		newestBornMs = max(newestBornMs, bornMs)
	}
	return newestBornMs
}

// moduleStart returns the start of a backend by the module's clock, and stores it.
func (t *startTimes) moduleStart(addr policy.Addr, bornMs, nowMs float64) float64 {
	previous, isKnown := t.known[addr]
	if isKnown && previous.bornMs == bornMs {
		return previous.startMs
	}
	startMs := t.startOnNotification(bornMs, nowMs)
	if isKnown { // the module recognizes a new process only by a later start
		startMs = max(startMs, math.Nextafter(previous.startMs, math.Inf(1)))
	} else {
		startMs = min(startMs, bornMs+maxClockOffsetMs)
	}
	t.known[addr] = startTime{bornMs: bornMs, startMs: startMs}
	return startMs
}

// updateOffset updates the estimate of the offset from the newest start that a list notifies of now.
func (t *startTimes) updateOffset(newestBornMs, nowMs float64) {
	offsetMs := nowMs - newestBornMs // exceeds the true offset by the delay of this notification
	if !t.hasOffset || t.awaitsFirstList || offsetMs < t.offsetMs || offsetMs-t.offsetMs > t.maxNotificationDelayMs(nowMs) {
		t.offsetMs, t.hasOffset = offsetMs, true
	}
}

// maxNotificationDelayMs returns the time by which a notification that arrives now may be slower
// than the fastest one.
func (t *startTimes) maxNotificationDelayMs(nowMs float64) float64 {
	switch {
	case t.awaitsFirstList:
		return math.Inf(1)
	case t.completeUntilMs != 0:
		return t.toleranceMs + nowMs - t.completeUntilMs
	}
	return t.toleranceMs
}

// startOnNotification returns the start, by the module's clock, of a backend whose start the agent
// is notified of now. It is never later than now.
func (t *startTimes) startOnNotification(bornMs, nowMs float64) float64 {
	startMs := bornMs + t.offsetMs
	if startMs > nowMs || nowMs-startMs > t.maxNotificationDelayMs(nowMs) {
		return nowMs
	}
	return startMs
}

// prune removes the starts of unlisted backends once they outnumber the listed ones by more than
// minPruneExcess. Otherwise the names of backends that never return would accumulate.
func (t *startTimes) prune(listed map[policy.Addr]*listedBackend) {
	const minPruneExcess = 1024 // start times; spares a small fleet frequent pruning
	if len(t.known) <= 2*len(listed)+minPruneExcess {
		return
	}
	for addr := range t.known {
		if listed[addr] == nil {
			delete(t.known, addr)
		}
	}
}
