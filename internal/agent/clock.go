package agent

import (
	"time"

	"ploverreel/internal/config"
)

// leastStartMs is the least that the module's clock starts at, in ms: a time of 0 or below means
// "long past" or "never" to the module, and a wall clock may stand at 1970 or before.
const leastStartMs = 24 * 3600e3

// moduleClock is the module's clock, in ms: the Unix time by the wall clock at the start of the
// process, and from then on monotonic. Steps of the wall clock while the process runs don't show;
// what the wall clock was off at the start stays in it as a constant.
type moduleClock struct {
	machine config.MachineClock
	began   time.Duration // monotonic time at the start
	startMs float64       // the module's time then
}

// newModuleClock starts a module's clock by a machine's clock; nil: that of this machine.
func newModuleClock(machine config.MachineClock) moduleClock {
	if machine == nil {
		machine = config.SystemClock()
	}
	startMs := float64(machine.Wall().UnixMicro()) / 1000
	return moduleClock{machine: machine, began: machine.Monotonic(), startMs: max(startMs, leastStartMs)}
}

// now is the module's time, in ms.
func (c *moduleClock) now() float64 {
	return c.startMs + float64(c.machine.Monotonic()-c.began)/float64(time.Millisecond)
}

// nowMs is the module's time, in ms.
func (l *loop) nowMs() float64 { return l.clock.now() }
