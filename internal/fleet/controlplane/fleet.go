package controlplane

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"ploverreel/internal/endpointlist"
)

// firstVersion is the version of the list that the fleet starts with.
const firstVersion = 1

// fleetStream is the random stream, under the plan's seed, of the changes and samples that a fleet draws.
const fleetStream = 2

// fleetRun is one fleet under measurement.
type fleetRun struct {
	plan         *Plan
	log          *slog.Logger
	spawn        Spawn
	random       *rand.Rand
	source       *endpointStore // of truth
	reservations []reservation  // of all stand-ins, a scope after the other
	standIns     []*standInHost
	workers      []*worker

	// Of the phase, which beginPhase begins.
	phaseStart           time.Time
	events               [][]event // by agent
	maxSchedulingDelayMs float64   // the longest that a process waited for a processor
	peakCallsPerSecond   int64     // the most calls of a second at one stand-in
}

// standInHost is where a stand-in runs: the process there may be killed and replaced.
type standInHost struct {
	*Process                     // nil: none runs
	ports                  []int // one a scope
	cutOff                 bool  // from the source of truth
	sentSeq                int64 // the version it was sent
	lastReport, baseReport reply // the last report, and that at the beginning of the phase
}

// worker is a process with agents.
type worker struct {
	*Process
	agents                 []int
	lastReport, baseReport reply // the last report, and that at the beginning of the phase
}

// newFleetRun returns a fleet that is not started.
func newFleetRun(p *Plan, log *slog.Logger, spawn Spawn) *fleetRun {
	return &fleetRun{plan: p, log: log, spawn: spawn, random: rand.New(rand.NewPCG(p.Size.Seed, fleetStream))}
}

// start opens the stand-ins and then the agents, and begins the first phase. The fleet must be stopped also
// where it returns an error.
func (f *fleetRun) start(ctx context.Context) error {
	f.source = newEndpointStore(nil)
	f.source.apply(&endpointlist.List{Seq: firstVersion, Whole: true, Hosts: f.plan.initialHosts()})
	if err := f.startStandIns(ctx); err != nil {
		return err
	}
	if err := f.startWorkers(ctx); err != nil {
		return err
	}
	scopes := f.plan.agentScopes()
	f.events = make([][]event, f.plan.Size.Agents)
	f.phaseStart = time.Now()
	return forEachConcurrently(f.workers, func(w *worker) error {
		cmd := &command{Op: opOpen, Plan: f.plan, Agents: w.agents}
		for _, a := range w.agents {
			cmd.Ports = append(cmd.Ports, f.standIns[f.plan.standInOf(a)].ports[scopes[a]])
		}
		_, err := w.call(ctx, cmd)
		return err
	})
}

// startStandIns reserves the ports and starts the stand-ins of all regions.
func (f *fleetRun) startStandIns(ctx context.Context) error {
	for range f.plan.StandIns * f.plan.Size.Regions {
		host := &standInHost{}
		f.standIns = append(f.standIns, host)
		for range f.plan.scopeCount() {
			r, err := reserve()
			if err != nil {
				return err
			}
			f.reservations = append(f.reservations, r)
			host.ports = append(host.ports, r.port)
		}
		if err := f.openStandIn(ctx, host); err != nil {
			return err
		}
	}
	return nil
}

// startWorkers starts the processes of the agents and deals the agents out to them.
func (f *fleetRun) startWorkers(ctx context.Context) error {
	for range f.plan.Processes {
		process, err := f.spawn(ctx, RoleAgents)
		if err != nil {
			return err
		}
		f.workers = append(f.workers, &worker{Process: process})
	}
	for i := range f.plan.Size.Agents {
		w := f.workers[i%f.plan.Processes]
		w.agents = append(w.agents, i)
	}
	return nil
}

// open starts a stand-in at a host's ports, with the list as it is.
func (f *fleetRun) openStandIn(ctx context.Context, host *standInHost) error {
	list, seq, err := f.source.encodedList(0, 0)
	if err != nil {
		return err
	}
	if host.Process, err = f.spawn(ctx, RoleStandIn); err != nil {
		return err
	}
	host.sentSeq, host.lastReport, host.baseReport = seq, reply{}, reply{}
	_, err = host.call(ctx, &command{Op: opOpen, Plan: f.plan, List: list, Ports: host.ports})
	return err
}

// stop ends all processes.
func (f *fleetRun) stop() {
	_ = forEachConcurrently(f.workers, func(w *worker) error { w.close(); return nil })
	for _, host := range f.standIns {
		if host.Process != nil {
			host.close()
		}
	}
	for _, r := range f.reservations {
		r.release()
	}
}

// forEach calls do for all items at once, and returns when all calls have, with the first error.
func forEachConcurrently[T any](items []T, do func(T) error) error {
	errs := make(chan error, len(items))
	for _, item := range items {
		go func() { errs <- do(item) }()
	}
	var first error
	for range items {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// change makes a new version of the list and sends it to the stand-ins that can be reached.
func (f *fleetRun) publish(ctx context.Context, hosts ...endpointlist.Host) (version, error) {
	seq, _, _ := f.source.state()
	published := version{seq: seq + 1, notBefore: time.Now()}
	f.source.apply(&endpointlist.List{Seq: published.seq, Hosts: hosts})
	return published, f.updateStandIns(ctx)
}

// send brings the stand-ins up to date that can be reached.
func (f *fleetRun) updateStandIns(ctx context.Context) error {
	return forEachConcurrently(f.standIns, func(host *standInHost) error {
		if host.Process == nil || host.cutOff {
			return nil
		}
		list, seq, err := f.source.encodedList(0, host.sentSeq)
		if err != nil {
			return err
		}
		host.sentSeq = seq
		_, err = host.call(ctx, &command{Op: opList, List: list})
		return err
	})
}

// randomChange returns a server of the list with its health changed: a ready one drains, another
// is ready again as a new process.
func (f *fleetRun) randomHealthChange() endpointlist.Host {
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	host := f.source.hosts[f.source.hostNames[f.random.IntN(len(f.source.hostNames))]].Host
	if host.Health == "ready" {
		host.Health = "draining"
	} else {
		host.Health, host.BornMs = "ready", float64(time.Now().UnixMilli())
	}
	return host
}

// agents returns those whose stand-in chosen reports true for.
func (f *fleetRun) agentsOf(include func(standIn int) bool) []int {
	var agents []int
	for i := range f.plan.Size.Agents {
		if include(f.plan.standInOf(i)) {
			agents = append(agents, i)
		}
	}
	return agents
}

// everywhere chooses all stand-ins.
func allStandIns(int) bool { return true }

// sampleAgents draws a part of the agents, one at least.
func (f *fleetRun) sampleAgents(share float64) []int {
	n := max(int(share*float64(f.plan.Size.Agents)), 1)
	agents := f.random.Perm(f.plan.Size.Agents)[:n]
	slices.Sort(agents)
	return agents
}
