package controlplane

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fleet"
)

// pollEvery is how often agents' processes are asked what has come to be in force.
const pollEvery = 100 * time.Millisecond

// fleetRun is one fleet under measurement.
type fleetRun struct {
	plan     *Plan
	log      *slog.Logger
	spawn    Spawn
	rng      *rand.Rand
	source   *directory
	ports    []reservation // of all stand-ins, a scope after the other
	standIns []*machine
	workers  []*worker
	events   [][]event // by agent, those since the phase began
	began    time.Time // the phase
	lateMs   float64   // the longest that a process waited for a processor in it
	peak     int64     // the most calls of a second at one stand-in in it
}

// machine is a stand-in's place: the process there may be killed and replaced.
type machine struct {
	*Process
	ports []int
	cut   bool  // off from the source of truth
	seq   int64 // the version it was sent
	last  reply
	base  reply // at the beginning of the phase
}

// worker is a process with agents.
type worker struct {
	*Process
	agents     []int
	last, base reply
}

// start opens the stand-ins and then the agents. The fleet must be ended also where it
// returns an error.
func (f *fleetRun) start(ctx context.Context) error {
	p := f.plan
	f.source = newDirectory(nil)
	f.source.take(&endpointlist.List{Seq: 1, Whole: true, Hosts: p.hosts()})
	for range p.StandIns * p.Size.Regions {
		m := &machine{}
		f.standIns = append(f.standIns, m)
		for range p.scopes() {
			r, err := reserve()
			if err != nil {
				return err
			}
			f.ports = append(f.ports, r)
			m.ports = append(m.ports, r.port)
		}
		if err := f.open(ctx, m); err != nil {
			return err
		}
	}
	serviceOf := p.services()
	ports := map[int]int{}
	f.workers = make([]*worker, p.Processes)
	for i := range f.workers {
		process, err := f.spawn(ctx, RoleAgents)
		if err != nil {
			f.workers = f.workers[:i]
			return err
		}
		f.workers[i] = &worker{Process: process}
	}
	for i := range p.Size.Agents {
		scope := 0
		if p.Scope == ScopeService {
			scope = serviceOf[i%p.Size.Servers]
		}
		ports[i] = f.standIns[p.standInOf(i)].ports[scope]
		w := f.workers[i%p.Processes]
		w.agents = append(w.agents, i)
	}
	f.events = make([][]event, p.Size.Agents)
	f.began = time.Now()
	return f.forEach(len(f.workers), func(i int) error {
		w := f.workers[i]
		cmd := &command{Op: opOpen, Plan: p, Agents: w.agents}
		for _, a := range w.agents {
			cmd.Ports = append(cmd.Ports, ports[a])
		}
		_, err := w.call(ctx, cmd)
		return err
	})
}

// open starts a stand-in at a machine's ports, with the list as it is.
func (f *fleetRun) open(ctx context.Context, m *machine) error {
	text, seq, err := f.source.text(0, 0)
	if err != nil {
		return err
	}
	if m.Process, err = f.spawn(ctx, RoleStandIn); err != nil {
		return err
	}
	m.seq, m.last, m.base = seq, reply{}, reply{}
	_, err = m.call(ctx, &command{Op: opOpen, Plan: f.plan, List: text, Ports: m.ports})
	return err
}

// end ends all processes.
func (f *fleetRun) end() {
	_ = f.forEach(len(f.workers), func(i int) error { f.workers[i].close(); return nil })
	for _, m := range f.standIns {
		if m.Process != nil {
			m.close()
		}
	}
	for _, r := range f.ports {
		r.release()
	}
}

