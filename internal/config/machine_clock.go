package config

import "time"

// MachineClock is the two clocks of a machine. The wall clock may be stepped, in either direction;
// the monotonic clock runs on. Its methods may be called from any goroutine.
type MachineClock interface {
	Wall() time.Time
	Monotonic() time.Duration // since any fixed moment
}

// systemClock is the MachineClock of this machine.
type systemClock struct{ began time.Time }

// SystemClock returns the clock of this machine, whose monotonic time begins now.
func SystemClock() MachineClock { return systemClock{time.Now()} }

func (systemClock) Wall() time.Time            { return time.Now() }
func (s systemClock) Monotonic() time.Duration { return time.Since(s.began) }
