package controlplane

import (
	"context"
	"time"
)

// standInKilled kills a stand-in and makes a change without it. An agent's configuration names one
// address, so that the agents of that stand-in get the change when another is started there.
var standInKilled = fault{"stand-in killed", func(c *caseRun) {
	f := c.fleet
	host := f.standIns[0]
	host.kill()
	host.Process = nil
	killedAt := time.Now()
	c.sleep(changeInterval)
	affected := f.agents(func(standIn int) bool { return standIn == 0 })
	unaffected := f.agents(func(standIn int) bool { return standIn != 0 })

	took := newDelays()
	v := c.change(f.randomChange())
	c.await(unaffected, v)
	c.record(took, unaffected, v, since(v.since))
	took.addTo(&c.result, "others")

	c.sleep(f.plan.Down - time.Since(killedAt))
	c.do(f.pollAgents)
	during := newDelays()
	c.record(during, affected, v, since(v.since))
	c.result.Add("down", "s", time.Since(killedAt).Seconds())
	c.result.Add("theirs_without_while_down", "count", float64(during.without))
	c.endPhase("down")

	// Agents may have the change before the stand-in reports that it listens: their delay is none.
	reopened := time.Now()
	c.do(func(ctx context.Context) error { return f.open(ctx, host) })
	c.measureRecovery("back", affected, version{v.seq, reopened}, time.Now())
}}
