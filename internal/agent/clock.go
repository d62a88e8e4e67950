package agent

import (
	"time"

	"ploverreel/internal/config"
)

// minStartMs is the least that the module's clock starts at, in ms. A time of 0 or below means "long
// past" or "never" to the module, and a wall clock may stand at 1970 or before.
const minStartMs = 24 * 3600e3

// moduleClock is the module's clock, in ms. It starts at the Unix time that the wall clock gives at the
// start of the process, and is monotonic from then on. Steps of the wall clock while the process runs
// don't change it; an error of the wall clock at the start stays in it as a constant.
type moduleClock struct {
	machine   config.MachineClock
	startedAt time.Duration // monotonic time at the start
	startMs   float64       // the module's time then
}

// newModuleClock starts a module's clock by a machine's clock, or by that of this machine if it is nil.
func newModuleClock(machine config.MachineClock) moduleClock {
	if machine == nil {
		machine = config.SystemClock()
	}
	startMs := float64(machine.Wall().UnixMicro()) / 1000
	return moduleClock{machine: machine, startedAt: machine.Monotonic(), startMs: max(startMs, minStartMs)}
}

// now returns the module's time, in ms.
func (c *moduleClock) now() float64 {
	return c.startMs + float64(c.machine.Monotonic()-c.startedAt)/float64(time.Millisecond)
}

// nowMs returns the module's time, in ms.
func (l *loop) nowMs() float64 { return l.clock.now() }
