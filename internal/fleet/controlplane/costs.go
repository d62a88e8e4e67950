package controlplane

import (
	"context"
	"time"

	"ploverreel/internal/fleet"
)

// beginPhase begins a phase, a span whose costs are measured: what came to be in force before is
// forgotten.
func (f *fleetRun) beginPhase(ctx context.Context) error {
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
		w.base = w.last
	}
	for _, host := range f.standIns {
		host.base = host.last
	}
	f.phaseBegan, f.maxDelayMs, f.peakCalls = time.Now(), 0, 0
	return nil
}

// addCosts adds to a case what the phase has cost an agent and a stand-in so far; the figures' names begin
// with prefix. A stand-in that was replaced counts from its start.
func (f *fleetRun) addCosts(ctx context.Context, c *fleet.Case, prefix string) error {
	took := time.Since(f.phaseBegan).Seconds()
	if err := f.pollAgents(ctx); err != nil {
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
	for _, host := range f.standIns {
		standInCPU += host.last.Usage.CPUMs - host.base.Usage.CPUMs
		n.Calls += host.last.Counts.Calls - host.base.Counts.Calls
		n.Lists += host.last.Counts.Lists - host.base.Counts.Lists
		n.Heartbeats += host.last.Counts.Heartbeats - host.base.Counts.Heartbeats
		n.Bytes += host.last.Counts.Bytes - host.base.Counts.Bytes
		n.BytesRead += host.last.Counts.BytesRead - host.base.Counts.BytesRead
	}
	bytes := float64(n.Bytes + n.BytesRead)
	c.Add(prefix+"_took", "s", took)
	c.Add(prefix+"_late", "s", f.maxDelayMs/1000)
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
	c.Add(prefix+"_standin_calls_peak_s", "count", float64(f.peakCalls))
	c.Add(prefix+"_standin_cpu", "ms", standInCPU/standIns)
	c.Add(prefix+"_standin_cpu_share", "share", standInCPU/1000/standIns/took)
	return nil
}

// addMemory adds to a case the memory that agents and stand-ins use, after a garbage collection.
func (f *fleetRun) addMemory(ctx context.Context, c *fleet.Case) error {
	if err := f.pollWorkers(ctx, true); err != nil {
		return err
	}
	if err := f.pollStandIns(ctx); err != nil {
		return err
	}
	var heap, rss, standIn float64
	for _, w := range f.workers {
		heap, rss = heap+w.last.Usage.Heap, rss+w.last.Usage.RSS
	}
	for _, host := range f.standIns {
		standIn = max(standIn, host.last.Usage.RSS)
	}
	c.Add("agent_heap", "bytes", heap/float64(f.plan.Size.Agents))
	c.Add("agent_rss", "bytes", rss/float64(f.plan.Size.Agents))
	c.Add("standin_rss", "bytes", standIn)
	return nil
}
