package controlplane

import (
	"context"
	"time"

	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fleet"
)

// changeInterval is the wait after a change of the list. A change that follows sooner may reach an
// agent together with the one before it, as a single update.
const changeInterval = 300 * time.Millisecond

// caseRun measures one case on a running fleet in a sequence of steps. A typical sequence is: start
// a phase, publish a change of the list, wait until all agents have applied it, record the delays.
// After the first error the remaining steps do nothing, so only the caller of the case checks err.
type caseRun struct {
	ctx    context.Context // for all steps
	fleet  *fleetRun
	result fleet.Case
	err    error // of the first step that failed
}

// version is a version of the endpoint list, with the earliest time at which applying it counts in
// a measurement. An earlier event of an agent is ignored. It may be from before a restart of the
// agent.
type version struct {
	seq       int64
	notBefore time.Time
}

// newCase returns a case with the parameters of the fleet and without figures.
func (f *fleetRun) newCase(ctx context.Context, name string) *caseRun {
	p := f.plan
	params := map[string]float64{"agents": float64(p.Size.Agents), "servers": float64(p.Size.Servers),
		"standins": float64(p.StandIns * p.Size.Regions), "regions": float64(p.Size.Regions), "zones": float64(p.Size.Zones)}
	return &caseRun{ctx: ctx, fleet: f, result: fleet.Case{Name: name, Params: params}}
}

// runStep runs a step unless an earlier step failed.
func (c *caseRun) runStep(step func(context.Context) error) {
	if c.err == nil {
		c.err = step(c.ctx)
	}
}

// startPhase starts a phase. addCosts adds the costs since then.
func (c *caseRun) startPhase() { c.runStep(c.fleet.startPhase) }

// addCosts adds the costs of the phase so far, in figures whose names start with prefix.
func (c *caseRun) addCosts(prefix string) {
	c.runStep(func(ctx context.Context) error { return c.fleet.addCosts(ctx, &c.result, prefix) })
}

// endPhase adds the costs of the phase and starts the next phase.
func (c *caseRun) endPhase(prefix string) {
	c.addCosts(prefix)
	c.startPhase()
}

// sleep waits for a fixed time.
func (c *caseRun) sleep(d time.Duration) {
	c.runStep(func(ctx context.Context) error { return sleep(ctx, d) })
}

// publish makes a new version of the list, in which hosts replace the servers of the same name, and
// sends it to all stand-ins that are running and not cut off.
func (c *caseRun) publish(hosts ...endpointlist.Host) (published version) {
	c.runStep(func(ctx context.Context) (err error) {
		published, err = c.fleet.publish(ctx, hosts...)
		return err
	})
	return published
}

// awaitVersion waits until all of the agents have applied a version, but not longer than the plan's
// limit.
func (c *caseRun) awaitVersion(agents []int, v version) {
	c.runStep(func(ctx context.Context) error { return c.fleet.awaitVersion(ctx, agents, v) })
}

// recordDelays adds to d the time from startOf until each of the agents applied the version.
func (c *caseRun) recordDelays(d *delayStats, agents []int, v version, startOf func(agent int) time.Time) {
	c.runStep(func(context.Context) error { return d.addVersion(c.fleet, agents, v, startOf) })
}

// measureChange publishes a change and adds to d the time until each of the agents has applied it.
func (c *caseRun) measureChange(d *delayStats, agents []int, hosts ...endpointlist.Host) {
	v := c.publish(hosts...)
	c.awaitVersion(agents, v)
	c.recordDelays(d, agents, v, sameStart(v.notBefore))
}

// measureRecovery measures the recovery from a fault. It adds the delays from the end of the fault
// until the agents that could not get a version before apply it, and the costs of the phase.
func (c *caseRun) measureRecovery(prefix string, agents []int, v version, faultEnd time.Time) {
	delays := newDelayStats()
	c.awaitVersion(agents, v)
	c.recordDelays(delays, agents, v, sameStart(faultEnd))
	delays.addFigures(&c.result, prefix)
	c.addCosts(prefix)
}

// sameStart returns a function for recordDelays with which all delays start at t.
func sameStart(t time.Time) func(agent int) time.Time { return func(int) time.Time { return t } }

// sleep waits for d. If the context is done before, it returns the context's cause.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
