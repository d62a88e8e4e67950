package agent

import "time"

// machineClock is the two clocks of a machine. The wall clock may be stepped, in either direction;
// the monotonic clock runs on. Tests set their own.
type machineClock interface {
	wall() time.Time
	monotonic() time.Duration // since any fixed moment
}

// systemClock is the machineClock of this machine.
type systemClock struct{ began time.Time }

func (systemClock) wall() time.Time            { return time.Now() }
func (s systemClock) monotonic() time.Duration { return time.Since(s.began) }

// leastStartMs is the least that the module's clock starts at, in ms: a time of 0 or below means
// "long past" or "never" to the module, and a wall clock may stand at 1970 or before.
const leastStartMs = 24 * 3600e3

// moduleClock is the module's clock, in ms: the Unix time by the wall clock at the start of the
// process, and from then on monotonic. Steps of the wall clock while the process runs don't show;
// what the wall clock was off at the start stays in it as a constant.
type moduleClock struct {
	machine machineClock
	began   time.Duration // monotonic time at the start
	startMs float64       // the module's time then
}

// newModuleClock starts a module's clock by a machine's clock; nil: that of this machine.
func newModuleClock(machine machineClock) moduleClock {
	if machine == nil {
		machine = systemClock{time.Now()}
	}
	startMs := float64(machine.wall().UnixMicro()) / 1000
	return moduleClock{machine: machine, began: machine.monotonic(), startMs: max(startMs, leastStartMs)}
}

// now is the module's time, in ms.
func (c *moduleClock) now() float64 {
	return c.startMs + float64(c.machine.monotonic()-c.began)/float64(time.Millisecond)
}

// nowMs is the module's time, in ms.
func (l *loop) nowMs() float64 { return l.clock.now() }
