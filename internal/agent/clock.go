package agent

import (
	"time"

	"ploverreel/internal/config"
)

// minClockStartMs is the lower bound of the time at which the module's clock starts, in ms since
// 1970: one day. A wall clock may read 1970 or earlier, but to the module a time of 0 or less means
// "long ago" or "never".
const minClockStartMs = 24 * 3600e3

// moduleClock is the clock of the decision module, in ms. It starts at the Unix time that the wall
// clock reads when the process starts, and is monotonic afterwards. Later steps of the wall clock
// don't change it. An error of the wall clock at the start remains as a constant offset.
type moduleClock struct {
	machine   config.MachineClock
	startedAt time.Duration // reading of the monotonic clock at the start
	startMs   float64       // the module's time at the start
}

// newModuleClock returns a module's clock that reads the given machine clock, or the system's if it
// is nil.
func newModuleClock(machine config.MachineClock) moduleClock {
	if machine == nil {
		machine = config.SystemClock()
	}
	startMs := float64(machine.Wall().UnixMicro()) / 1000
	return moduleClock{machine: machine, startedAt: machine.Monotonic(), startMs: max(startMs, minClockStartMs)}
}

// nowMs returns the module's time, in ms.
func (c *moduleClock) nowMs() float64 {
	return c.startMs + float64(c.machine.Monotonic()-c.startedAt)/float64(time.Millisecond)
}

// nowMs returns the module's time, in ms.
func (l *loop) nowMs() float64 { return l.clock.nowMs() }
