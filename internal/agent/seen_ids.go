package agent

import (
	"hash/maphash"
	"time"
)

// maxIDs is how many ids a generation holds: those of some minutes at the usual rates.
const maxIDs = 1 << 16

// seenIDs knows the ids of the requests that came of late, in two generations. Each id comes once, so
// one that is known is a copy, or another client's mistake: sent on while the first is open it would
// be a second attempt that the module has not decided.
//
// A generation also ends when it is full: a client that sends ids at full speed shortens the memory,
// and doesn't use up the agent's. A seenIDs belongs to the loop.
type seenIDs struct {
	keep            time.Duration // how long an id is known at the least, unless a generation was full
	seed            maphash.Seed
	now, before     map[uint64]struct{} // hashes of ids
	generationBegan time.Time
}

func newSeenIDs(keep time.Duration) *seenIDs {
	return &seenIDs{keep: keep, seed: maphash.MakeSeed(), now: map[uint64]struct{}{}}
}

// add notes an id that comes at the time given, and reports whether it is new.
func (s *seenIDs) add(id string, at time.Time) bool {
	if at.Sub(s.generationBegan) >= s.keep || len(s.now) >= maxIDs {
		s.before, s.now, s.generationBegan = s.now, map[uint64]struct{}{}, at
	}
	sum := maphash.String(s.seed, id)
	if _, known := s.now[sum]; known {
		return false
	}
	if _, known := s.before[sum]; known {
		return false
	}
	s.now[sum] = struct{}{}
	return true
}
