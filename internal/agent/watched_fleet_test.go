package agent

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
)

// fakeMachine is a machine whose wall clock may be stepped. Its clocks advance only by calls of
// advance.
type fakeMachine struct {
	trueTime time.Time     // reading of an accurate wall clock
	step     time.Duration // error of this wall clock
	uptime   time.Duration
}

func (m *fakeMachine) Wall() time.Time          { return m.trueTime.Add(m.step).Round(0) }
func (m *fakeMachine) Monotonic() time.Duration { return m.uptime }

func (m *fakeMachine) advance(d time.Duration) {
	m.trueTime = m.trueTime.Add(d)
	m.uptime += d
}

// watchedFleet is an agent on a fakeMachine, with a list of backends that start at known times.
type watchedFleet struct {
	t          *testing.T
	machine    *fakeMachine
	loop       *loop
	seq        int64
	startedAt  map[string]time.Time // in real time
	notifiedAt time.Time            // when the agent was last notified of a start
	hosts      []endpointlist.Host
}

// slowStartTime is the duration of a slow start under the settings of agenttest.Config.
var slowStartTime = config.Milliseconds(8000)

// newWatchedFleet returns a fleet with one backend that has run for long. Its agent is not started
// yet.
func newWatchedFleet(t *testing.T) *watchedFleet {
	real := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	f := &watchedFleet{t: t, machine: &fakeMachine{trueTime: real, uptime: time.Minute}, seq: 1, startedAt: map[string]time.Time{}}
	f.hosts = append(f.hosts, endpointlist.Host{Host: "s-old", Dial: "127.0.0.2:1", Health: "ready", Share: 1})
	return f
}

// startWatchedFleet returns a fleet whose agent started with its wall clock off by the step, and
// has been notified of the list.
func startWatchedFleet(t *testing.T, step time.Duration) *watchedFleet {
	f := newWatchedFleet(t)
	f.machine.step = step
	f.startAgent()
	f.deliverWhole()
	return f
}

// startBackend starts or restarts a backend at the given time before now. The agent isn't notified.
func (f *watchedFleet) startBackend(name string, ago time.Duration) endpointlist.Host {
	at := f.machine.trueTime.Add(-ago)
	f.startedAt[name] = at
	host := endpointlist.Host{Host: name, Dial: f.addressOf(name), Health: "ready", Share: 1, BornMs: float64(at.UnixMilli())}
	for i := range f.hosts {
		if f.hosts[i].Host == name {
			f.hosts[i] = host
			return host
		}
	}
	f.hosts = append(f.hosts, host)
	return host
}

// addressOf returns the address of a backend: that of s-1 has the port 2, for example.
func (f *watchedFleet) addressOf(name string) string {
	var number int
	if _, err := fmt.Sscanf(name, "s-%d", &number); err != nil {
		f.t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", number+1)
}

// startAgent starts the agent's process with the current list.
func (f *watchedFleet) startAgent() {
	conf := parseConfig(f.t, agenttest.Config(refusingAddr))
	conf.InitialList = newList(f.seq, true, f.hosts...)
	conf.Clock = f.machine
	l, err := newLoop(f.t.Context(), conf, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	f.loop, f.notifiedAt = l, f.machine.trueTime
}

// deliver passes the agent a list as a watch would deliver it.
func (f *watchedFleet) deliver(whole bool, hosts ...endpointlist.Host) {
	f.seq++
	f.loop.handle(watchEvent{list: newList(f.seq, whole, hosts...)})
	f.notifiedAt = f.machine.trueTime
}

// deliverWhole passes the agent the current whole list.
func (f *watchedFleet) deliverWhole() { f.deliver(true, f.hosts...) }

// advanceChecked advances the clocks and checks the ages of the backends all the while, see
// checkAges.
func (f *watchedFleet) advanceChecked(d time.Duration) {
	f.t.Helper()
	for end := f.machine.trueTime.Add(d); ; f.machine.advance(250 * time.Millisecond) {
		if f.checkAges(); !f.machine.trueTime.Before(end) {
			return
		}
	}
}

// estimatedAge returns the age that the agent assumes for a backend, if it knows the backend's
// start.
func (f *watchedFleet) estimatedAge(name string) (age time.Duration, known bool) {
	start, known := f.loop.startTimes.known[endpointlist.AddressOf(name)]
	return config.Milliseconds(f.loop.nowMs() - start.startMs), known
}

// warmingUp returns the number of backends that the agent treats as warming up.
func (f *watchedFleet) warmingUp() (n int) {
	for _, tier := range f.loop.balancer.Snapshot(f.loop.nowMs()).Tiers {
		n += tier.WarmingUp
	}
	return n
}

// checkAges checks the ages that the agent assumes. No backend may have a higher age than its real
// one, and none may be warming up if a slow start has passed since the last notification.
func (f *watchedFleet) checkAges() {
	f.t.Helper()
	want := 0
	for name, at := range f.startedAt {
		age := f.machine.trueTime.Sub(at)
		if age >= slowStartTime {
			continue
		}
		want++
		if got, known := f.estimatedAge(name); known && got > age+time.Microsecond {
			f.t.Fatalf("%s: got age %v, want at most the real age of %v", name, got, age)
		}
	}
	got := f.warmingUp()
	if got < want {
		f.t.Fatalf("got %d backends warming up, want %d at least", got, want)
	}
	if sinceNotice := f.machine.trueTime.Sub(f.notifiedAt); sinceNotice > slowStartTime && got > 0 {
		f.t.Fatalf("got %d backends warming up %v after the last notification, want 0", got, sinceNotice)
	}
}
