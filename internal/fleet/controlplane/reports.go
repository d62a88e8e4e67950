package controlplane

import (
	"context"
	"time"
)

const (
	// pollInterval is the time between two polls of the agents' processes for versions in force.
	pollInterval = 100 * time.Millisecond
	// progressLogInterval is the minimum time between two log lines about the wait for a version.
	progressLogInterval = 5 * time.Second
)

// pollAgents takes in what the agents' processes report.
func (f *fleetRun) pollAgents(ctx context.Context) error { return f.pollWorkers(ctx, false) }

// pollWorkers takes in what the agents' processes report; with collect they collect their garbage first.
func (f *fleetRun) pollWorkers(ctx context.Context, collectGarbage bool) error {
	if err := forEachConcurrently(f.workers, func(w *worker) (err error) {
		w.lastReport, err = w.call(ctx, &command{Op: opReport, Heap: collectGarbage})
		return err
	}); err != nil {
		return err
	}
	for _, w := range f.workers {
		f.maxSchedulingDelayMs = max(f.maxSchedulingDelayMs, w.lastReport.LateMs)
		for _, e := range w.lastReport.Events {
			f.events[e.Agent] = append(f.events[e.Agent], e)
		}
	}
	return nil
}

// pollStandIns takes in what the stand-ins report.
func (f *fleetRun) pollStandIns(ctx context.Context) error {
	if err := forEachConcurrently(f.standIns, func(host *standInHost) error {
		if host.Process == nil {
			return nil
		}
		report, err := host.call(ctx, &command{Op: opReport})
		if err == nil {
			host.lastReport = report
		}
		return err
	}); err != nil {
		return err
	}
	for _, host := range f.standIns {
		if host.Process != nil {
			f.maxSchedulingDelayMs = max(f.maxSchedulingDelayMs, host.lastReport.LateMs)
			f.peakCallsPerSecond = max(f.peakCallsPerSecond, host.lastReport.Counts.CallsPeak)
		}
	}
	return nil
}

// inForceAt returns when a version came to be in force at an agent, and whether it did.
func (f *fleetRun) appliedAt(agent int, v version) (time.Time, bool) {
	for _, e := range f.events[agent] {
		if at := time.UnixMicro(e.At); e.Seq >= v.seq && !at.Before(v.notBefore.Truncate(time.Microsecond)) {
			return at, true
		}
	}
	return time.Time{}, false
}

// await waits until a version is in force at all of the agents, for the plan's limit at most.
func (f *fleetRun) awaitVersion(ctx context.Context, agents []int, v version) error {
	deadline, lastLog := time.Now().Add(f.plan.Limit), time.Now()
	for {
		if err := f.pollAgents(ctx); err != nil {
			return err
		}
		missing := 0
		for _, a := range agents {
			if _, ok := f.appliedAt(a, v); !ok {
				missing++
			}
		}
		if missing == 0 || time.Now().After(deadline) {
			return nil
		}
		if time.Since(lastLog) > progressLogInterval {
			lastLog = time.Now()
			f.log.Info("waiting", "version", v.seq, "agents", len(agents), "without it", missing)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}
