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

// caseRun plays one case on a running fleet as a sequence of steps: begin a phase, change the list, wait
// until the change is in force, record what that took. The first error stays in err; the steps after it
// do nothing, so that only the end of a case has to look at it.
type caseRun struct {
	ctx    context.Context // of all steps
	fleet  *fleetRun
	result fleet.Case
	err    error
}

// version is a version of the endpoint list. Agents count as having it from the moment since on: what
// was in force at them before, as before a restart, is another process's.
type version struct {
	seq       int64
	notBefore time.Time
}

// newCase returns a case without figures, with the parameters of the fleet.
func (f *fleetRun) newCase(ctx context.Context, name string) *caseRun {
	p := f.plan
	params := map[string]float64{"agents": float64(p.Size.Agents), "servers": float64(p.Size.Servers),
		"standins": float64(p.StandIns * p.Size.Regions), "regions": float64(p.Size.Regions), "zones": float64(p.Size.Zones)}
	return &caseRun{ctx: ctx, fleet: f, result: fleet.Case{Name: name, Params: params}}
}

// do runs a step unless one before it failed.
func (c *caseRun) runStep(step func(context.Context) error) {
	if c.err == nil {
		c.err = step(c.ctx)
	}
}

// beginPhase begins a phase, whose costs addCosts adds.
func (c *caseRun) startPhase() { c.runStep(c.fleet.startPhase) }

// addCosts adds what the phase has cost so far; the figures' names begin with prefix.
func (c *caseRun) addCosts(prefix string) {
	c.runStep(func(ctx context.Context) error { return c.fleet.addCosts(ctx, &c.result, prefix) })
}

// endPhase adds the costs of the phase and begins the next.
func (c *caseRun) endPhase(prefix string) {
	c.addCosts(prefix)
	c.startPhase()
}

// sleep waits for a fixed span.
func (c *caseRun) sleep(d time.Duration) {
	c.runStep(func(ctx context.Context) error { return sleep(ctx, d) })
}

// change makes a version of the list with these hosts changed and sends it to the stand-ins that can be
// reached.
func (c *caseRun) publish(hosts ...endpointlist.Host) (published version) {
	c.runStep(func(ctx context.Context) (err error) {
		published, err = c.fleet.publish(ctx, hosts...)
		return err
	})
	return published
}

// await waits until a version is in force at the agents, for the plan's limit at most.
func (c *caseRun) awaitVersion(agents []int, v version) {
	c.runStep(func(ctx context.Context) error { return c.fleet.awaitVersion(ctx, agents, v) })
}

// record adds to the delays how long after begin the version was in force at each of the agents.
func (c *caseRun) recordDelays(d *delayStats, agents []int, v version, startOf func(agent int) time.Time) {
	c.runStep(func(context.Context) error { return d.addVersion(c.fleet, agents, v, startOf) })
}

// measureChange makes a change and adds to the delays how long it takes to be in force at the agents.
func (c *caseRun) measureChange(d *delayStats, agents []int, hosts ...endpointlist.Host) {
	v := c.publish(hosts...)
	c.awaitVersion(agents, v)
	c.recordDelays(d, agents, v, sameStart(v.notBefore))
}

// measureRecovery ends a fault: it adds how long after end a version is in force at agents that could not
// get it before, and what that cost.
func (c *caseRun) measureRecovery(prefix string, agents []int, v version, faultEnd time.Time) {
	delays := newDelayStats()
	c.awaitVersion(agents, v)
	c.recordDelays(delays, agents, v, sameStart(faultEnd))
	delays.addFigures(&c.result, prefix)
	c.addCosts(prefix)
}

// since returns the same moment for every agent.
func sameStart(t time.Time) func(agent int) time.Time { return func(int) time.Time { return t } }

// sleep waits for d, or until the context is done, whose cause it returns then.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
