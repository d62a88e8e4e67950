package controlplane

import (
	"log/slog"
	"math"
	"testing"

	"ploverreel/internal/fleet"
)

// A line is fitted only through the fleets that differ in its parameter and in nothing else. It
// predicts the figure at the target size.
func TestFitSlopesUsesCasesThatDifferInOneParameter(t *testing.T) {
	var cases []fleet.Case
	addCase := func(name string, agents, servers float64) {
		c := fleet.Case{Name: name, Params: map[string]float64{"agents": agents, "servers": servers}}
		c.Add("standin_rss", "bytes", 10+agents)
		c.Add("agent_heap", "bytes", 5+2*servers)
		cases = append(cases, c)
	}
	for _, n := range []float64{1, 2, 4, 6} {
		addCase(caseAgents, n, 8)
		addCase(caseServers, 2, n)
	}
	addCase(caseServers, 2, 8)
	addCase(caseTarget, 8, 8)
	got := map[string]fleet.Fit{}
	for _, f := range fitSlopes(slog.New(slog.DiscardHandler), cases, fleet.Size{Agents: 8, Servers: 8}) {
		got[f.Figure] = f
	}
	for figure, want := range map[string]struct{ slope, target float64 }{"standin_rss": {1, 18}, "agent_heap": {2, 21}} {
		f := got[figure]
		if math.Abs(f.Slope-want.slope) > 1e-9 || math.Abs(f.AtTarget-want.target) > 1e-9 || f.Measured == nil || *f.Measured != want.target {
			t.Errorf("%s: got %+v, want slope %v and %v at the target", figure, f, want.slope, want.target)
		}
	}
	if len(got) != 2 {
		t.Errorf("got %d lines, want 2", len(got))
	}
}
