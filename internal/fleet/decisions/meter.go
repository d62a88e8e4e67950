package decisions

import (
	"fmt"
	"runtime"
	"slices"

	"golang.org/x/sys/unix"

	"ploverreel/policy"
)

// eventKind is a group of events whose cost is measured together.
type eventKind uint8

const (
	newRequest     eventKind = iota
	outcomeArrived           // of an attempt or a health check
	timerFired
	listDelta // a change of one entry of the endpoint list
	wholeList // a whole endpoint list
	eventKindCount
)

// meter measures the cost of events in the balancer. The cost is the processor time of the thread,
// which other processes do not lengthen, or the number of bytes allocated.
type meter struct {
	mode        meterMode
	clockReadNs float64 // processor time of reading the clock, which is subtracted
	perKind     [eventKindCount]struct{ events, ns, bytes float64 }
	workBefore  uint64 // the balancer's work at the last reset
}

// meterMode is the quantity that a meter measures.
type meterMode uint8

const (
	measureNothing meterMode = iota
	measureTime
	measureBytesAllocated // reading the number of bytes is too slow to measure times as well
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

// reset clears the meter and sets its mode.
func (m *meter) reset(mode meterMode, clockReadNs float64, b *policy.Balancer) {
	*m = meter{mode: mode, clockReadNs: clockReadNs, workBefore: b.Work()}
}

// meanUs returns the mean processor time of an event of the kind, in us.
func (m *meter) meanUs(kind eventKind) float64 {
	k := m.perKind[kind]
	return k.ns / 1000 / max(k.events, 1)
}

// meanBytes returns the mean number of bytes that an event of the kind allocates.
func (m *meter) meanBytes(kind eventKind) float64 {
	k := m.perKind[kind]
	return k.bytes / max(k.events, 1)
}

// clockReadings is the number of readings of the clock that measureClockReadNs takes the median of.
const clockReadings = 1001

// threadCPUNs returns the processor time of the current thread, in ns. The caller must have locked
// its goroutine to the thread.
func threadCPUNs() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(fmt.Sprintf("decide: read the thread's processor time: %v", err)) // measureClockReadNs returns this error
	}
	return t.Nano()
}

// measureClockReadNs returns the processor time that reading the clock takes, in ns, as the median
// of many readings. It returns an error if the clock cannot be read.
func measureClockReadNs() (float64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0, fmt.Errorf("decide: read the thread's processor time: %w", err)
	}
	costs := make([]float64, clockReadings)
	for i := range costs {
		before := threadCPUNs()
		costs[i] = float64(threadCPUNs() - before)
	}
	return median(costs), nil
}

// allocatedBytes returns the number of bytes that the process has allocated so far.
func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// heapBytesInUse returns the number of heap bytes in use after a garbage collection.
func heapBytesInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// median returns the median of the values, or 0 if there are none. Of an even number it is the
// upper middle value.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}
