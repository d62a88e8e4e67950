package agent

import (
	"log/slog"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
)

// steppedMachine is a machine whose wall clock may be stepped. Both clocks stand still between
// calls of pass.
type steppedMachine struct {
	real   time.Time     // what a right wall clock reads
	step   time.Duration // of this wall clock
	uptime time.Duration
}

func (m *steppedMachine) Wall() time.Time          { return m.real.Add(m.step).Round(0) }
func (m *steppedMachine) Monotonic() time.Duration { return m.uptime }

func (m *steppedMachine) pass(d time.Duration) {
	m.real = m.real.Add(d)
	m.uptime += d
}

// watchedFleet is an agent on such a machine, and a list whose backends start at known times.
type watchedFleet struct {
	t         *testing.T
	machine   *steppedMachine
	loop      *loop
	seq       int64
	startedAt map[string]time.Time // in real time
	noticedAt time.Time            // when the agent was last notified of a start
	hosts     []endpointlist.Host
}

// slowStartTime is how long a slow start lasts under the settings of agenttest.Config.
var slowStartTime = config.Milliseconds(8000)

// newWatchedFleet returns a fleet with one backend that has run for long. Its agent is not started
// yet.
func newWatchedFleet(t *testing.T) *watchedFleet {
	real := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	f := &watchedFleet{t: t, machine: &steppedMachine{real: real, uptime: time.Minute}, seq: 1, startedAt: map[string]time.Time{}}
	f.hosts = append(f.hosts, endpointlist.Host{Host: "s-old", Dial: "127.0.0.1:1", Health: "ready", Share: 1})
	return f
}

// startWatchedFleet returns a fleet whose agent has started with its wall clock off by the step,
// and has been notified of the list.
func startWatchedFleet(t *testing.T, step time.Duration) *watchedFleet {
	f := newWatchedFleet(t)
	f.machine.step = step
	f.startAgent()
	f.notifyWhole()
	return f
}

// startBackend starts a backend, or restarts it, so long ago. The agent isn't notified.
func (f *watchedFleet) startBackend(name string, ago time.Duration) endpointlist.Host {
	at := f.machine.real.Add(-ago)
	f.startedAt[name] = at
	host := endpointlist.Host{Host: name, Dial: "127.0.0.1:1", Health: "ready", Share: 1, BornMs: float64(at.UnixMilli())}
	for i := range f.hosts {
		if f.hosts[i].Host == name {
			f.hosts[i] = host
			return host
		}
	}
	f.hosts = append(f.hosts, host)
	return host
}

// startAgent starts the agent's process with the list as it is.
func (f *watchedFleet) startAgent() {
	conf := parse(f.t, agenttest.Config(nowhere))
	conf.Known = listOf(f.seq, true, f.hosts...)
	conf.Clock = f.machine
	l, err := newLoop(f.t.Context(), conf, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	f.loop, f.noticedAt = l, f.machine.real
}

// notify hands the agent a list that a watch delivered.
func (f *watchedFleet) notify(whole bool, hosts ...endpointlist.Host) {
	f.seq++
	f.loop.handle(watchEvent{list: listOf(f.seq, whole, hosts...)})
	f.noticedAt = f.machine.real
}

// notifyWhole hands the agent the whole list as it is.
func (f *watchedFleet) notifyWhole() { f.notify(true, f.hosts...) }

// hold lets time pass. All the while no backend may count as older than it is, and none as warming
// up once a slow start is over since the last notice.
func (f *watchedFleet) hold(d time.Duration) {
	f.t.Helper()
	for end := f.machine.real.Add(d); ; f.machine.pass(250 * time.Millisecond) {
		if f.check(); !f.machine.real.Before(end) {
			return
		}
	}
}

// ageToAgent returns how old a backend is to the agent, if it knows of its start.
func (f *watchedFleet) ageToAgent(name string) (age time.Duration, known bool) {
	start, known := f.loop.startTimes.known[endpointlist.AddressOf(name)]
	return config.Milliseconds(f.loop.nowMs() - start.startMs), known
}

// warmingUp returns how many backends are in their slow start to the agent.
func (f *watchedFleet) warmingUp() (n int) {
	for _, tier := range f.loop.balancer.Snapshot(f.loop.nowMs()).Tiers {
		n += tier.WarmingUp
	}
	return n
}

// check checks the ages that the agent takes the backends to have.
func (f *watchedFleet) check() {
	f.t.Helper()
	want := 0
	for name, at := range f.startedAt {
		age := f.machine.real.Sub(at)
		if age >= slowStartTime {
			continue
		}
		want++
		if got, known := f.ageToAgent(name); known && got > age+time.Microsecond {
			f.t.Fatalf("got %s %v old, want at most its age of %v", name, got, age)
		}
	}
	got := f.warmingUp()
	if got < want {
		f.t.Fatalf("got %d backends warming up, want %d at least", got, want)
	}
	if sinceNotice := f.machine.real.Sub(f.noticedAt); sinceNotice > slowStartTime && got > 0 {
		f.t.Fatalf("got %d backends warming up %v after the last notice, want 0", got, sinceNotice)
	}
}
