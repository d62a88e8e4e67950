package decisions

import (
	"fmt"
	"runtime"
	"slices"

	"golang.org/x/sys/unix"

	"ploverreel/policy"
)

// eventKind is a kind of events whose cost is measured together.
type eventKind uint8

const (
	newRequest eventKind = iota
	outcome              // of an attempt or a health check
	timerFired
	delta // a change of one entry of the list
	wholeList
	eventKinds
)

// meter measures what events cost the balancer: processor time of this thread, which other
// processes don't lengthen, or bytes allocated.
type meter struct {
	mode       meterMode
	readNs     float64 // what reading the clock takes, not counted
	perKind    [eventKinds]struct{ events, ns, bytes float64 }
	workBefore uint64
}

// meterMode says which quantity a meter measures.
type meterMode uint8

const (
	off meterMode = iota
	timing
	counting // of bytes; too slow for times
)

// handle passes the event to the balancer and measures its cost.
func (m *meter) handle(b *policy.Balancer, now float64, kind eventKind, event policy.Event,
	out []policy.Action) []policy.Action {
	k := &m.perKind[kind]
	k.events++
	switch m.mode {
	case timing:
		from := threadNs()
		out = b.Handle(now, event, out)
		k.ns += max(float64(threadNs()-from)-m.readNs, 0)
	case counting:
		from := allocated()
		out = b.Handle(now, event, out)
		k.bytes += float64(allocated() - from)
	default:
		out = b.Handle(now, event, out)
	}
	return out
}

// begin empties the meter, which measures from here on.
func (m *meter) begin(mode meterMode, readNs float64, b *policy.Balancer) {
	*m = meter{mode: mode, readNs: readNs, workBefore: b.Work()}
}

// us returns the mean processor time of an event of the kind.
func (m *meter) us(kind eventKind) float64 {
	k := m.perKind[kind]
	return k.ns / 1000 / max(k.events, 1)
}

// bytes returns the mean number of bytes that an event of the kind allocates.
func (m *meter) bytes(kind eventKind) float64 {
	k := m.perKind[kind]
	return k.bytes / max(k.events, 1)
}

// threadNs returns the processor time of the thread. The caller has locked its goroutine to it.
func threadNs() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(fmt.Sprintf("decide: the thread's clock: %v", err)) // checked by clockCost
	}
	return t.Nano()
}

// clockCost returns how long the clock takes to read, in ns: the median of many. Its error is that the clock can't be
// read.
func clockCost() (float64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0, fmt.Errorf("decide: the thread's clock of processor time: %w", err)
	}
	costs := make([]float64, 1001)
	for i := range costs {
		from := threadNs()
		costs[i] = float64(threadNs() - from)
	}
	return median(costs), nil
}

// allocated returns how many bytes the program has allocated so far.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// inUse returns how many bytes are in use after a collection.
func inUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// median returns the middle one of the values, 0 if there is none.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}
