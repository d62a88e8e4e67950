package main

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"ploverreel/internal/fleet"
	"ploverreel/internal/fleet/model"
)

// fleetCmd plays the whole fleet in virtual time.
type fleetCmd struct {
	fleet.Size    `embed:""`
	output        `embed:""`
	Scenarios     []string `help:"Scenarios to play; they are described below. Formerly --days." aliases:"days" default:"calm,rack,half,zone,region,replace,cold,start"`
	Mixed         bool     `help:"Send requests of four classes and two tenants in place of one, and play each scenario a second time with a policy that sees the servers' state late, to compare with."`
	SettingsScope []string `help:"Whose replicas and quota the agents' settings hold: those of the whole fleet, or those of the service that an agent calls. Each scenario is played once for each. Formerly --told." aliases:"told" enum:"fleet,service" default:"fleet,service"`
	Seconds       float64  `help:"Virtual seconds that a scenario is played and counted, after two in which it settles." default:"12"`
	Cores         int      `help:"Cores of a server." default:"1"`
	Load          float64  `help:"Part of their time in which the servers work; with rate and cores it sets the work of a request." default:"0.55"`
	Slope         bool     `help:"Play the calm scenario at a 16th, an 8th, a quarter and half of the size as well, and fit lines." default:"true" negatable:""`
	Jobs          int      `help:"Scenarios played at the same time; each takes one core." default:"2"`
}

// Help returns the text that --help prints under the summary.
func (*fleetCmd) Help() string {
	text := "Every agent is one module of its own, every server a queue, and time is virtual: a run prints the same " +
		"figures for the same seed on any machine. Each agent calls one service and lists that one's servers; calls at all depths " +
		"count alike.\n\nThe scenarios:"
	for _, scenario := range model.Scenarios() {
		text += fmt.Sprintf("\n\n%s: %s.", scenario.Name, scenario.Help)
	}
	return text
}

// The scopes of the agents' settings: whose replicas and quota they hold.
const (
	fleetScope   = "fleet"
	serviceScope = "service"
)

// play is one scenario at one size.
type play struct {
	scenario model.Scenario
	scope    string // of the settings: fleetScope or serviceScope
	size     fleet.Size
	part     string      // suffix of its case's name for a part of the size; "" for the whole
	result   *fleet.Case // nil until it is played
}

// scopeSuffix ends the names of the cases and fits of a scope. It is part of the keys of stored results.
func scopeSuffix(scope string) string { return ", told of the " + scope }

const (
	calmScenario = "calm" // without a fault

	maxSeconds = 3600.0 // of a play
	maxJobs    = 64
	// bytesPerCall and bytesPerAgent are the memory of a play for each call a second and each agent.
	bytesPerCall, bytesPerAgent = 1500.0, 100_000.0
)

// Run plays all scenarios and writes the result, also that of what was played before one failed.
func (f *fleetCmd) Run(ctx context.Context, log *slog.Logger) error {
	plays, err := f.plays()
	if err != nil {
		return err
	}
	result := fleet.NewResult("fleet", f.args(), f.Size)
	result.Notes = append(result.Notes, "in virtual time: the figures are those of the model, the same on any machine",
		"calls at all depths count alike: a call waits for no deeper one")
	cause := f.playAll(ctx, log, plays)
	for _, p := range plays {
		if p.result != nil {
			result.Cases = append(result.Cases, *p.result)
		}
	}
	if cause == nil && f.Slope {
		result.Fits, cause = f.fits(plays)
	}
	return f.finish(result, cause)
}

// args returns the run's flags besides its size, as the result keeps them.
func (f *fleetCmd) args() []string {
	return []string{"--scenarios=" + strings.Join(f.Scenarios, ","), "--settings-scope=" + strings.Join(f.SettingsScope, ","),
		fmt.Sprint("--seconds=", f.Seconds), fmt.Sprint("--cores=", f.Cores), fmt.Sprint("--load=", f.Load),
		fmt.Sprint("--slope=", f.Slope), fmt.Sprint("--mixed=", f.Mixed)}
}

