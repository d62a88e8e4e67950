package datapath

import (
	"context"
	"fmt"
	"log/slog"

	"ploverreel/internal/fleet"
)

// Run runs all scenarios one after the other. It adds their cases, the fitted lines and the notes
// to the result. All processes that it started have ended when it returns. A scenario fails if an
// agent exits or does not start, or if the context ends. The error then names the scenario, and the
// cases before it stay in the result.
func (p *Plan) Run(ctx context.Context, log *slog.Logger, r *fleet.Result) error {
	r.Notes = append(r.Notes,
		"added_* is a quantile of the latency through the agents minus the same quantile of the direct latency, in one run. The latency of a served call is measured from when it was sent.",
		"cpu, memory and connections are means over the agents. connections are the connections to servers. The direct calls have servers of their own, whose connections are not included.",
		"*_new are the connections that were opened during the measurement. late_p99 is the 99th percentile of the delay with which the load generator sent the calls. Neither the latency through the agents nor the direct latency includes this delay.",
		"open: the answer time of the servers is chosen so that this number of requests is open at the given rate. Each open request holds one connection to a client and one to a server.")
	all := p.scenarios()
	families := map[string][]fleet.Case{}
	for i, s := range all {
		c, err := p.runScenario(ctx, log, s)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		r.Cases = append(r.Cases, c)
		families[fmt.Sprint(s.family, s.replicas)] = append(families[fmt.Sprint(s.family, s.replicas)], c)
		log.Info("case measured", "n", i+1, "of", len(all), "name", c.Name,
			"served", figureValue(c, "served_share"), "added_p50_ms", figureValue(c, "added_p50"), "added_p99_ms", figureValue(c, "added_p99"),
			"cpu_ms_per_1000", figureValue(c, "cpu_per_1000"), "rss_mb", figureValue(c, "rss")/(1<<20))
	}
	for _, replicas := range p.Replicas {
		for _, figure := range []string{"rss", "rss_peak", "cpu_per_1000"} {
			addFit(log, r, families[fmt.Sprint(familyList, replicas)], figure, "listed", float64(p.Size.Servers), replicas)
		}
	}
	addFit(log, r, families[fmt.Sprint(familyOpen, 1)], "rss_peak", "open", float64(p.Open[len(p.Open)-1]), 1)
	addFit(log, r, families[fmt.Sprint(familyOpen, 1)], "cpu_per_1000", "open", float64(p.Open[len(p.Open)-1]), 1)
	return nil
}

// addFit fits a line to a figure of a family's cases and adds it to the result. If there are too
// few sizes for a line, it logs that instead.
func addFit(log *slog.Logger, r *fleet.Result, cases []fleet.Case, figure, param string, target float64, replicas int) {
	fit, err := fleet.FitLine(cases, figure, param, target)
	if err != nil {
		log.Info("no line fitted", "why", err)
		return
	}
	fit.Figure = fmt.Sprintf("%s, %d replicas", figure, replicas)
	r.Fits = append(r.Fits, fit)
}

// figureValue returns the value of a case's figure, or 0 if the case does not have it.
func figureValue(c fleet.Case, name string) float64 {
	v, _ := c.Figure(name)
	return v
}
