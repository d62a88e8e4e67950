package agent

import (
	"math"

	"molepaddle/policy"
)

// maxClockDistance is how far apart, in ms, the wall clocks of two machines are taken to be: each may
// be stepped by as much as an hour, in opposite directions, and by some seconds besides.
const maxClockDistance = 2*3600e3 + 60e3

// startTimes translates when a backend started, its born_ms, into the module's clock. Slow start is
// a span of real time, and born_ms is a reading of a wall clock, as is what the module's clock
// began with: after a step of either, their difference says nothing of a backend's age. So an age
// is never taken from that difference alone. What is known:
//
//   - A backend has started before the agent hears of it. With its start taken for the moment of
//     the first notice it counts as colder than it is, never as warmer, and it is warm at the
//     latest the contract's cold time after the notice. This is the rule where nothing else holds.
//   - While a watch is open the notice comes soon after the start, so little is lost by the rule.
//   - After a time without a watch the first list may name starts of all that time. The newest of
//     them counts from the notice, and the others as much before it as their born_ms are apart, as
//     long as that fits into the time without a watch; else the clocks that they were read from
//     disagree, and the rule holds.
//   - The first lists of a process (that of the configuration, and discovery's first) name all
//     backends, most of which have run for long. Nothing in them tells a wall clock that is a minute
//     ahead from a newest start that is a minute past: discovery is on the agent's own machine, so
//     the Date of its answer would come from the same wall clock, and rounded to a second. So
//     again the newest start counts from the notice and the others as much before it as they are
//     apart. A born_ms that is in the future of the own clock proves that the clocks disagree: it
//     is a start of the notice, and no measure for others.
//   - Of an age by the own clock as much is true as is over maxClockDistance.
//
// The cost is that an agent that starts less than two hours after the newest start of a backend
// counts it, and those that started shortly before it, as cold for at most the cold time.
//
// What it cannot tell: in a first list, a backend on a machine whose wall clock was stepped back
// looks older than it is by the step.
//
// What was translated stays: a backend that is listed again with the born_ms of before has not
// started since.
type startTimes struct {
	known   map[policy.Addr]startTime
	first   bool    // no list of discovery was translated yet
	current float64 // until when the list was known to be complete; 0: a watch keeps it so
}

// startTime is one start of a backend.
type startTime struct {
	bornMs  float64 // by the list
	sinceMs float64 // by the module's clock
}

func newStartTimes() *startTimes {
	return &startTimes{known: map[policy.Addr]startTime{}, first: true}
}

// unwatched notes that from now on no watch tells of starts, and that the last one may have told
// nothing for the time silence.
func (t *startTimes) unwatched(now, silence float64) {
	if t.current == 0 {
		t.current = now - silence
	}
}

// watched notes that a watch has told all that there is, and tells what follows.
func (t *startTimes) watched() { t.first, t.current = false, 0 }

// fetched notes that all that there is was told just now.
func (t *startTimes) fetched(now float64) {
	t.first = false
	if t.current != 0 {
		t.current = now
	}
}

// translate sets the starts of a list's entries, which hold born_ms, to the module's clock.
func (t *startTimes) translate(entries []policy.Entry, now float64) {
	newest := 0.0
	for i := range entries {
		born := entries[i].SinceMs
		if t.first && born > now || !t.first && t.known[entries[i].Server].bornMs == born {
			continue
		}
		newest = max(newest, born)
	}
	for i := range entries {
		e := &entries[i]
		if !(e.SinceMs > 0) { // long ago; a start that is known stays so
			e.SinceMs = 0
			continue
		}
		old, again := t.known[e.Server]
		if !again || old.bornMs != e.SinceMs {
			since := t.noticed(e.SinceMs, newest, now)
			if again { // the module takes only a later start for another process
				since = max(since, math.Nextafter(old.sinceMs, math.Inf(1)))
			} else {
				since = min(since, e.SinceMs+maxClockDistance)
			}
			old = startTime{bornMs: e.SinceMs, sinceMs: since}
			t.known[e.Server] = old
		}
		e.SinceMs = old.sinceMs
	}
}

// noticed is the start, by the module's clock, of a backend whose start is noticed now, in a list
// of which the newest born_ms is given. It is never after now.
func (t *startTimes) noticed(born, newest, now float64) float64 {
	before := max(newest-born, 0) // the newest start
	switch {
	case t.first:
		return now - before
	case t.current != 0 && before <= now-t.current:
		return now - before
	}
	return now
}

// forget drops what is not listed once it is more than what is, so that names that never come
// again don't add up.
func (t *startTimes) forget(listed map[policy.Addr]*backend) {
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
