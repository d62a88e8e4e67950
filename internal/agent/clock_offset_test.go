package agent

import (
	"fmt"
	"testing"
	"time"

	"ploverreel/internal/config"
)

// The fastest notification of a start determines the offset between the backends' clock and the
// agent's, whatever the agent's clock reads. The delay of later notifications is then known, up to
// the tolerance.
func TestStartTimesEstimateOffsetFromFastestNotification(t *testing.T) {
	for _, step := range clockSteps {
		t.Run(fmt.Sprint("clock off by ", step), func(t *testing.T) {
			f := startWatchedFleet(t, step)
			tolerance := config.Milliseconds(f.loop.startTimes.toleranceMs).Truncate(time.Millisecond)
			if want := 1714 * time.Millisecond; tolerance != want { // by the settings: a slow start of 8 s from a capacity of 0.3
				t.Fatalf("got a tolerance of %v, want %v", tolerance, want)
			}
			for _, c := range []struct {
				name        string
				delay, want time.Duration
			}{
				{"s-0", 700 * time.Millisecond, 0},
				{"s-1", 200 * time.Millisecond, 0},
				{"s-2", 900 * time.Millisecond, 700 * time.Millisecond},
				{"s-3", 200*time.Millisecond + tolerance, tolerance},
				{"s-4", 300*time.Millisecond + tolerance, 0}, // a clock was stepped, or the notification was very slow
				{"s-5", 100 * time.Millisecond, 0},
			} {
				f.deliver(false, f.startBackend(c.name, c.delay))
				if got, _ := f.estimatedAge(c.name); got.Round(time.Millisecond) != c.want {
					t.Errorf("%s, notification after %v: got age %v, want %v", c.name, c.delay, got, c.want)
				}
				f.advanceChecked(time.Second)
			}
			f.advanceChecked(20 * time.Second)
		})
	}
}

// A backend whose clock was stepped back appears older by the size of the step if that is within
// the tolerance, and not older otherwise.
func TestStartTimesBoundStepOfBackendClock(t *testing.T) {
	for _, back := range []time.Duration{500 * time.Millisecond, 1714 * time.Millisecond, 1715 * time.Millisecond, time.Minute, time.Hour} {
		t.Run(fmt.Sprint("back by ", back), func(t *testing.T) {
			f := startWatchedFleet(t, 0)
			f.deliver(false, f.startBackend("s-0", 0))
			f.machine.advance(time.Second)
			stepped := f.startBackend("s-1", 0)
			stepped.BornMs -= float64(back.Milliseconds())
			f.deliver(false, stepped)
			want := back
			if back > config.Milliseconds(f.loop.startTimes.toleranceMs) {
				want = 0
			}
			if got, _ := f.estimatedAge("s-1"); got.Round(time.Millisecond) != want {
				t.Errorf("got age %v at the start, want %v", got, want)
			}
		})
	}
}
