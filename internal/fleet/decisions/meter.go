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
	newRequest     eventKind = iota
	outcomeArrived           // of an attempt or a health check
	timerFired
	listDelta // a change of one entry of the list
	wholeList
	eventKindCount
)

// meter measures what events cost the balancer: processor time of this thread, which other
// processes don't lengthen, or bytes allocated.
type meter struct {
	mode        meterMode
	clockReadNs float64 // what reading the clock takes, not counted
	perKind     [eventKindCount]struct{ events, ns, bytes float64 }
	workBefore  uint64
}

// meterMode says which quantity a meter measures.
type meterMode uint8

const (
	measureNothing meterMode = iota
	measureTime
	measureBytesAllocated // of bytes; too slow for times
)

// handle passes the event to the balancer and measures its cost.
func (m *meter) handle(b *policy.Balancer, now float64, kind eventKind, event policy.Event,
	out []policy.Action) []policy.Action {
	k := &m.perKind[kind]
	k.events++
	switch m.mode {
	case measureTime:
		before := threadCPUNs()
		out = b.Handle(now, event, out)
		k.ns += max(float64(threadCPUNs()-before)-m.clockReadNs, 0)
	case measureBytesAllocated:
		before := allocatedBytes()
		out = b.Handle(now, event, out)
		k.bytes += float64(allocatedBytes() - before)
	default:
		out = b.Handle(now, event, out)
	}
	return out
}

// reset empties the meter, which measures from here on.
func (m *meter) reset(mode meterMode, clockReadNs float64, b *policy.Balancer) {
	*m = meter{mode: mode, clockReadNs: clockReadNs, workBefore: b.Work()}
}

// meanUs returns the mean processor time of an event of the kind.
func (m *meter) meanUs(kind eventKind) float64 {
	k := m.perKind[kind]
	return k.ns / 1000 / max(k.events, 1)
}

// meanBytes returns the mean number of bytes that an event of the kind allocates.
func (m *meter) meanBytes(kind eventKind) float64 {
	k := m.perKind[kind]
	return k.bytes / max(k.events, 1)
}

// threadCPUNs returns the processor time of the thread. The caller has locked its goroutine to it.
func threadCPUNs() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(fmt.Sprintf("decide: the thread's clock: %v", err)) // checked by measureClockReadNs
	}
	return t.Nano()
}

// measureClockReadNs returns how long the clock takes to read, in ns: the median of many. Its error is that the clock can't be
// read.
func measureClockReadNs() (float64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0, fmt.Errorf("decide: the thread's clock of processor time: %w", err)
	}
	costs := make([]float64, 1001)
	for i := range costs {
		before := threadCPUNs()
		costs[i] = float64(threadCPUNs() - before)
	}
	return median(costs), nil
}

// allocatedBytes returns how many bytes the program has allocated so far.
func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// heapBytesInUse returns how many bytes are in use after a collection.
func heapBytesInUse() float64 {
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
