package controlplane

import (
	"log/slog"
	"slices"

	"ploverreel/internal/fleet"
)

// fittedFigures are the figures that straight lines are fitted through. The first group grows with
// the number of agents, the second with the length of the list.
var fittedFigures = []struct {
	cases   []string             // names of the cases
	over    string               // the parameter in which the cases differ
	target  func(fleet.Size) int // value of the parameter at the plan's size
	figures []string
}{
	{[]string{caseAgents, caseTarget}, "agents", func(s fleet.Size) int { return s.Agents },
		[]string{"first_p99", "change_p99", "change_all", "calm_standin_cpu_share", "calm_standin_bytes_s",
			"start_standin_cpu", "change_standin_cpu", "standin_rss"}},
	{[]string{caseServers}, "servers", func(s fleet.Size) int { return s.Servers },
		[]string{"start_agent_bytes", "start_agent_cpu", "start_agent_allocated", "change_agent_cpu", "agent_heap",
			"agent_rss"}},
}

// fitSlopes returns the lines of fittedFigures. A figure that too few cases have is left out with a
// warning. A case lacks a figure if not enough agents were reached.
func fitSlopes(log *slog.Logger, cases []fleet.Case, size fleet.Size) []fleet.Fit {
	var fits []fleet.Fit
	for _, group := range fittedFigures {
		var groupCases []fleet.Case
		for _, c := range cases {
			if slices.Contains(group.cases, c.Name) {
				groupCases = append(groupCases, c)
			}
		}
		for _, figure := range group.figures {
			f, err := fleet.FitLine(groupCases, figure, group.over, float64(group.target(size)))
			if err != nil {
				log.Warn("cannot fit a line", "err", err)
				continue
			}
			fits = append(fits, f)
		}
	}
	return fits
}
