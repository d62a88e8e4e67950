package controlplane

import (
	"context"
	"fmt"
	"time"
)

// calm starts the fleet and measures it without faults: its start, a span without a change, and changes
// of one server each.
func (c *caseRun) calm() {
	c.do(c.fleet.start)
	c.measureStart()
	c.beginPhase()
	c.sleep(c.fleet.plan.Calm)
	c.endPhase("calm")
	c.measureChanges()
}

// measureStart measures from each agent's start until it has its first list. A fleet in which no agent
// gets one ends the run.
func (c *caseRun) measureStart() {
	f, p := c.fleet, c.fleet.plan
	every := f.agents(everywhere)
	first := version{seq: firstVersion, since: f.phaseBegan}
	started := func(agent int) time.Time { return first.since.Add(p.startDelay(agent)) }
	took := newDelays()
	c.await(every, first)
	c.record(took, every, first, started)
	took.addTo(&c.result, "first")
	c.addCosts("start")
	c.do(func(ctx context.Context) error { return f.addMemory(ctx, &c.result) })
	c.do(func(context.Context) error {
		if took.without == p.Size.Agents { // fewer are a figure, as in any other phase
			return fmt.Errorf("start: no agent had a list after %v", p.Limit)
		}
		return nil
	})
}

// measureChanges makes the plan's changes one after the other.
func (c *caseRun) measureChanges() {
	every, took := c.fleet.agents(everywhere), newDelays()
	for range c.fleet.plan.Changes {
		c.measureChange(took, every, c.fleet.randomChange())
		c.sleep(changeInterval)
	}
	took.addTo(&c.result, "change")
	c.result.Add("changes", "count", float64(c.fleet.plan.Changes))
	c.addCosts("change")
}
