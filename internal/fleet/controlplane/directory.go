package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"ploverreel/internal/endpointlist"
)

// errSilent is the error of a directory that serves nothing now.
var errSilent = errors.New("list: silent")

// maxEncodedLists is the maximum number of encoded lists that a directory caches. A cached list is
// reused for later readers with the same scope and version.
const maxEncodedLists = 1024

// directory is a versioned endpoint list: the bench's, which is the source of truth, or a stand-in's copy of it.
// Servers that are gone stay in it, as changes have to name them. Its methods may be called by any goroutine.
type directory struct {
	mu         sync.Mutex
	seq        int64
	first      int64    // the version that it began with: it has no changes since an older one
	names      []string // in the order in which they came
	hosts      map[string]*versionedHost
	scope      func(host string) int // the scope that a server belongs to; nil: there is one
	texts      map[textKey][]byte    // lists of the current version as JSON
	changed    chan struct{}         // closed at the next change of version or of silence
	silent     bool
	lastUpdate time.Time // when the source last sent an update
}

type versionedHost struct {
	endpointlist.Host
	seq int64 // of its last change
}

// textKey identifies an encoded list: a scope, and the version that the reader has.
type textKey struct {
	scope int
	since int64
}

// newDirectory returns an empty directory; scope may be nil.
func newDirectory(scope func(string) int) *directory {
	return &directory{hosts: map[string]*versionedHost{}, scope: scope, texts: map[textKey][]byte{},
		changed: make(chan struct{}), lastUpdate: time.Now()}
}

// take applies a list, whole or a change, and wakes the readers.
func (d *directory) take(l *endpointlist.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastUpdate, d.seq = time.Now(), l.Seq
	if l.Whole {
		d.first = l.Seq
		d.names, d.hosts = nil, map[string]*versionedHost{}
	}
	for _, h := range l.Hosts {
		v := d.hosts[h.Host]
		if v == nil {
			v = &versionedHost{}
			d.hosts[h.Host] = v
			d.names = append(d.names, h.Host)
		}
		v.Host, v.seq = h, l.Seq
	}
	clear(d.texts)
	d.wake()
}

// setSilent makes the directory serve nothing, or go on.
func (d *directory) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	d.wake()
}

// wake ends the waits for a change. The caller holds the mutex.
func (d *directory) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// age returns how long ago the source last sent an update.
func (d *directory) age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.lastUpdate)
}

// state returns the version, whether the directory is silent, and a channel that is closed when either changes.
func (d *directory) state() (seq int64, silent bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seq, d.silent, d.changed
}

// text returns the line with a scope's changes after a version, and the version that it leads to. After a version
// that the directory never had it is the whole list. The error is errSilent while the directory is silent.
func (d *directory) text(scope int, since int64) ([]byte, int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silent {
		return nil, since, errSilent
	}
	whole := since < d.first || since > d.seq
	if whole {
		since = 0
	}
	at := textKey{scope, since}
	if text := d.texts[at]; text != nil {
		return text, d.seq, nil
	}
	l := endpointlist.List{Seq: d.seq, Whole: whole, Hosts: []endpointlist.Host{}}
	for _, name := range d.names {
		v := d.hosts[name]
		mine := d.scope == nil || d.scope(name) == scope
		if mine && v.seq > since && !(whole && v.Health == "gone") {
			l.Hosts = append(l.Hosts, v.Host)
		}
	}
	text, err := json.Marshal(l)
	if err != nil {
		return nil, 0, fmt.Errorf("list: %w", err)
	}
	text = append(text, '\n')
	if len(d.texts) >= maxEncodedLists {
		clear(d.texts)
	}
	d.texts[at] = text
	return text, d.seq, nil
}
