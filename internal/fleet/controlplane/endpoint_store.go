package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"ploverreel/internal/endpointlist"
)

// errSilent is the error of a store that is silent. A silent store returns no lists.
var errSilent = errors.New("list: silent")

// maxEncodedLists is the maximum number of encoded lists that a store caches. A cached list is
// reused for later readers with the same scope and version.
const maxEncodedLists = 1024

// endpointStore holds a versioned endpoint list. The bench has one as the source of truth, and each
// stand-in has a copy. A server whose health is "gone" stays in the store, because later updates
// have to name it. The methods may be called from any goroutine.
type endpointStore struct {
	mu        sync.Mutex
	seq       int64    // current version
	firstSeq  int64    // version of the last whole list; changes since older versions are unknown
	hostNames []string // in the order in which they were added
	hosts     map[string]*storedHost
	scopeOf   func(host string) int     // returns the scope of a server; nil: all servers have one scope
	encoded   map[encodedListKey][]byte // cached lists that lead to the current version, as JSON
	changed   chan struct{}             // closed and replaced when seq or silent changes
	silent    bool
	updatedAt time.Time // time of the last update from the source of truth
}

// storedHost is a server of the store.
type storedHost struct {
	endpointlist.Host
	seq int64 // version in which it last changed
}

// encodedListKey identifies an encoded list by its scope and the version that the reader has.
type encodedListKey struct {
	scope int
	since int64
}

// newEndpointStore returns an empty store. scopeOf returns the scope of a server; with nil all
// servers have the same scope.
func newEndpointStore(scopeOf func(string) int) *endpointStore {
	return &endpointStore{hosts: map[string]*storedHost{}, scopeOf: scopeOf, encoded: map[encodedListKey][]byte{},
		changed: make(chan struct{}), updatedAt: time.Now()}
}

// apply stores a whole list or an update, and notifies the readers.
func (s *endpointStore) apply(l *endpointlist.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updatedAt, s.seq = time.Now(), l.Seq
	if l.Whole {
		s.firstSeq = l.Seq
		s.hostNames, s.hosts = nil, map[string]*storedHost{}
	}
	for _, h := range l.Hosts {
		entry := s.hosts[h.Host]
		if entry == nil {
			entry = &storedHost{}
			s.hosts[h.Host] = entry
			s.hostNames = append(s.hostNames, h.Host)
		}
		entry.Host, entry.seq = h, l.Seq
	}
	clear(s.encoded)
	s.notifyReaders()
}

// setSilent makes the store return no lists, or return them again, and notifies the readers.
func (s *endpointStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.notifyReaders()
}

// notifyReaders closes the channel that readers wait on. The caller holds the mutex.
func (s *endpointStore) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// age returns the time since the last update from the source of truth.
func (s *endpointStore) age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.updatedAt)
}

// state returns the current version, whether the store is silent, and a channel that is closed when
// either changes.
func (s *endpointStore) state() (seq int64, silent bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seq, s.silent, s.changed
}

// encodedList returns one line of JSON with the changes of a scope since a version, and the version
// that the line leads to. If the store does not know the changes since that version, the line has
// the whole list, without servers that are gone. While the store is silent the error is errSilent.
func (s *endpointStore) encodedList(scope int, since int64) ([]byte, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return nil, since, errSilent
	}
	whole := since < s.firstSeq || since > s.seq
	if whole {
		since = 0
	}
	key := encodedListKey{scope, since}
	if encoded := s.encoded[key]; encoded != nil {
		return encoded, s.seq, nil
	}
	l := endpointlist.List{Seq: s.seq, Whole: whole, Hosts: []endpointlist.Host{}}
	for _, name := range s.hostNames {
		entry := s.hosts[name]
		inScope := s.scopeOf == nil || s.scopeOf(name) == scope
		if inScope && entry.seq > since && !(whole && entry.Health == "gone") {
			l.Hosts = append(l.Hosts, entry.Host)
		}
	}
	encoded, err := json.Marshal(l)
	if err != nil {
		return nil, 0, fmt.Errorf("list: %w", err)
	}
	encoded = append(encoded, '\n')
	if len(s.encoded) >= maxEncodedLists {
		clear(s.encoded)
	}
	s.encoded[key] = encoded
	return encoded, s.seq, nil
}
