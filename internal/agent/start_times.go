package agent

import (
	"math"

	"ploverreel/policy"
)

// maxClockOffsetMs is the assumed upper bound of the difference between the wall clocks of two machines,
// in ms. Each clock may be stepped by up to an hour, in opposite directions, and have an error of some
// seconds besides.
const maxClockOffsetMs = 2*3600e3 + 60e3

// startTimes translates the time when a backend started, its born_ms, to the module's clock. Slow start
// lasts for a span of real time, but born_ms is a reading of another machine's wall clock, and the
// module's clock began with a reading of this machine's. After a step of either, their difference is
// not a backend's age. So the offset between the two clocks is estimated from the notices of starts,
// and bounded:
//
//   - A backend has started before the agent is notified of it. So each notice gives an upper bound of
//     the offset: the module's time of the notice less born_ms. The smallest of these bounds is the
//     estimate. With it a backend counts as younger than it is, by the delay of the quickest notice,
//     and never as older.
//   - While a watch is open the notice comes soon after the start. If born_ms lies further before its
//     notice than that of the quickest one, by more than the tolerance, the clocks have come to
//     disagree: that start counts from its notice, and the estimate begins anew with it. The contract
//     bounds what a disagreement within the tolerance does to slow start, see
//     policy.Contract.StartToleranceMs.
//   - After a time without a watch the first list may name starts of all that time, so each may lie
//     that much further before its notice.
//   - The first lists of a process, that of the configuration and discovery's first, name all
//     backends, most of which have run for long. Nothing in them tells a wall clock that is a minute
//     ahead from a newest start that is a minute past. (The Date of discovery's response doesn't
//     either: discovery runs on the agent's own machine, with the same wall clock, and Date is rounded
//     to a second.) So the newest start counts from the notice, and the others as much before it as
//     they are apart. A born_ms in the future of this machine's clock proves that the clocks disagree:
//     it counts from its notice, and is no measure for others.
//   - However little is known, an age by this machine's clock is true as far as it exceeds
//     maxClockOffsetMs.
//
// The cost: an agent that starts less than two hours after the newest start of a backend counts that
// backend, and those that started shortly before it, as warming up for at most the time of a slow
// start.
//
// The limit: in a first list, a backend on a machine whose wall clock was stepped back looks older than
// it is by the step. On a watch it does so if the step is within the tolerance.
//
// A start is translated once: a backend that is listed again with the same born_ms has not started
// since.
//
// All times are in ms, and by the module's clock unless they are a born_ms. A startTimes belongs to
// the loop.
type startTimes struct {
	known           map[policy.Addr]startTime
	toleranceMs     float64 // by how much a notice may come later than the quickest one
	awaitsFirstList bool    // discovery has delivered no list yet
	completeUntilMs float64 // up to when the list in force has all starts; 0: a watch is open
	offsetMs        float64 // estimate of the module's clock less that of born_ms
	hasOffset       bool    // offset was estimated
}

// startTime is when a backend started.
type startTime struct {
	bornMs  float64 // as listed
	startMs float64 // by the module's clock
}

func newStartTimes() *startTimes {
	return &startTimes{known: map[policy.Addr]startTime{}, awaitsFirstList: true}
}

// setTolerance sets by how much a notice may come later than the quickest one.
func (t *startTimes) setTolerance(toleranceMs float64) { t.toleranceMs = toleranceMs }

// onWatchEnded notes that from now on no watch brings notices of starts, and that the last watch may
// have brought none for the time silence.
func (t *startTimes) onWatchEnded(nowMs, silenceMs float64) {
	if t.completeUntilMs == 0 {
		t.completeUntilMs = nowMs - silenceMs
	}
}

// onWatchEvent notes that a watch has delivered all starts so far, and will deliver the next ones.
func (t *startTimes) onWatchEvent() { t.awaitsFirstList, t.completeUntilMs = false, 0 }

// onFetched notes that all starts so far were delivered just now.
func (t *startTimes) onFetched(nowMs float64) {
	t.awaitsFirstList = false
	if t.completeUntilMs != 0 {
		t.completeUntilMs = nowMs
	}
}

// toModuleClock sets the start times of a list's entries, which hold born_ms, to those by the module's
// clock.
func (t *startTimes) toModuleClock(entries []policy.Entry, nowMs float64) {
	if newestMs := t.newestBornMs(entries, nowMs); newestMs > 0 {
		t.updateOffset(newestMs, nowMs)
	}
	for i := range entries {
		entry := &entries[i]
		if !(entry.StartedMs > 0) { // long ago; a start that is known stays so
			entry.StartedMs = 0
			continue
		}
		entry.StartedMs = t.moduleStart(entry.Server, entry.StartedMs, nowMs)
	}
}

// newestBornMs returns the newest born_ms of those that this list notifies of and that are a measure of
// the offset; 0 if there is none.
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

// moduleStart returns the start of a backend by the module's clock, and remembers it.
func (t *startTimes) moduleStart(addr policy.Addr, bornMs, nowMs float64) float64 {
	previous, isKnown := t.known[addr]
	if isKnown && previous.bornMs == bornMs {
		return previous.startMs
	}
	startMs := t.startOnNotification(bornMs, nowMs)
	if isKnown { // the module takes only a later start for another process
		startMs = max(startMs, math.Nextafter(previous.startMs, math.Inf(1)))
	} else {
		startMs = min(startMs, bornMs+maxClockOffsetMs)
	}
	t.known[addr] = startTime{bornMs: bornMs, startMs: startMs}
	return startMs
}

// updateOffset updates the estimate of the offset by the newest start of which a notice comes now.
func (t *startTimes) updateOffset(newestBornMs, nowMs float64) {
	offsetMs := nowMs - newestBornMs // more than the true one, by the delay of this notice
	if !t.hasOffset || t.awaitsFirstList || offsetMs < t.offsetMs || offsetMs-t.offsetMs > t.maxNotificationDelayMs(nowMs) {
		t.offsetMs, t.hasOffset = offsetMs, true
	}
}

// maxNotificationDelayMs returns how much later than the quickest notice one that comes now may be.
func (t *startTimes) maxNotificationDelayMs(nowMs float64) float64 {
	switch {
	case t.awaitsFirstList:
		return math.Inf(1)
	case t.completeUntilMs != 0:
		return t.toleranceMs + nowMs - t.completeUntilMs
	}
	return t.toleranceMs
}

// startOnNotification returns the start, by the module's clock, of a backend of whose start a notice comes now. It
// is never after now.
func (t *startTimes) startOnNotification(bornMs, nowMs float64) float64 {
	startMs := bornMs + t.offsetMs
	if startMs > nowMs || nowMs-startMs > t.maxNotificationDelayMs(nowMs) {
		return nowMs
	}
	return startMs
}

// prune removes the starts of backends that are not listed once there are more of them than of the
// others, so that names that never come again don't add up.
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
