package agent

import (
	"testing"
	"time"
)

// The module's clock starts at the time of the wall clock and is monotonic afterwards.
func TestModuleClockIgnoresStepsWhileRunning(t *testing.T) {
	machine := &fakeMachine{trueTime: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), uptime: time.Minute}
	clock := newModuleClock(machine)
	start := float64(machine.trueTime.UnixMilli())
	if got := clock.nowMs(); got != start {
		t.Errorf("at the start: got %v, want the wall clock's time %v", got, start)
	}
	machine.step = time.Hour
	if got := clock.nowMs(); got != start {
		t.Errorf("after a step of the wall clock: got %v, want %v", got, start)
	}
	machine.advance(1500 * time.Millisecond)
	if got, want := clock.nowMs(), start+1500; got != want {
		t.Errorf("after 1.5 s: got %v, want %v", got, want)
	}
}
