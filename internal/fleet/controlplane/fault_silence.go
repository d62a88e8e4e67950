package controlplane

import (
	"context"
	"time"
)

// discoverySilent makes all stand-ins silent, which means that they accept calls and write nothing.
// It publishes a change during the silence. The delays start at the end of the silence.
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
	silentFrom := time.Now()
	c.sleep(min(time.Second, f.plan.Silent/2))
	v := c.publish(f.randomHealthChange())
	c.sleep(f.plan.Silent - time.Since(silentFrom))
	c.result.Add("silent", "s", time.Since(silentFrom).Seconds())
	c.endPhase("silent")

	now := time.Now()
	setSilent(false)
	c.measureRecovery("back", f.agentsOf(allStandIns), version{v.seq, now}, now)
}}
