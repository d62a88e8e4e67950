package agent

import (
	"testing"
	"time"

	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
)

// The quickest notice of a start gives the distance of the servers' clock from the agent's, whatever
// the agent's reads; by it later notices are known to be late, up to the tolerance.
func TestQuickestNoticeMeasuresTheClocks(t *testing.T) {
	for _, step := range wallSteps {
		f := newWatchedFleet(t)
		f.machine.off = step
		f.boot()
		f.hear(true, f.hosts...)
		tolerance := config.Milliseconds(f.loop.startTimes.tolerance).Truncate(time.Millisecond)
		if tolerance != 1714*time.Millisecond { // of the settings of config: from 0.3 in 8 s
			t.Fatalf("the tolerance is %v", tolerance)
		}
		for _, c := range []struct {
			name       string
			late, want time.Duration
		}{
			{"s-0", 700 * time.Millisecond, 0},
			{"s-1", 200 * time.Millisecond, 0},
			{"s-2", 900 * time.Millisecond, 700 * time.Millisecond},
			{"s-3", 200*time.Millisecond + tolerance, tolerance},
			{"s-4", 300*time.Millisecond + tolerance, 0}, // a clock disagrees, or it was very late
			{"s-5", 100 * time.Millisecond, 0},
		} {
			f.hear(false, f.born(c.name, c.late))
			age := config.Milliseconds(f.loop.nowMs() - f.loop.startTimes.known[endpointlist.AddressOf(c.name)].sinceMs).Round(time.Millisecond)
			if age != c.want {
				t.Errorf("clock off by %v: %s, noticed after %v, counts as %v old, want %v", step, c.name, c.late, age, c.want)
			}
			f.hold(time.Second)
		}
		f.hold(20 * time.Second)
	}
}

// A server whose clock was stepped back looks older by the step as long as that is within the
// tolerance, and by nothing if it is not.
func TestStepsOfAServersClockAreBounded(t *testing.T) {
	for _, back := range []time.Duration{500 * time.Millisecond, 1714 * time.Millisecond, 1715 * time.Millisecond, time.Minute, time.Hour} {
		f := newWatchedFleet(t)
		f.boot()
		f.hear(true, f.hosts...)
		f.hear(false, f.born("s-0", 0))
		f.machine.pass(time.Second)
		stepped := f.born("s-1", 0)
		stepped.BornMs -= float64(back.Milliseconds())
		f.hear(false, stepped)
		age := config.Milliseconds(f.loop.nowMs() - f.loop.startTimes.known[endpointlist.AddressOf("s-1")].sinceMs).Round(time.Millisecond)
		want := back
		if back > config.Milliseconds(f.loop.startTimes.tolerance) {
			want = 0
		}
		if age != want {
			t.Errorf("clock back by %v: counts as %v old at its start, want %v", back, age, want)
		}
	}
}
