package agent

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// steppedMachine is a machine whose wall clock may be stepped. Both clocks stand still between
// calls of pass.
type steppedMachine struct {
	real time.Time     // what a right wall clock reads
	off  time.Duration // of this wall clock
	ran  time.Duration
}

func (m *steppedMachine) Wall() time.Time          { return m.real.Add(m.off).Round(0) }
func (m *steppedMachine) Monotonic() time.Duration { return m.ran }

func (m *steppedMachine) pass(d time.Duration) {
	m.real = m.real.Add(d)
	m.ran += d
}

// watchedFleet is an agent on such a machine, and a list whose servers start at known times.
type watchedFleet struct {
	t       *testing.T
	machine *steppedMachine
	loop    *loop
	seq     int64
	began   map[string]time.Time // in real time
	noticed time.Time            // when the agent last heard of a start
	hosts   []endpointlist.Host
}

var coldTime = config.Milliseconds(8000) // of the settings of config

func newWatchedFleet(t *testing.T) *watchedFleet {
	real := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	f := &watchedFleet{t: t, machine: &steppedMachine{real: real, ran: time.Minute}, seq: 1, began: map[string]time.Time{}}
	f.hosts = append(f.hosts, endpointlist.Host{Host: "s-old", Dial: "127.0.0.1:1", Health: "ready", Share: 1})
	return f
}

// born starts a server, or starts it anew, so long ago.
func (f *watchedFleet) born(name string, ago time.Duration) endpointlist.Host {
	at := f.machine.real.Add(-ago)
	f.began[name] = at
	h := endpointlist.Host{Host: name, Dial: "127.0.0.1:1", Health: "ready", Share: 1, BornMs: float64(at.UnixMilli())}
	for i := range f.hosts {
		if f.hosts[i].Host == name {
			f.hosts[i] = h
			return h
		}
	}
	f.hosts = append(f.hosts, h)
	return h
}

// boot starts the agent's process with the list as it is.
func (f *watchedFleet) boot() {
	c := parse(f.t, agenttest.Config(nowhere))
	c.Known = listOf(f.seq, true, f.hosts...)
	c.Clock = f.machine
	l, err := newLoop(f.t.Context(), c, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	f.loop, f.noticed = l, f.machine.real
}

// hear hands the agent a list that a watch delivered.
func (f *watchedFleet) hear(whole bool, hosts ...endpointlist.Host) {
	f.seq++
	f.loop.handle(watchEvent{list: listOf(f.seq, whole, hosts...)})
	f.noticed = f.machine.real
}

// hold lets time pass. All the while no server may count as older than it is, and each is warm once
// the cold time is over since the last notice.
func (f *watchedFleet) hold(d time.Duration) {
	f.t.Helper()
	for end := f.machine.real.Add(d); ; f.machine.pass(250 * time.Millisecond) {
		if f.check(); !f.machine.real.Before(end) {
			return
		}
	}
}

func (f *watchedFleet) check() {
	f.t.Helper()
	cold := 0
	for name, at := range f.began {
		age := f.machine.real.Sub(at)
		if age >= coldTime {
			continue
		}
		cold++
		if known, ok := f.loop.startTimes.known[endpointlist.AddressOf(name)]; ok && config.Milliseconds(f.loop.nowMs()-known.sinceMs) > age+time.Microsecond {
			f.t.Fatalf("%s is %v old and counts as %v old", name, age, config.Milliseconds(f.loop.nowMs()-known.sinceMs))
		}
	}
	counted := 0
	for _, tier := range f.loop.balancer.Snapshot(f.loop.nowMs()).Tiers {
		counted += tier.WarmingUp
	}
	if counted < cold {
		f.t.Fatalf("%d servers count as cold, %d are", counted, cold)
	}
	if f.machine.real.Sub(f.noticed) > coldTime && counted > 0 {
		f.t.Fatalf("%d servers count as cold %v after the last notice", counted, f.machine.real.Sub(f.noticed))
	}
}

// wallSteps are the steps of a wall clock that the tests play.
var wallSteps = []time.Duration{0, time.Second, -time.Second, time.Minute, -time.Minute, time.Hour, -time.Hour}

// A wall clock that is off, or is stepped, makes no cold server warm and keeps none cold: slow
// start is a span of real time.
func TestSlowStartIsASpanOfRealTime(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(*watchedFleet, time.Duration)
	}{
		{"off at the start", func(f *watchedFleet, step time.Duration) {
			f.machine.off = step
			f.born("s-0", time.Second)
			f.boot()
			f.hold(3 * time.Second)
			f.hear(true, append(f.hosts, f.born("s-1", time.Second))...)
			f.hold(3 * time.Second)
			f.hear(false, f.born("s-2", time.Second/4))
			f.hold(20 * time.Second)
		}},
		{"off at the start, nothing known", func(f *watchedFleet, step time.Duration) {
			f.machine.off = step
			hosts := f.hosts
			f.hosts = nil
			f.boot()
			f.hosts = hosts
			f.born("s-0", time.Second)
			f.born("s-1", 5*time.Second)
			f.hear(true, f.hosts...)
			f.hold(20 * time.Second)
		}},
		{"while running", func(f *watchedFleet, step time.Duration) {
			f.boot()
			f.hear(true, f.hosts...)
			f.hear(false, f.born("s-0", time.Second/2))
			f.hold(time.Second)
			f.machine.off = step
			f.hold(time.Second)
			f.hear(false, f.born("s-1", 0))
			f.hold(time.Second)
			f.hear(false, f.born("s-0", time.Second/4)) // started anew
			f.hold(20 * time.Second)
		}},
		{"across a restart", func(f *watchedFleet, step time.Duration) {
			f.boot()
			f.hear(false, f.born("s-0", time.Second))
			f.hold(2 * time.Second)
			f.machine.off = step
			f.machine.pass(time.Second)
			f.born("s-1", time.Second/2)
			f.boot()
			f.hold(time.Second)
			f.born("s-0", time.Second/2)
			f.hear(true, f.hosts...)
			f.hold(20 * time.Second)
		}},
		{"the servers' clock is stepped", func(f *watchedFleet, step time.Duration) {
			f.boot()
			f.hear(false, f.born("s-0", time.Second))
			f.hold(2 * time.Second)
			for _, name := range []string{"s-0", "s-1"} { // started anew, and new
				h := f.born(name, time.Second/2)
				h.BornMs += float64(step.Milliseconds())
				f.hear(false, h)
				f.hold(time.Second)
			}
			f.hold(20 * time.Second)
		}},
	} {
		for _, step := range wallSteps {
			t.Run(fmt.Sprint(c.name, " ", step), func(t *testing.T) { c.play(newWatchedFleet(t), step) })
		}
	}
}

