package controlplane

import (
	"context"
	"time"
)

// standInKilled kills one stand-in and publishes a change while it is down. The configuration of an
// agent has a single address of discovery, so the agents of the killed stand-in get the change only
// after another stand-in starts at that address.
var standInKilled = fault{"stand-in killed", func(c *caseRun) {
	f := c.fleet
	host := f.standIns[0]
	host.kill()
	host.Process = nil
	killedAt := time.Now()
	c.sleep(changeInterval)
	affected := f.agentsOf(func(standIn int) bool { return standIn == 0 })
	unaffected := f.agentsOf(func(standIn int) bool { return standIn != 0 })

	delays := newDelayStats()
	v := c.publish(f.randomHealthChange())
	c.awaitVersion(unaffected, v)
	c.recordDelays(delays, unaffected, v, sameStart(v.notBefore))
	delays.addFigures(&c.result, "others")

	c.sleep(f.plan.Down - time.Since(killedAt))
	c.runStep(f.pollAgents)
	whileDown := newDelayStats()
	c.recordDelays(whileDown, affected, v, sameStart(v.notBefore))
	c.result.Add("down", "s", time.Since(killedAt).Seconds())
	c.result.Add("theirs_without_while_down", "count", float64(whileDown.unreached))
	c.endPhase("down")

	// An agent may apply the change before the new stand-in replies that it listens. The delay of
	// such an agent is recorded as the shortest that the histogram can hold.
	reopened := time.Now()
	c.runStep(func(ctx context.Context) error { return f.openStandIn(ctx, host) })
	c.measureRecovery("back", affected, version{v.seq, reopened}, time.Now())
}}
