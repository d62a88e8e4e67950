package controlplane

import "time"

// regionCutOff cuts the first region's stand-ins off the source of truth. They go on serving the list
// that they have; discovery's protocol has no field for its age, so that only the stand-ins know it.
var regionCutOff = fault{"region cut off", func(c *caseRun) {
	f, p := c.fleet, c.fleet.plan
	inside := func(standIn int) bool { return standIn < p.StandIns }
	outside := func(standIn int) bool { return !inside(standIn) }
	c.runStep(f.updateStandIns) // what the region gets last
	for i, host := range f.standIns {
		host.cutOff = inside(i)
	}
	began, delays := time.Now(), newDelayStats()
	unaffected := f.agentsOf(outside)
	changes := 0
	for c.err == nil && (changes == 0 || time.Since(began) < p.Cut) {
		c.measureChange(delays, unaffected, f.randomHealthChange())
		changes++
		c.sleep(min(p.CutEvery, p.Cut-time.Since(began)))
	}
	delays.addFigures(&c.result, "others")
	c.result.Add("changes", "count", float64(changes))
	c.result.Add("cut", "s", time.Since(began).Seconds())
	c.runStep(f.pollStandIns)
	c.result.Add("cut_list_age", "s", float64(f.reconnectStandIns())/1000)
	c.endPhase("cut")

	seq, _, _ := f.source.state()
	now := time.Now()
	c.runStep(f.updateStandIns)
	c.measureRecovery("healed", f.agentsOf(inside), version{seq, now}, now)
}}

// reconnect ends the cut and returns the age in milliseconds of the oldest list behind it, as last polled.
func (f *fleetRun) reconnectStandIns() (oldestMs int64) {
	for _, host := range f.standIns {
		if host.cutOff {
			oldestMs = max(oldestMs, host.lastReport.AgeMs)
		}
		host.cutOff = false
	}
	return oldestMs
}
