package agent

import (
	"hash/maphash"
	"time"
)

// maxIDsPerSet bounds the ids of one generation. At usual request rates it is reached after some minutes.
const maxIDsPerSet = 1 << 16

// seenIDs remembers the ids of recent requests, in two generations. Each id comes once, so one that is
// remembered belongs to a copy, or is another client's mistake: forwarded while the first request is
// open, it would be a second attempt that the module has not decided.
//
// A generation also ends when it is full: a client that sends ids at full speed shortens how long they
// are remembered, and doesn't use up the agent's memory. A seenIDs belongs to the loop.
type seenIDs struct {
	retention         time.Duration // how long an id is remembered at least, unless a generation was full
	seed              maphash.Seed
	current, previous map[uint64]struct{} // hashes of ids
	generationStart   time.Time
}

func newSeenIDs(retention time.Duration) *seenIDs {
	return &seenIDs{retention: retention, seed: maphash.MakeSeed(), current: map[uint64]struct{}{}}
}

// extendRetention has ids remembered for a time, or for longer if they already were.
func (s *seenIDs) extendRetention(retention time.Duration) { s.retention = max(s.retention, retention) }

// add remembers an id that comes at the time given, and reports whether it is new.
func (s *seenIDs) add(id string, now time.Time) bool {
	if now.Sub(s.generationStart) >= s.retention || len(s.current) >= maxIDsPerSet {
		s.previous, s.current, s.generationStart = s.current, map[uint64]struct{}{}, now
	}
	hash := maphash.String(s.seed, id)
	if _, known := s.current[hash]; known {
		return false
	}
	if _, known := s.previous[hash]; known {
		return false
	}
	s.current[hash] = struct{}{}
	return true
}
