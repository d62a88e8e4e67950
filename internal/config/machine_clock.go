package config

import "time"

// MachineClock reads the two clocks of a machine. The wall clock may be stepped in either direction;
// the monotonic clock never is. All methods are safe for concurrent use.
type MachineClock interface {
	Wall() time.Time
	Monotonic() time.Duration // since an arbitrary fixed moment
}

// systemClock is the MachineClock of this machine.
type systemClock struct{ start time.Time }

// SystemClock returns the clock of this machine. Its monotonic time starts at 0 now.
func SystemClock() MachineClock { return systemClock{time.Now()} }

func (systemClock) Wall() time.Time            { return time.Now() }
func (s systemClock) Monotonic() time.Duration { return time.Since(s.start) }
