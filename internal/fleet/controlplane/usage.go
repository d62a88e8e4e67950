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

// schedulingDelay measures how long a process waited for a processor. The processor may be one of
// those that its GOMAXPROCS allows, or one of the machine, which other processes use too. A time of
// the bench that is about as long as this delay may be due to such a wait.
type schedulingDelay struct {
	mu      sync.Mutex
	longest time.Duration
}

// measure updates the longest wait until the context is done.
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

// takeLongestMs returns the longest wait in milliseconds since the last takeLongestMs, and resets
// it.
func (d *schedulingDelay) takeLongestMs() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := d.longest
	d.longest = 0
	return float64(longest) / float64(time.Millisecond)
}

// usage has the resources that a process uses.
type usage struct {
	CPUMs     float64 `json:"cpu_ms"`    // user and system time since the start of the process
	RSS       float64 `json:"rss"`       // resident bytes at present
	Heap      float64 `json:"heap"`      // heap bytes of Go; without garbage only after a collection
	Allocated float64 `json:"allocated"` // heap bytes allocated since the start of the process
}

// measureUsage returns the usage of this process. If collectGarbage is set, it collects the garbage
// first.
func measureUsage(collectGarbage bool) (u usage, err error) {
	if collectGarbage {
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
