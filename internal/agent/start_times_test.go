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

// clockSteps are the sizes of the wall clock steps that the tests simulate.
var clockSteps = []time.Duration{0, time.Second, -time.Second, time.Minute, -time.Minute, time.Hour, -time.Hour}

// clockScenarios are the scenarios with a stepped wall clock.
var clockScenarios = []struct {
	name string
	run  func(*watchedFleet, time.Duration)
}{
	{"off at the start", runClockOffAtStart},
	{"off at the start, empty list", runClockOffAtStartWithoutList},
	{"stepped while the agent runs", runClockSteppedWhileRunning},
	{"stepped across a restart of the agent", runClockSteppedAcrossRestart},
	{"backends' clock stepped", runBackendClockStepped},
}

func runClockOffAtStart(f *watchedFleet, step time.Duration) {
	f.machine.step = step
	f.startBackend("s-0", time.Second)
	f.startAgent()
	f.advanceChecked(3 * time.Second)
	f.deliver(true, append(f.hosts, f.startBackend("s-1", time.Second))...)
	f.advanceChecked(3 * time.Second)
	f.deliver(false, f.startBackend("s-2", time.Second/4))
	f.advanceChecked(20 * time.Second)
}

func runClockOffAtStartWithoutList(f *watchedFleet, step time.Duration) {
	f.machine.step = step
	hosts := f.hosts
	f.hosts = nil
	f.startAgent()
	f.hosts = hosts
	f.startBackend("s-0", time.Second)
	f.startBackend("s-1", 5*time.Second)
	f.deliverWhole()
	f.advanceChecked(20 * time.Second)
}

func runClockSteppedWhileRunning(f *watchedFleet, step time.Duration) {
	f.startAgent()
	f.deliverWhole()
	f.deliver(false, f.startBackend("s-0", time.Second/2))
	f.advanceChecked(time.Second)
	f.machine.step = step
	f.advanceChecked(time.Second)
	f.deliver(false, f.startBackend("s-1", 0))
	f.advanceChecked(time.Second)
	f.deliver(false, f.startBackend("s-0", time.Second/4)) // a restart
	f.advanceChecked(20 * time.Second)
}

func runClockSteppedAcrossRestart(f *watchedFleet, step time.Duration) {
	f.startAgent()
	f.deliver(false, f.startBackend("s-0", time.Second))
	f.advanceChecked(2 * time.Second)
	f.machine.step = step
	f.machine.advance(time.Second)
	f.startBackend("s-1", time.Second/2)
	f.startAgent()
	f.advanceChecked(time.Second)
	f.startBackend("s-0", time.Second/2)
	f.deliverWhole()
	f.advanceChecked(20 * time.Second)
}

func runBackendClockStepped(f *watchedFleet, step time.Duration) {
	f.startAgent()
	f.deliver(false, f.startBackend("s-0", time.Second))
	f.advanceChecked(2 * time.Second)
	for _, name := range []string{"s-0", "s-1"} { // a restart and a new backend
		host := f.startBackend(name, time.Second/2)
		host.BornMs += float64(step.Milliseconds())
		f.deliver(false, host)
		f.advanceChecked(time.Second)
	}
	f.advanceChecked(20 * time.Second)
}

// A slow start is a span of real time. An error or a step of a wall clock neither shortens nor
// prolongs it.
func TestSlowStartIsUnaffectedByClockSteps(t *testing.T) {
	for _, c := range clockScenarios {
		for _, step := range clockSteps {
			t.Run(fmt.Sprint(c.name, " by ", step), func(t *testing.T) { c.run(newWatchedFleet(t), step) })
		}
	}
}

// After a time without a watch, the first list contains the starts from all of that time. The agent
// spaces them like their born_ms, as long as they fit into that time.
func TestStartTimesAfterTimeWithoutWatch(t *testing.T) {
	for _, step := range clockSteps {
		t.Run(fmt.Sprint("clock off by ", step), func(t *testing.T) {
			f := startWatchedFleet(t, step)
			f.machine.advance(time.Minute)
			f.loop.handle(watchEnded{err: io.EOF, established: true})
			f.startBackend("s-0", 0)
			f.machine.advance(4 * time.Second)
			f.startBackend("s-1", 0)
			f.machine.advance(time.Second)
			stepped := f.startBackend("s-2", time.Second) // on a machine whose clock is an hour slow
			stepped.BornMs -= 3600e3
			f.deliver(false, f.hosts[1], f.hosts[2], stepped)
			for name, want := range map[string]time.Duration{"s-0": 4 * time.Second, "s-1": 0, "s-2": 0} {
				if got, known := f.estimatedAge(name); got.Round(time.Millisecond) != want || !known {
					t.Errorf("%s: got age %v, want %v", name, got, want)
				}
			}
			f.advanceChecked(20 * time.Second)
		})
	}
}

// If no clock step can explain the age of the backends, an agent that starts treats them as warmed
// up. The same holds for a backend that is listed again unchanged.
func TestStartTimesOfLongRunningBackendsAreKept(t *testing.T) {
	f := newWatchedFleet(t)
	f.startBackend("s-0", config.Milliseconds(maxClockOffsetMs)+slowStartTime)
	f.startAgent()
	f.deliverWhole()
	if got := f.warmingUp(); got != 0 {
		t.Errorf("got %d backends warming up hours after their start, want 0", got)
	}
	late := f.startBackend("s-1", 0)
	f.deliver(false, late)
	f.advanceChecked(10 * time.Second)
	for _, health := range []string{"draining", "gone", "ready"} {
		late.Health = health
		f.deliver(false, late)
		if got := f.warmingUp(); got != 0 {
			t.Errorf("got %d backends warming up after one is listed as %s again, want 0", got, health)
		}
	}
}

// The number of start times that are stored is bounded by the length of the list.
func TestStartTimesArePruned(t *testing.T) {
	f := newWatchedFleet(t)
	f.startAgent()
	for i := range 5000 {
		host := f.startBackend(fmt.Sprint("s-", i), 0)
		f.hosts = f.hosts[:1]
		f.deliver(true, f.hosts[0], host)
	}
	if got := len(f.loop.startTimes.known); got > 1100 {
		t.Errorf("got %d start times stored with two backends listed, want at most 1100", got)
	}
}

// Whatever the wall clock reads, the module's clock never has a time that means "never" to the
// module, and no start is later than its current time.
func TestModuleClockWithWallClockBeforeEpoch(t *testing.T) {
	f := newWatchedFleet(t)
	f.machine.step = -100 * 365 * 24 * time.Hour
	f.startBackend("s-0", time.Second)
	f.startAgent()
	if got := f.loop.nowMs(); got < minClockStartMs {
		t.Fatalf("got the module's time %v, want %v at least", got, float64(minClockStartMs))
	}
	f.advanceChecked(20 * time.Second)
	entries := []policy.Entry{{Server: endpointlist.AddressOf("s-1"), StartedMs: 1e300}}
	f.loop.startTimes.toModuleClock(entries, f.loop.nowMs())
	if got, now := entries[0].StartedMs, f.loop.nowMs(); got > now {
		t.Errorf("got a start at %v, want it no later than the module's current time, %v", got, now)
	}
}
