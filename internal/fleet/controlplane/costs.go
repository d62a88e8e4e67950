package controlplane

import (
	"context"
	"time"

	"ploverreel/internal/fleet"
)

// startPhase starts a phase, which is a time over which costs are measured. It discards the events
// of earlier phases.
func (f *fleetRun) startPhase(ctx context.Context) error {
	if err := f.pollAgents(ctx); err != nil {
		return err
	}
	if err := f.pollStandIns(ctx); err != nil {
		return err
	}
	for i := range f.events {
		f.events[i] = f.events[i][:0]
	}
	for _, w := range f.workers {
		w.baseReport = w.lastReport
	}
	for _, host := range f.standIns {
		host.baseReport = host.lastReport
	}
	f.phaseStart, f.maxSchedulingDelayMs, f.peakCallsPerSecond = time.Now(), 0, 0
	return nil
}

// addCosts adds to a case the costs of the phase so far: averages per agent and per stand-in, the
// duration, the longest scheduling delay, and the peak of the calls to a stand-in. The names of the
// figures start with prefix. The costs of a stand-in that was replaced are those since the start of
// its new process.
func (f *fleetRun) addCosts(ctx context.Context, c *fleet.Case, prefix string) error {
	seconds := time.Since(f.phaseStart).Seconds()
	if err := f.pollAgents(ctx); err != nil {
		return err
	}
	if err := f.pollStandIns(ctx); err != nil {
		return err
	}
	agents, standIns := float64(f.plan.Size.Agents), float64(len(f.standIns))
	var cpu, allocated, standInCPU float64
	var served servedCounts
	for _, w := range f.workers {
		cpu += w.lastReport.Usage.CPUMs - w.baseReport.Usage.CPUMs
		allocated += w.lastReport.Usage.Allocated - w.baseReport.Usage.Allocated
	}
	for _, host := range f.standIns {
		standInCPU += host.lastReport.Usage.CPUMs - host.baseReport.Usage.CPUMs
		served.Calls += host.lastReport.Counts.Calls - host.baseReport.Counts.Calls
		served.Lists += host.lastReport.Counts.Lists - host.baseReport.Counts.Lists
		served.Heartbeats += host.lastReport.Counts.Heartbeats - host.baseReport.Counts.Heartbeats
		served.Bytes += host.lastReport.Counts.Bytes - host.baseReport.Counts.Bytes
		served.BytesRead += host.lastReport.Counts.BytesRead - host.baseReport.Counts.BytesRead
	}
	bytes := float64(served.Bytes + served.BytesRead)
	c.Add(prefix+"_took", "s", seconds)
	c.Add(prefix+"_late", "s", f.maxSchedulingDelayMs/1000)
	c.Add(prefix+"_agent_bytes", "bytes", bytes/agents)
	c.Add(prefix+"_agent_bytes_s", "bytes/s", bytes/agents/seconds)
	c.Add(prefix+"_agent_lists", "count", float64(served.Lists)/agents)
	c.Add(prefix+"_agent_lives", "count", float64(served.Heartbeats)/agents)
	c.Add(prefix+"_agent_calls", "count", float64(served.Calls)/agents)
	c.Add(prefix+"_agent_cpu", "ms", cpu/agents)
	c.Add(prefix+"_agent_cpu_share", "share", cpu/1000/agents/seconds)
	c.Add(prefix+"_agent_allocated", "bytes", allocated/agents)
	c.Add(prefix+"_standin_bytes_s", "bytes/s", bytes/standIns/seconds)
	c.Add(prefix+"_standin_calls", "count", float64(served.Calls)/standIns)
	c.Add(prefix+"_standin_calls_peak_s", "count", float64(f.peakCallsPerSecond))
	c.Add(prefix+"_standin_cpu", "ms", standInCPU/standIns)
	c.Add(prefix+"_standin_cpu_share", "share", standInCPU/1000/standIns/seconds)
	return nil
}

// addMemory adds to a case the average memory of an agent, after a garbage collection, and the
// largest memory of a stand-in.
func (f *fleetRun) addMemory(ctx context.Context, c *fleet.Case) error {
	if err := f.pollWorkers(ctx, true); err != nil {
		return err
	}
	if err := f.pollStandIns(ctx); err != nil {
		return err
	}
	var heap, rss, standIn float64
	for _, w := range f.workers {
		heap, rss = heap+w.lastReport.Usage.Heap, rss+w.lastReport.Usage.RSS
	}
	for _, host := range f.standIns {
		standIn = max(standIn, host.lastReport.Usage.RSS)
	}
	c.Add("agent_heap", "bytes", heap/float64(f.plan.Size.Agents))
	c.Add("agent_rss", "bytes", rss/float64(f.plan.Size.Agents))
	c.Add("standin_rss", "bytes", standIn)
	return nil
}