// plays lists what is to be played. Its error is a *fleet.UsageError that names the argument.
func (f *fleetCmd) plays() ([]*play, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	switch {
	case !(f.Seconds >= 1) || f.Seconds > maxSeconds:
		return nil, fleet.Usage("seconds", "must be from 1 to %g, is %v", maxSeconds, f.Seconds)
	case f.Jobs < 1 || f.Jobs > maxJobs:
		return nil, fleet.Usage("jobs", "must be from 1 to %d, is %d", maxJobs, f.Jobs)
	}
	if len(f.Scenarios) == 0 || len(f.SettingsScope) == 0 {
		return nil, fleet.Usage("scenarios", "none to play")
	}
	if err := fleet.CheckMemory("rate", float64(f.Jobs)*(bytesPerCall*f.Rate+bytesPerAgent*float64(f.Agents))); err != nil {
		return nil, err
	}
	cfg, err := model.ConfigOf(f.Size, f.Cores, f.Load)
	if err != nil {
		return nil, err
	}
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	var plays []*play
	for _, scope := range f.SettingsScope {
		for _, name := range f.Scenarios {
			scenario, err := model.FindScenario(name)
			if err != nil {
				return nil, err
			}
			plays = append(plays, &play{scenario: scenario, scope: scope, size: f.Size})
		}
	}
	if !f.Slope {
		return plays, nil
	}
	calm, err := model.FindScenario(calmScenario)
	if err != nil {
		return nil, err
	}
	for _, scope := range f.SettingsScope {
		for _, part := range []int{16, 8, 4, 2} {
			size := f.Size
			size.Agents, size.Servers, size.Services = size.Agents/part, size.Servers/part, max(size.Services/part, 1)
			size.Rate /= float64(part)
			if size.Agents < size.Services || size.Servers < size.Zones {
				return nil, fleet.Usage("slope", "a %dth of %d agents and %d servers is too few; use --no-slope",
					part, f.Agents, f.Servers)
			}
			plays = append(plays, &play{scenario: calm, scope: scope, size: size, part: fmt.Sprintf(", 1/%d", part)})
		}
	}
	return plays, nil
}

// playAll plays them, so many at a time, until all are done, one fails or ctx ends.
func (f *fleetCmd) playAll(ctx context.Context, log *slog.Logger, plays []*play) error {
	return runJobs(ctx, min(f.Jobs, len(plays)), slices.Values(plays), func(ctx context.Context, p *play) error {
		return f.play(ctx, log, p)
	})
}

// play plays one scenario, under the delayed-view baseline as well where the traffic is mixed, and keeps
// its figures.
func (f *fleetCmd) play(ctx context.Context, log *slog.Logger, p *play) error {
	cfg, err := model.ConfigOf(p.size, f.Cores, f.Load)
	if err != nil {
		return err
	}
	cfg.QuotaOfService = p.scope == serviceScope
	log = log.With("settingsScope", p.scope, "agents", p.size.Agents)
	log.Info("begins", "scenario", p.scenario.Name)
	if f.Mixed {
		cfg.SetMixedTraffic()
	}
	found, err := p.scenario.Run(ctx, cfg, f.Seconds, log)
	if err == nil && f.Mixed {
		cfg.DelayedView = true
		err = p.scenario.AddBaseline(ctx, cfg, f.Seconds, log.With("policy", "delayed view"), found)
	}
	if err != nil {
		return fmt.Errorf("%s%s: %w", p.scenario.Name, scopeSuffix(p.scope), err)
	}
	found.Name = p.scenario.Name + scopeSuffix(p.scope) + p.part
	found.Params["seconds"] = f.Seconds
	p.result = found
	attrs := []any{"scenario", p.scenario.Name}
	for _, figure := range found.Figures {
		attrs = append(attrs, strings.ReplaceAll(figure.Name, " ", "-"), fmt.Sprintf("%.4g", figure.Value))
	}
	log.Info("ended", attrs...)
	return nil
}

// fits returns lines through the figures that may grow with the fleet, of the calm scenario.
func (f *fleetCmd) fits(plays []*play) ([]fleet.Fit, error) {
	var fits []fleet.Fit
	for _, scope := range f.SettingsScope {
		var cases []fleet.Case
		for _, p := range plays {
			if p.scope == scope && p.scenario.Name == calmScenario {
				cases = append(cases, *p.result)
			}
		}
		for _, figure := range []string{model.FigureRejectedFirst, model.FigureFirstAttemptWaitP99, model.FigureMaxPending} {
			fit, err := fleet.FitLine(cases, figure, "agents", float64(f.Agents))
			if err != nil {
				return nil, err
			}
			fit.Figure += scopeSuffix(scope)
			fits = append(fits, fit)
		}
	}
	return fits, nil
}
