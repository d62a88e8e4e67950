package controlplane

import (
	"context"
	"fmt"
	"log/slog"

	"ploverreel/internal/fleet"
)

// sweepAgentShare multiplies the plan's number of agents in the fleets that differ in the length of
// the list.
const sweepAgentShare = 0.25

// sweepShares multiply the plan's number of agents, or of servers, in the smaller fleets whose
// figures the slopes are fitted through.
var sweepShares = []float64{0.125, 0.25, 0.5, 0.75}

// The names of the cases without a fault.
const (
	caseAgents  = "agents"  // the fleet at several numbers of agents
	caseServers = "servers" // the fleet at several numbers of servers, which are the entries of the list
	caseTarget  = "target"  // the fleet at the plan's size
)

// Run measures the fleets of the plan in processes that spawn starts. It returns the cases and the
// lines that are fitted through their figures. All processes have ended when it returns. If it
// returns an error (an invalid plan, a process that died, the context's cause), the cases are those
// that were complete before the error.
func Run(ctx context.Context, log *slog.Logger, plan *Plan, spawn Spawn) ([]fleet.Case, []fleet.Fit, error) {
	if err := plan.Validate(); err != nil {
		return nil, nil, err
	}
	var cases []fleet.Case
	for _, planned := range plan.plannedFleets() {
		log.Info("fleet starts", "case", planned.name, "agents", planned.plan.Size.Agents, "servers", planned.plan.Size.Servers)
		fleetCases, err := planned.run(ctx, log, spawn)
		cases = append(cases, fleetCases...)
		if err != nil {
			return cases, nil, err
		}
	}
	if !plan.Sweep {
		return cases, nil, nil
	}
	return cases, fitSlopes(log, cases, plan.Size), nil
}

// plannedFleet is one fleet that a run starts, measures and stops.
type plannedFleet struct {
	name       string // of its case without faults
	plan       Plan
	withFaults bool // run the faults too
}

// plannedFleets returns the fleets of a run in the order in which they are measured.
func (p *Plan) plannedFleets() []plannedFleet {
	var fleets []plannedFleet
	if p.Sweep {
		for _, share := range sweepShares {
			fleets = append(fleets, plannedFleet{name: caseAgents, plan: p.scaled(share, 1)})
		}
		for _, share := range sweepShares {
			fleets = append(fleets, plannedFleet{name: caseServers, plan: p.scaled(sweepAgentShare, share)})
		}
		fleets = append(fleets, plannedFleet{name: caseServers, plan: p.scaled(sweepAgentShare, 1)})
	}
	return append(fleets, plannedFleet{name: caseTarget, plan: *p, withFaults: p.Faults})
}

// run measures the fleet. It returns the case without faults, followed by the cases of the faults.
func (p *plannedFleet) run(ctx context.Context, log *slog.Logger, spawn Spawn) ([]fleet.Case, error) {
	f := newFleetRun(&p.plan, log, spawn)
	defer f.stop()
	c := f.newCase(ctx, p.name)
	c.runWithoutFaults()
	if c.err != nil {
		return nil, fmt.Errorf("%s: %w", p.name, c.err)
	}
	cases := []fleet.Case{c.result}
	if !p.withFaults {
		return cases, nil
	}
	faultCases, err := f.runFaults(ctx)
	return append(cases, faultCases...), err
}