// forEach runs do for 0 to n-1 at once and gives the first error.
func (f *fleetRun) forEach(n int, do func(int) error) error {
	errs := make(chan error, n)
	for i := range n {
		go func() { errs <- do(i) }()
	}
	var first error
	for range n {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// change makes a new version of the list and sends it to the stand-ins that can be reached.
// It returns the version and when it was made.
func (f *fleetRun) change(ctx context.Context, hosts ...endpointlist.Host) (int64, time.Time, error) {
	seq, _, _ := f.source.state()
	made := time.Now()
	f.source.take(&endpointlist.List{Seq: seq + 1, Hosts: hosts})
	return seq + 1, made, f.send(ctx)
}

// send brings the stand-ins up to date that can be reached.
func (f *fleetRun) send(ctx context.Context) error {
	return f.forEach(len(f.standIns), func(i int) error {
		m := f.standIns[i]
		if m.Process == nil || m.cut {
			return nil
		}
		text, seq, err := f.source.text(0, m.seq)
		if err != nil {
			return err
		}
		m.seq = seq
		_, err = m.call(ctx, &command{Op: opList, List: text})
		return err
	})
}

// randomChange returns a server of the list with its health changed: a ready one drains, another
// is ready again as a new process.
func (f *fleetRun) randomChange() endpointlist.Host {
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	h := f.source.hosts[f.source.names[f.rng.IntN(len(f.source.names))]].Host
	if h.Health == "ready" {
		h.Health = "draining"
	} else {
		h.Health, h.BornMs = "ready", float64(time.Now().UnixMilli())
	}
	return h
}

// poll takes in what the processes report; with heap they collect their garbage first.
func (f *fleetRun) poll(ctx context.Context, heap bool) error {
	if err := f.forEach(len(f.workers), func(i int) (err error) {
		f.workers[i].last, err = f.workers[i].call(ctx, &command{Op: opReport, Heap: heap})
		return err
	}); err != nil {
		return err
	}
	for _, w := range f.workers {
		f.lateMs = max(f.lateMs, w.last.LateMs)
		for _, e := range w.last.Events {
			f.events[e.Agent] = append(f.events[e.Agent], e)
		}
	}
	return nil
}

// pollStandIns takes in what the stand-ins report.
func (f *fleetRun) pollStandIns(ctx context.Context) error {
	if err := f.forEach(len(f.standIns), func(i int) error {
		m := f.standIns[i]
		if m.Process == nil {
			return nil
		}
		last, err := m.call(ctx, &command{Op: opReport})
		if err == nil {
			m.last = last
		}
		return err
	}); err != nil {
		return err
	}
	for _, m := range f.standIns {
		if m.Process != nil {
			f.lateMs = max(f.lateMs, m.last.LateMs)
			f.peak = max(f.peak, m.last.Counts.CallsPeak)
		}
	}
	return nil
}

// inForceAt is when a version came to be in force at an agent, at the earliest at from.
func (f *fleetRun) inForceAt(agent int, seq int64, from time.Time) (time.Time, bool) {
	for _, e := range f.events[agent] {
		if at := time.UnixMicro(e.At); e.Seq >= seq && !at.Before(from.Truncate(time.Microsecond)) {
			return at, true
		}
	}
	return time.Time{}, false
}

// await waits until a version is in force at all of the agents, for the plan's limit at
// most, and counts those that don't have it then.
func (f *fleetRun) await(ctx context.Context, agents []int, seq int64, from time.Time) (without int, err error) {
	end, said := time.Now().Add(f.plan.Limit), time.Now()
	for {
		if err := f.poll(ctx, false); err != nil {
			return 0, err
		}
		without = 0
		for _, a := range agents {
			if _, ok := f.inForceAt(a, seq, from); !ok {
				without++
			}
		}
		if without == 0 || time.Now().After(end) {
			return without, nil
		}
		if time.Since(said) > 5*time.Second {
			said = time.Now()
			f.log.Info("waiting", "version", seq, "agents", len(agents), "without it", without)
		}
		if err := sleep(ctx, pollEvery); err != nil {
			return 0, err
		}
	}
}

// agents are those of the stand-ins for which at holds.
func (f *fleetRun) agents(at func(standIn int) bool) []int {
	var list []int
	for i := range f.plan.Size.Agents {
		if at(f.plan.standInOf(i)) {
			list = append(list, i)
		}
	}
	return list
}

func everywhere(int) bool { return true }

// delays is how long versions took to be in force, over agents and versions.
type delays struct {
	histogram *hdrhistogram.Histogram
	without   int
}

func newDelays() *delays { return &delays{histogram: hdrhistogram.New(1, time.Hour.Microseconds(), 3)} }

// add takes in one version. Times count from made, for events since from.
func (t *delays) add(f *fleetRun, agents []int, seq int64, from time.Time, made func(agent int) time.Time) error {
	for _, a := range agents {
		at, ok := f.inForceAt(a, seq, from)
		if !ok {
			t.without++
			continue
		}
		if err := t.histogram.RecordValue(max(at.Sub(made(a)).Microseconds(), 1)); err != nil {
			return fmt.Errorf("time of agent %d: %w", a, err)
		}
	}
	return nil
}

// addTo adds the figures to a case. A quantile that takes in agents that were not reached is left out.
func (t *delays) addTo(c *fleet.Case, prefix string) {
	reached := float64(t.histogram.TotalCount())
	all := reached + float64(t.without)
	c.Add(prefix+"_agents", "count", all)
	c.Add(prefix+"_without", "count", float64(t.without))
	for _, part := range []struct {
		name  string
		share float64
	}{{"_p50", 0.5}, {"_p99", 0.99}, {"_all", 1}} {
		if reached >= part.share*all && reached > 0 {
			c.Add(prefix+part.name, "s", float64(t.histogram.ValueAtQuantile(100*part.share*all/reached))/1e6)
		}
	}
}

// beginPhase begins a phase, a span whose costs are measured: what came to be in force before is
// forgotten.
func (f *fleetRun) beginPhase(ctx context.Context) error {
	if err := f.poll(ctx, false); err != nil {
		return err
	}
	if err := f.pollStandIns(ctx); err != nil {
		return err
	}
	for i := range f.events {
		f.events[i] = f.events[i][:0]
	}
	for _, w := range f.workers {
		w.base = w.last
	}
	for _, m := range f.standIns {
		m.base = m.last
	}
	f.began, f.lateMs, f.peak = time.Now(), 0, 0
	return nil
}

// addCosts adds to a case what the phase has taken, an agent and a stand-in. A stand-in that
// was replaced counts from its start.
func (f *fleetRun) addCosts(ctx context.Context, c *fleet.Case, prefix string) error {
	took := time.Since(f.began).Seconds()
	if err := f.poll(ctx, false); err != nil {
		return err
	}
	if err := f.pollStandIns(ctx); err != nil {
		return err
	}
	agents, standIns := float64(f.plan.Size.Agents), float64(len(f.standIns))
	var cpu, allocated, standInCPU float64
	var n counts
	for _, w := range f.workers {
		cpu += w.last.Usage.CPUMs - w.base.Usage.CPUMs
		allocated += w.last.Usage.Allocated - w.base.Usage.Allocated
	}
	for _, m := range f.standIns {
		standInCPU += m.last.Usage.CPUMs - m.base.Usage.CPUMs
		n.Calls += m.last.Counts.Calls - m.base.Counts.Calls
		n.Lists += m.last.Counts.Lists - m.base.Counts.Lists
		n.Heartbeats += m.last.Counts.Heartbeats - m.base.Counts.Heartbeats
		n.Bytes += m.last.Counts.Bytes - m.base.Counts.Bytes
		n.BytesRead += m.last.Counts.BytesRead - m.base.Counts.BytesRead
	}
	bytes := float64(n.Bytes + n.BytesRead)
	c.Add(prefix+"_took", "s", took)
	c.Add(prefix+"_late", "s", f.lateMs/1000)
	c.Add(prefix+"_agent_bytes", "bytes", bytes/agents)
	c.Add(prefix+"_agent_bytes_s", "bytes/s", bytes/agents/took)
	c.Add(prefix+"_agent_lists", "count", float64(n.Lists)/agents)
	c.Add(prefix+"_agent_lives", "count", float64(n.Heartbeats)/agents)
	c.Add(prefix+"_agent_calls", "count", float64(n.Calls)/agents)
	c.Add(prefix+"_agent_cpu", "ms", cpu/agents)
	c.Add(prefix+"_agent_cpu_share", "share", cpu/1000/agents/took)
	c.Add(prefix+"_agent_allocated", "bytes", allocated/agents)
	c.Add(prefix+"_standin_bytes_s", "bytes/s", bytes/standIns/took)
	c.Add(prefix+"_standin_calls", "count", float64(n.Calls)/standIns)
	c.Add(prefix+"_standin_calls_peak_s", "count", float64(f.peak))
	c.Add(prefix+"_standin_cpu", "ms", standInCPU/standIns)
	c.Add(prefix+"_standin_cpu_share", "share", standInCPU/1000/standIns/took)
	return nil
}

// addMemory adds what agents and stand-ins hold.
func (f *fleetRun) addMemory(ctx context.Context, c *fleet.Case) error {
	if err := f.poll(ctx, true); err != nil {
		return err
	}
	if err := f.pollStandIns(ctx); err != nil {
		return err
	}
	var heap, rss, standIn float64
	for _, w := range f.workers {
		heap, rss = heap+w.last.Usage.Heap, rss+w.last.Usage.RSS
	}
	for _, m := range f.standIns {
		standIn = max(standIn, m.last.Usage.RSS)
	}
	c.Add("agent_heap", "bytes", heap/float64(f.plan.Size.Agents))
	c.Add("agent_rss", "bytes", rss/float64(f.plan.Size.Agents))
	c.Add("standin_rss", "bytes", standIn)
	return nil
}

// agentsSample draws a part of the agents.
func (f *fleetRun) agentsSample(part float64) []int {
	n := max(int(part*float64(f.plan.Size.Agents)), 1)
	list := f.rng.Perm(f.plan.Size.Agents)[:n]
	slices.Sort(list)
	return list
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