// After a time without a watch, the first list names the starts of all that time: they are as far
// apart as their born_ms, as long as that fits.
func TestStartsOfATimeWithoutAWatch(t *testing.T) {
	for _, step := range wallSteps {
		f := newWatchedFleet(t)
		f.machine.off = step
		f.boot()
		f.hear(true, f.hosts...)
		f.machine.pass(time.Minute)
		f.loop.handle(watchEnded{err: io.EOF, endedAfterNotice: true})
		f.born("s-0", 0)
		f.machine.pass(4 * time.Second)
		f.born("s-1", 0)
		f.machine.pass(time.Second)
		stepped := f.born("s-2", time.Second) // on a machine whose clock is an hour behind
		stepped.BornMs -= 3600e3
		f.hear(false, f.hosts[1], f.hosts[2], stepped)
		for name, want := range map[string]time.Duration{"s-0": 4 * time.Second, "s-1": 0, "s-2": 0} {
			if age := config.Milliseconds(f.loop.nowMs() - f.loop.startTimes.known[endpointlist.AddressOf(name)].sinceMs).Round(time.Millisecond); age != want {
				t.Errorf("clock off by %v: %s counts as %v old, want %v", step, name, age, want)
			}
		}
		f.hold(20 * time.Second)
	}
}

// Where no step can explain the age of the servers' starts, an agent that starts takes them for
// warm; so too what is listed again as before.
func TestLongStartedServersAreWarm(t *testing.T) {
	f := newWatchedFleet(t)
	f.born("s-0", config.Milliseconds(maxClockOffset)+coldTime)
	f.boot()
	f.hear(true, f.hosts...)
	cold := func() (n int) {
		for _, tier := range f.loop.balancer.Snapshot(f.loop.nowMs()).Tiers {
			n += tier.WarmingUp
		}
		return n
	}
	if n := cold(); n != 0 {
		t.Errorf("%d servers that started hours ago count as cold", n)
	}
	late := f.born("s-1", 0)
	f.hear(false, late)
	f.hold(10 * time.Second)
	for _, health := range []string{"draining", "gone", "ready"} {
		late.Health = health
		f.hear(false, late)
		if n := cold(); n != 0 {
			t.Errorf("%d servers count as cold when one is listed as %s again", n, health)
		}
	}
}

// What is remembered of starts is bounded by what is listed.
func TestStartsAreForgotten(t *testing.T) {
	f := newWatchedFleet(t)
	f.boot()
	for i := range 5000 {
		h := f.born(fmt.Sprint("s-", i), 0)
		f.hosts = f.hosts[:1]
		f.hear(true, f.hosts[0], h)
	}
	if n := len(f.loop.startTimes.known); n > 1100 {
		t.Errorf("%d starts are remembered, two servers are listed", n)
	}
}

// The module's clock stands at no time that means "never" to it, whatever the wall clock reads, and
// no start is after its now.
func TestWallClockBeforeTheEpoch(t *testing.T) {
	f := newWatchedFleet(t)
	f.machine.off = -100 * 365 * 24 * time.Hour
	f.born("s-0", time.Second)
	f.boot()
	if now := f.loop.nowMs(); now < minStartMs {
		t.Fatalf("the module's clock stands at %v", now)
	}
	f.hold(20 * time.Second)
	entries := []policy.Entry{{Server: endpointlist.AddressOf("s-1"), StartedMs: 1e300}}
	if f.loop.startTimes.translate(entries, f.loop.nowMs()); entries[0].StartedMs > f.loop.nowMs() {
		t.Errorf("a start in the future: %v", entries[0].StartedMs)
	}
}
