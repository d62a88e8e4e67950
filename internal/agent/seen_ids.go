package agent

import (
	"hash/maphash"
	"time"
)

// maxIDsPerGeneration bounds the number of ids in one generation. At usual request rates it is
// reached after some minutes.
const maxIDsPerGeneration = 1 << 16

// seenIDs stores the ids of recent requests, in two generations. Ids are unique, so a request whose
// id is stored is a copy of the earlier request or an error of another client. If it were forwarded
// while the earlier request is open, it would be a second attempt that the module didn't decide.
//
// A generation ends after the retention time, or earlier if it is full. A client that sends ids at a
// high rate therefore shortens the time for which they are stored, but doesn't exhaust the agent's
// memory. A seenIDs belongs to the loop.
type seenIDs struct {
	retention         time.Duration // minimum time for which an id is stored, unless a generation was full
	seed              maphash.Seed
	current, previous map[uint64]struct{} // hashes of ids
	generationStart   time.Time
}

func newSeenIDs(retention time.Duration) *seenIDs {
	return &seenIDs{retention: retention, seed: maphash.MakeSeed(), current: map[uint64]struct{}{}}
}

// extendRetention sets the retention, unless it is already longer.
func (s *seenIDs) extendRetention(retention time.Duration) { s.retention = max(s.retention, retention) }

// add stores an id that arrives at the time now, and reports whether the id is new.
func (s *seenIDs) add(id string, now time.Time) bool {
	if now.Sub(s.generationStart) >= s.retention || len(s.current) >= maxIDsPerGeneration {
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
