package controlplane

import (
	"context"
	"fmt"

	"ploverreel/internal/fleet"
)

// fault is something that fails in a calm fleet: the name of its case, and the steps that play it and
// measure the recovery. The phase before the first step has begun when play is called.
type fault struct {
	name string
	run  func(*caseRun)
}

// faults returns those that the plan's fleet can have, in the order in which they are played.
func (p *Plan) applicableFaults() []fault {
	faults := []fault{standInKilled, agentsRestarted, discoverySilent, zoneLost}
	if p.Size.Regions > 1 { // else no agent would be left to compare with
		faults = append(faults, regionCutOff)
	}
	return faults
}

// playFaults plays one fault after the other and returns a case of each. With an error it returns the
// cases before it.
func (f *fleetRun) runFaults(ctx context.Context) ([]fleet.Case, error) {
	var cases []fleet.Case
	for _, fault := range f.plan.applicableFaults() {
		f.log.Info("fault begins", "case", fault.name)
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
