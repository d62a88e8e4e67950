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

// fleetStream selects the random stream, under the plan's seed, for the changes and samples of a
// fleet.
const fleetStream = 2

// fleetRun is a fleet that is measured: its processes and what they reported.
type fleetRun struct {
	plan         *Plan
	log          *slog.Logger
	spawn        Spawn
	random       *rand.Rand
	source       *endpointStore // the source of truth
	reservations []reservation  // the ports of all stand-ins, by stand-in and scope
	standIns     []*standInHost
	workers      []*worker

	// The state of the current phase; startPhase resets it.
	phaseStart           time.Time
	events               [][]event // by agent
	maxSchedulingDelayMs float64   // longest wait of a process for a processor
	peakCallsPerSecond   int64     // largest number of calls to one stand-in in one second
}

// standInHost is the place of a stand-in. Its process may be killed and replaced; its ports stay
// the same.
type standInHost struct {
	*Process                     // nil: no process runs
	ports                  []int // one for each scope
	cutOff                 bool  // gets no updates from the source of truth
	sentSeq                int64 // last version that was sent to it
	lastReport, baseReport reply // the last report, and the report at the start of the phase
}

// worker is a process that runs agents.
type worker struct {
	*Process
	agents                 []int
	lastReport, baseReport reply // the last report, and the report at the start of the phase
}

// newFleetRun returns a fleet whose processes are not started yet.
func newFleetRun(p *Plan, log *slog.Logger, spawn Spawn) *fleetRun {
	return &fleetRun{plan: p, log: log, spawn: spawn, random: rand.New(rand.NewPCG(p.Size.Seed, fleetStream))}
}

// start starts the stand-ins, then the agents, and the first phase. The caller has to stop the
// fleet even if start returns an error.
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

// startStandIns reserves the ports of all stand-ins and starts the stand-ins.
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

// startWorkers starts the processes of the agents and distributes the agents over them. The agents
// themselves start with opOpen.
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

// openStandIn starts a stand-in at the ports of a host, with the current list.
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

// stop ends all processes and releases the ports.
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

// forEachConcurrently calls do for all items concurrently. It returns the first error after all
// calls have returned.
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

// publish makes a new version of the list, in which hosts replace the servers of the same name, and
// sends it to the stand-ins. The time of the version is the time at which the source of truth gets
// it.
func (f *fleetRun) publish(ctx context.Context, hosts ...endpointlist.Host) (version, error) {
	seq, _, _ := f.source.state()
	published := version{seq: seq + 1, notBefore: time.Now()}
	f.source.apply(&endpointlist.List{Seq: published.seq, Hosts: hosts})
	return published, f.updateStandIns(ctx)
}

// updateStandIns sends the changes since its last version to each stand-in that runs and is not cut
// off.
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

// randomHealthChange returns a random server of the list with another health. A server that was
// ready is draining. Any other server is ready again, as a new process.
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

// agentsOf returns the agents of those stand-ins for which include returns true.
func (f *fleetRun) agentsOf(include func(standIn int) bool) []int {
	var agents []int
	for i := range f.plan.Size.Agents {
		if include(f.plan.standInOf(i)) {
			agents = append(agents, i)
		}
	}
	return agents
}

// allStandIns includes every stand-in.
func allStandIns(int) bool { return true }

// sampleAgents returns a random sample with the given share of the agents, but at least one.
func (f *fleetRun) sampleAgents(share float64) []int {
	n := max(int(share*float64(f.plan.Size.Agents)), 1)
	agents := f.random.Perm(f.plan.Size.Agents)[:n]
	slices.Sort(agents)
	return agents
}
