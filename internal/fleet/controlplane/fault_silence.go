package controlplane

import (
	"context"
	"time"
)

// discoverySilent silences all of discovery, changes the list meanwhile, and measures from the end of the
// silence.
var discoverySilent = fault{"discovery silent", func(c *caseRun) {
	f := c.fleet
	setSilent := func(silent bool) {
		c.runStep(func(ctx context.Context) error {
			return forEachConcurrently(f.standIns, func(host *standInHost) error {
				_, err := host.call(ctx, &command{Op: opSilence, Silent: silent})
				return err
			})
		})
	}
	setSilent(true)
	began := time.Now()
	c.sleep(min(time.Second, f.plan.Silent/2))
	v := c.publish(f.randomHealthChange())
	c.sleep(f.plan.Silent - time.Since(began))
	c.result.Add("silent", "s", time.Since(began).Seconds())
	c.endPhase("silent")

	now := time.Now()
	setSilent(false)
	c.measureRecovery("back", f.agentsOf(allStandIns), version{v.seq, now}, now)
}}
