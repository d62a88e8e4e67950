package controlplane

import "time"

// regionCutOff disconnects the stand-ins of the first region from the source of truth. They
// continue to serve the last list that they received. The discovery protocol has no field for the
// age of a list, so the agents don't know the age; it is read from the stand-ins.
var regionCutOff = fault{"region cut off", func(c *caseRun) {
	f, p := c.fleet, c.fleet.plan
	inFirstRegion := func(standIn int) bool { return standIn < p.StandIns }
	inOtherRegions := func(standIn int) bool { return !inFirstRegion(standIn) }
	c.runStep(f.updateStandIns) // the last update that the region gets
	for i, host := range f.standIns {
		host.cutOff = inFirstRegion(i)
	}
	cutAt, delays := time.Now(), newDelayStats()
	unaffected := f.agentsOf(inOtherRegions)
	changes := 0
	for c.err == nil && (changes == 0 || time.Since(cutAt) < p.Cut) {
		c.measureChange(delays, unaffected, f.randomHealthChange())
		changes++
		c.sleep(min(p.CutEvery, p.Cut-time.Since(cutAt)))
	}
	delays.addFigures(&c.result, "others")
	c.result.Add("changes", "count", float64(changes))
	c.result.Add("cut", "s", time.Since(cutAt).Seconds())
	c.runStep(f.pollStandIns)
	c.result.Add("cut_list_age", "s", float64(f.reconnectStandIns())/1000)
	c.endPhase("cut")

	seq, _, _ := f.source.state()
	now := time.Now()
	c.runStep(f.updateStandIns)
	c.measureRecovery("healed", f.agentsOf(inFirstRegion), version{seq, now}, now)
}}

// reconnectStandIns ends the disconnection. It returns the age in milliseconds of the oldest list
// of the stand-ins that were disconnected, as of the last poll.
func (f *fleetRun) reconnectStandIns() (oldestMs int64) {
	for _, host := range f.standIns {
		if host.cutOff {
			oldestMs = max(oldestMs, host.lastReport.AgeMs)
		}
		host.cutOff = false
	}
	return oldestMs
}
