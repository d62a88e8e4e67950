package agent

import (
	"hash/maphash"
	"time"
)

// maxIDsPerGeneration bounds the number of ids in one generation. The generation is full after 205 s
// at 320 forwarded requests a second, after 51 s at 1,280, and after 6.6 s at 10,000.
const maxIDsPerGeneration = 1 << 16

// seenIDs stores the ids of requests that are open, and of recent ones that may have run. Ids are
// unique, so a request whose id is stored is a copy of the earlier request or an error of another
// client. If it were forwarded, the request could run twice without a decision of the module.
//
// The id of an open request is stored until the request ends, however many others come: the number
// of open requests is bounded. The id of an ended request that may have run is stored for the
// retention, in two generations. A generation ends after the retention, or earlier if it is full. A
// client whose requests run at a high rate therefore shortens the time for which ended requests are
// known, but doesn't exhaust the agent's memory. The id of a request that never ran is forgotten at
// its end, so that requests which are only rejected displace no other id.
//
// A seenIDs belongs to the loop.
type seenIDs struct {
	retention         time.Duration // minimum time for which the id of an ended request is stored, unless a generation was full
	open              map[string]struct{}
	seed              maphash.Seed
	current, previous map[uint64]struct{} // hashes of the ids of ended requests
	generationStart   time.Time
}

func newSeenIDs(retention time.Duration) *seenIDs {
	return &seenIDs{retention: retention, open: map[string]struct{}{}, seed: maphash.MakeSeed(), current: map[uint64]struct{}{}}
}

// extendRetention sets the retention, unless it is already longer.
func (s *seenIDs) extendRetention(retention time.Duration) { s.retention = max(s.retention, retention) }

// begin stores the id of a request that arrives at the time now, and reports whether the id is new.
// If it is, end must be called when the request ends.
func (s *seenIDs) begin(id string, now time.Time) bool {
	s.rotate(now)
	if _, open := s.open[id]; open || s.isEnded(id) {
		return false
	}
	s.open[id] = struct{}{}
	return true
}

// end records that an open request ends at the time now, and whether it may have run.
func (s *seenIDs) end(id string, mayHaveRun bool, now time.Time) {
	delete(s.open, id)
	if !mayHaveRun {
		return
	}
	s.rotate(now)
	s.current[maphash.String(s.seed, id)] = struct{}{}
}

// rotate starts another generation if the current one has lasted for the retention or is full.
func (s *seenIDs) rotate(now time.Time) {
	if now.Sub(s.generationStart) >= s.retention || len(s.current) >= maxIDsPerGeneration {
		s.previous, s.current, s.generationStart = s.current, map[uint64]struct{}{}, now
	}
}

// isEnded reports whether the id of an ended request is stored.
func (s *seenIDs) isEnded(id string) bool {
	hash := maphash.String(s.seed, id)
	_, inCurrent := s.current[hash]
	_, inPrevious := s.previous[hash]
	return inCurrent || inPrevious
}
