package controlplane

import (
	"context"
	"fmt"

	"ploverreel/internal/fleet"
)

// fault is a failure in a fleet that had none before. run has the steps that cause the fault and
// measure the recovery. It is called after the start of the first phase.
type fault struct {
	name string // of the case
	run  func(*caseRun)
}

// applicableFaults returns the faults that are possible in the plan's fleet, in the order in which
// they are run.
func (p *Plan) applicableFaults() []fault {
	faults := []fault{standInKilled, agentsRestarted, discoverySilent, zoneLost}
	if p.Size.Regions > 1 { // with one region, no agents would be left to compare with
		faults = append(faults, regionCutOff)
	}
	return faults
}

// runFaults runs one fault after the other and returns a case for each. If a fault fails with an
// error, it returns the error and the cases before it.
func (f *fleetRun) runFaults(ctx context.Context) ([]fleet.Case, error) {
	var cases []fleet.Case
	for _, fault := range f.plan.applicableFaults() {
		f.log.Info("fault starts", "case", fault.name)
		c := f.newCase(ctx, fault.name)
		c.startPhase()
		if c.err == nil {
			fault.run(c)
		}
		if c.err != nil {
			return cases, fmt.Errorf("%s: %w", fault.name, c.err)
		}
		cases = append(cases, c.result)
	}
	return cases, nil
}
