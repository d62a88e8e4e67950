package agent

import (
	"fmt"
	"io"
	"testing"
	"time"

	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// clockSteps are the steps of a wall clock that the tests play.
var clockSteps = []time.Duration{0, time.Second, -time.Second, time.Minute, -time.Minute, time.Hour, -time.Hour}

// The scenarios of a wall clock that is stepped.
var clockScenarios = []struct {
	name string
	play func(*watchedFleet, time.Duration)
}{
	{"off at the start", playClockOffAtStart},
	{"off at the start, empty list", playClockOffAtStartWithoutList},
	{"stepped while the agent runs", playClockSteppedWhileRunning},
	{"stepped across a restart of the agent", playClockSteppedAcrossRestart},
	{"backends' clock stepped", playBackendClockStepped},
}

func playClockOffAtStart(f *watchedFleet, step time.Duration) {
	f.machine.step = step
	f.startBackend("s-0", time.Second)
	f.startAgent()
	f.hold(3 * time.Second)
	f.notify(true, append(f.hosts, f.startBackend("s-1", time.Second))...)
	f.hold(3 * time.Second)
	f.notify(false, f.startBackend("s-2", time.Second/4))
	f.hold(20 * time.Second)
}

func playClockOffAtStartWithoutList(f *watchedFleet, step time.Duration) {
	f.machine.step = step
	hosts := f.hosts
	f.hosts = nil
	f.startAgent()
	f.hosts = hosts
	f.startBackend("s-0", time.Second)
	f.startBackend("s-1", 5*time.Second)
	f.notifyWhole()
	f.hold(20 * time.Second)
}

func playClockSteppedWhileRunning(f *watchedFleet, step time.Duration) {
	f.startAgent()
	f.notifyWhole()
	f.notify(false, f.startBackend("s-0", time.Second/2))
	f.hold(time.Second)
	f.machine.step = step
	f.hold(time.Second)
	f.notify(false, f.startBackend("s-1", 0))
	f.hold(time.Second)
	f.notify(false, f.startBackend("s-0", time.Second/4)) // a restart
	f.hold(20 * time.Second)
}

func playClockSteppedAcrossRestart(f *watchedFleet, step time.Duration) {
	f.startAgent()
	f.notify(false, f.startBackend("s-0", time.Second))
	f.hold(2 * time.Second)
	f.machine.step = step
	f.machine.pass(time.Second)
	f.startBackend("s-1", time.Second/2)
	f.startAgent()
	f.hold(time.Second)
	f.startBackend("s-0", time.Second/2)
	f.notifyWhole()
	f.hold(20 * time.Second)
}

func playBackendClockStepped(f *watchedFleet, step time.Duration) {
	f.startAgent()
	f.notify(false, f.startBackend("s-0", time.Second))
	f.hold(2 * time.Second)
	for _, name := range []string{"s-0", "s-1"} { // a restart and a new backend
		host := f.startBackend(name, time.Second/2)
		host.BornMs += float64(step.Milliseconds())
		f.notify(false, host)
		f.hold(time.Second)
	}
	f.hold(20 * time.Second)
}

// A wall clock that is off, or is stepped, ends no slow start early and prolongs none: it is a span
// of real time.
func TestSlowStartLastsInRealTime(t *testing.T) {
	for _, c := range clockScenarios {
		for _, step := range clockSteps {
			t.Run(fmt.Sprint(c.name, " by ", step), func(t *testing.T) { c.play(newWatchedFleet(t), step) })
		}
	}
}

// After a time without a watch, the first list has the starts of all that time. They count as far
// apart as their born_ms are, as long as that fits.
func TestStartTimesAfterTimeWithoutWatch(t *testing.T) {
	for _, step := range clockSteps {
		t.Run(fmt.Sprint("clock off by ", step), func(t *testing.T) {
			f := startWatchedFleet(t, step)
			f.machine.pass(time.Minute)
			f.loop.handle(watchEnded{err: io.EOF, endedAfterNotice: true})
			f.startBackend("s-0", 0)
			f.machine.pass(4 * time.Second)
			f.startBackend("s-1", 0)
			f.machine.pass(time.Second)
			stepped := f.startBackend("s-2", time.Second) // on a machine whose clock is an hour behind
			stepped.BornMs -= 3600e3
			f.notify(false, f.hosts[1], f.hosts[2], stepped)
			for name, want := range map[string]time.Duration{"s-0": 4 * time.Second, "s-1": 0, "s-2": 0} {
				if got, known := f.ageToAgent(name); got.Round(time.Millisecond) != want || !known {
					t.Errorf("got %s %v old, want %v", name, got, want)
				}
			}
			f.hold(20 * time.Second)
		})
	}
}

// Where no step can explain the age of the backends, an agent that starts takes them for warmed up;
// and so it does with a backend that is listed again as before.
func TestStartTimesOfLongRunningBackendsAreKept(t *testing.T) {
	f := newWatchedFleet(t)
	f.startBackend("s-0", config.Milliseconds(maxClockOffsetMs)+slowStartTime)
	f.startAgent()
	f.notifyWhole()
	if got := f.warmingUp(); got != 0 {
		t.Errorf("got %d backends warming up hours after their start, want 0", got)
	}
	late := f.startBackend("s-1", 0)
	f.notify(false, late)
	f.hold(10 * time.Second)
	for _, health := range []string{"draining", "gone", "ready"} {
		late.Health = health
		f.notify(false, late)
		if got := f.warmingUp(); got != 0 {
			t.Errorf("got %d backends warming up after one is listed as %s again, want 0", got, health)
		}
	}
}

// The start times that are remembered are bounded by the length of the list.
func TestStartTimesArePruned(t *testing.T) {
	f := newWatchedFleet(t)
	f.startAgent()
	for i := range 5000 {
		host := f.startBackend(fmt.Sprint("s-", i), 0)
		f.hosts = f.hosts[:1]
		f.notify(true, f.hosts[0], host)
	}
	if got := len(f.loop.startTimes.known); got > 1100 {
		t.Errorf("got %d start times remembered with two backends listed, want 1100 at most", got)
	}
}

// Whatever the wall clock reads, the module's clock never has a time that means "never" to the
// module, and no start is after its now.
func TestModuleClockWithWallClockBeforeEpoch(t *testing.T) {
	f := newWatchedFleet(t)
	f.machine.step = -100 * 365 * 24 * time.Hour
	f.startBackend("s-0", time.Second)
	f.startAgent()
	if got := f.loop.nowMs(); got < minClockStartMs {
		t.Fatalf("got the module's time %v, want %v at least", got, float64(minClockStartMs))
	}
	f.hold(20 * time.Second)
	entries := []policy.Entry{{Server: endpointlist.AddressOf("s-1"), StartedMs: 1e300}}
	f.loop.startTimes.toModuleClock(entries, f.loop.nowMs())
	if got, now := entries[0].StartedMs, f.loop.nowMs(); got > now {
		t.Errorf("got a start at %v, want it at the module's now, %v, at the latest", got, now)
	}
}
