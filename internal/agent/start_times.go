package agent

import (
	"math"

	"ploverreel/policy"
)

// maxClockDistance is how far apart, in ms, the wall clocks of two machines are taken to be: each may
// be stepped by as much as an hour, in opposite directions, and by some seconds besides.
const maxClockDistance = 2*3600e3 + 60e3

// startTimes translates when a backend started, its born_ms, into the module's clock. Slow start is
// a span of real time, and born_ms is a reading of a wall clock, as is what the module's clock
// began with: after a step of either, their difference says nothing of a backend's age. So the
// distance between the two clocks is estimated from the notices of starts, and bounded:
//
//   - A backend has started before the agent hears of it, so each notice bounds the distance from
//     above: by the module's time of the notice less born_ms. The smallest of these bounds is the
//     estimate. With it a backend counts as younger than it is, by the delay of the quickest notice,
//     and never as older.
//   - While a watch is open the notice comes soon after the start. A born_ms that lies further
//     before its notice than the quickest one by more than the tolerance was read from a clock
//     that disagrees: that start counts from its notice, and the estimate begins anew with it.
//     What a disagreement within the tolerance does to slow start is bounded by the contract, see
//     policy.Contract.StartToleranceMs.
//   - After a time without a watch the first list may name starts of all that time, so they may
//     lie that much further before their notice.
//   - The first lists of a process (that of the configuration, and discovery's first) name all
//     backends, most of which have run for long. Nothing in them distinguishes a wall clock that is a minute
//     ahead from a newest start that is a minute past: discovery is on the agent's own machine, so
//     the Date of its answer would come from the same wall clock, and rounded to a second. So the
//     newest start counts from the notice and the others as much before it as they are apart. A
//     born_ms that is in the future of the own clock proves that the clocks disagree: it is a
//     start of the notice, and no measure for others.
//   - Of an age by the own clock as much is true as is over maxClockDistance.
//
// The cost is that an agent that starts less than two hours after the newest start of a backend
// counts it, and those that started shortly before it, as warming up for at most the time of a slow
// start.
//
// Its limit: in a first list, a backend on a machine whose wall clock was stepped back
// looks older than it is by the step, and on a watch by the step if that is within the tolerance.
//
// What was translated stays: a backend that is listed again with the born_ms of before has not
// started since.
//
// All times are in ms, and by the module's clock unless they are a born_ms. A startTimes belongs to
// the loop.
type startTimes struct {
	known      map[policy.Addr]startTime
	tolerance  float64 // by how much a notice may come later than the quickest one
	first      bool    // no list of discovery was translated yet
	completeAt float64 // until when the list was known to be complete; 0: a watch keeps it so
	distance   float64 // estimate of the module's clock less that of born_ms
	estimated  bool    // a start was noticed
}

// startTime is one start of a backend.
type startTime struct {
	bornMs  float64 // by the list
	sinceMs float64 // by the module's clock
}

func newStartTimes() *startTimes {
	return &startTimes{known: map[policy.Addr]startTime{}, first: true}
}

// unwatched notes that from now on no watch brings notices of starts, and that the last one may have
// brought none for the time silence.
func (t *startTimes) unwatched(now, silence float64) {
	if t.completeAt == 0 {
		t.completeAt = now - silence
	}
}

// watched notes that a watch has delivered all that there is, and delivers what follows.
func (t *startTimes) watched() { t.first, t.completeAt = false, 0 }

// fetched notes that all that there is was delivered just now.
func (t *startTimes) fetched(now float64) {
	t.first = false
	if t.completeAt != 0 {
		t.completeAt = now
	}
}

// translate sets the starts of a list's entries, which hold born_ms, to the module's clock.
func (t *startTimes) translate(entries []policy.Entry, now float64) {
	newest := 0.0
	for i := range entries {
		born := entries[i].StartedMs
		if t.first && born > now || !t.first && t.known[entries[i].Server].bornMs == born {
			continue
		}
		newest = max(newest, born)
	}
	if newest > 0 {
		t.estimate(newest, now)
	}
	for i := range entries {
		entry := &entries[i]
		if !(entry.StartedMs > 0) { // long ago; a start that is known stays so
			entry.StartedMs = 0
			continue
		}
		start, again := t.known[entry.Server]
		if !again || start.bornMs != entry.StartedMs {
			since := t.noticed(entry.StartedMs, now)
			if again { // the module takes only a later start for another process
				since = max(since, math.Nextafter(start.sinceMs, math.Inf(1)))
			} else {
				since = min(since, entry.StartedMs+maxClockDistance)
			}
			start = startTime{bornMs: entry.StartedMs, sinceMs: since}
			t.known[entry.Server] = start
		}
		entry.StartedMs = start.sinceMs
	}
}

// estimate takes the newest start of those that are noticed now into the estimate of the distance
// between the clocks.
func (t *startTimes) estimate(newest, now float64) {
	distance := now - newest // with the delay of this notice
	if !t.estimated || t.first || distance < t.distance || distance-t.distance > t.longestDelay(now) {
		t.distance, t.estimated = distance, true
	}
}

// longestDelay is how much later than the quickest notice one that comes now may be.
func (t *startTimes) longestDelay(now float64) float64 {
	switch {
	case t.first:
		return math.Inf(1)
	case t.completeAt != 0:
		return t.tolerance + now - t.completeAt
	}
	return t.tolerance
}

// noticed is the start, by the module's clock, of a backend whose start is noticed now. It is never
// after now.
func (t *startTimes) noticed(born, now float64) float64 {
	since := born + t.distance
	if since > now || now-since > t.longestDelay(now) {
		return now
	}
	return since
}

// forget drops the starts of backends that are not listed once they are more than the others, so that
// names that never come again don't add up. spare keeps small fleets from doing so often.
func (t *startTimes) forget(listed map[policy.Addr]*listedBackend) {
	const spare = 1024
	if len(t.known) <= 2*len(listed)+spare {
		return
	}
	for addr := range t.known {
		if listed[addr] == nil {
			delete(t.known, addr)
		}
	}
}
