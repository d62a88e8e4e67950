package controlplane

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// delayProbeInterval is the time that a process sleeps in each measurement of its scheduling delay.
const delayProbeInterval = 20 * time.Millisecond

// schedulingDelay is how long a process waited for a processor: its own of GOMAXPROCS, or one of
// the machine's, which others use too. A measured time of that length may be such a wait.
type schedulingDelay struct {
	mu      sync.Mutex
	longest time.Duration
}

// watch measures until the context ends.
func (d *schedulingDelay) measure(ctx context.Context) {
	for {
		sleepStart := time.Now()
		if sleep(ctx, delayProbeInterval) != nil {
			return
		}
		d.mu.Lock()
		d.longest = max(d.longest, time.Since(sleepStart)-delayProbeInterval)
		d.mu.Unlock()
	}
}

// takeMs returns the longest wait since the last call, in milliseconds.
func (d *schedulingDelay) takeLongestMs() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := d.longest
	d.longest = 0
	return float64(longest) / float64(time.Millisecond)
}

// usage holds the resources that a process has used.
type usage struct {
	CPUMs     float64 `json:"cpu_ms"` // user and system, since its start
	RSS       float64 `json:"rss"`    // bytes, now
	Heap      float64 `json:"heap"`   // bytes in use by Go, exact after a garbage collection
	Allocated float64 `json:"allocated"`
}

// measureUsage reads this process's usage, after a garbage collection if collect is set.
func measureUsage(collect bool) (u usage, err error) {
	if collect {
		runtime.GC()
	}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return u, fmt.Errorf("usage: %w", err)
	}
	u.CPUMs = float64(r.Utime.Nano()+r.Stime.Nano()) / 1e6
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return u, fmt.Errorf("usage: %w", err)
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return u, errors.New("usage: statm: no resident pages")
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return u, fmt.Errorf("usage: %w", err)
	}
	u.RSS = pages * float64(os.Getpagesize())
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap, u.Allocated = float64(m.HeapAlloc), float64(m.TotalAlloc)
	return u, nil
}
