package controlplane

import (
	"context"
	"time"
)

const (
	// pollInterval is the time between two polls of the agents' processes while a version is
	// awaited.
	pollInterval = 100 * time.Millisecond
	// progressLogInterval is the minimum time between two log lines about the wait for a version.
	progressLogInterval = 5 * time.Second
)

// pollAgents gets a report from each process of agents.
func (f *fleetRun) pollAgents(ctx context.Context) error { return f.pollWorkers(ctx, false) }

// pollWorkers gets a report from each process of agents and adds its events to the phase. If
// collectGarbage is set, the processes collect their garbage before they measure their usage.
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

// pollStandIns gets a report from each stand-in that runs.
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

// appliedAt returns when an agent applied a version, or a later one that includes it, and whether
// it did.
func (f *fleetRun) appliedAt(agent int, v version) (time.Time, bool) {
	for _, e := range f.events[agent] {
		if at := time.UnixMicro(e.At); e.Seq >= v.seq && !at.Before(v.notBefore.Truncate(time.Microsecond)) {
			return at, true
		}
	}
	return time.Time{}, false
}

// awaitVersion waits until all of the agents have applied a version, but not longer than the plan's
// limit. It returns no error if the limit is reached; the delays then have agents that were not
// reached.
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
			f.log.Info("waiting until agents apply a version", "version", v.seq, "agents", len(agents), "without it", missing)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}
