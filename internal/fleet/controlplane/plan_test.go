package controlplane

import (
	"errors"
	"testing"
	"time"

	"ploverreel/internal/fleet"
)

// Validate names the argument that is out of range or needs more resources than the machine has.
func TestPlanValidateNamesInvalidArgument(t *testing.T) {
	if err := smallPlan().Validate(); err != nil {
		t.Fatal(err)
	}
	for arg, invalidate := range map[string]func(*Plan){
		"servers":    func(p *Plan) { p.Sweep, p.Size.Agents = true, 32 },
		"agents":     func(p *Plan) { p.Size.Agents, p.Size.Servers = 100_000, 100_000 },
		"stand-ins":  func(p *Plan) { p.StandIns, p.Size.Regions, p.Processes = 100, 4, 1 },
		"processes":  func(p *Plan) { p.Processes = 0 },
		"changes":    func(p *Plan) { p.Changes = -1 },
		"calm":       func(p *Plan) { p.Calm = 0 },
		"limit":      func(p *Plan) { p.Limit = 2 * time.Hour },
		"spread":     func(p *Plan) { p.Spread = -1 },
		"membership": func(p *Plan) { p.Membership = "?" },
		"scope":      func(p *Plan) { p.Scope = "" },
	} {
		p := smallPlan()
		invalidate(p)
		var usage *fleet.UsageError
		if err := p.Validate(); !errors.As(err, &usage) || usage.Arg != arg {
			t.Errorf("got error %v, want a usage error of --%s", err, arg)
		}
	}
}
