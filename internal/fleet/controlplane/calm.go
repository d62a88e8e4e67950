package controlplane

import (
	"context"
	"fmt"
	"time"
)

// runWithoutFaults starts the fleet and measures three phases without faults: the start, a time
// without changes of the list, and changes of one server each.
func (c *caseRun) runWithoutFaults() {
	c.runStep(c.fleet.start)
	c.measureStart()
	c.startPhase()
	c.sleep(c.fleet.plan.Calm)
	c.endPhase("calm")
	c.measureChanges()
}

// measureStart measures the time from each agent's start until it has applied its first list. If no
// agent gets a list, the run ends with an error.
func (c *caseRun) measureStart() {
	f, p := c.fleet, c.fleet.plan
	all := f.agentsOf(allStandIns)
	first := version{seq: firstVersion, notBefore: f.phaseStart}
	started := func(agent int) time.Time { return first.notBefore.Add(p.startDelay(agent)) }
	delays := newDelayStats()
	c.awaitVersion(all, first)
	c.recordDelays(delays, all, first, started)
	delays.addFigures(&c.result, "first")
	c.addCosts("start")
	c.runStep(func(ctx context.Context) error { return f.addMemory(ctx, &c.result) })
	c.runStep(func(context.Context) error {
		if delays.unreached == p.Size.Agents { // a smaller number is only reported as a figure, as in other phases
			return fmt.Errorf("start: no agent had a list after %v", p.Limit)
		}
		return nil
	})
}

// measureChanges publishes the plan's number of changes, one after the other, and measures each.
func (c *caseRun) measureChanges() {
	all, delays := c.fleet.agentsOf(allStandIns), newDelayStats()
	for range c.fleet.plan.Changes {
		c.measureChange(delays, all, c.fleet.randomHealthChange())
		c.sleep(changeInterval)
	}
	delays.addFigures(&c.result, "change")
	c.result.Add("changes", "count", float64(c.fleet.plan.Changes))
	c.addCosts("change")
}
