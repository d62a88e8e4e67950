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

// fleetCmd simulates the whole fleet in virtual time.
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
	text := "Each agent is a policy module of its own, each server is a queue, and time is virtual: a run gives the same " +
		"figures for the same seed on any machine. Each agent calls one service and lists the servers of that service. Calls " +
		"at all depths are treated alike.\n\nThe scenarios:"
	for _, scenario := range model.Scenarios() {
		text += fmt.Sprintf("\n\n%s: %s.", scenario.Name, scenario.Help)
	}
	return text
}

// Scopes of the agents' settings. The settings hold the replicas and the quota of the whole fleet,
// or those of the service that the agent calls.
const (
	fleetScope   = "fleet"
	serviceScope = "service"
)

// scenarioRun is one run of a scenario, with one scope of the settings and one size.
type scenarioRun struct {
	scenario   model.Scenario
	scope      string // fleetScope or serviceScope
	size       fleet.Size
	sizeSuffix string      // suffix of the case's name for a fraction of the size, "" for the full size
	result     *fleet.Case // nil until the run has ended
}

// scopeNameSuffix returns the suffix of the names of a scope's cases and fits. Stored results have
// these names.
func scopeNameSuffix(scope string) string { return ", told of the " + scope }

const (
	// calmScenarioName is the scenario without a fault, through whose figures lines are fitted.
	calmScenarioName = "calm"

	// maxVirtualSeconds bounds the duration of a scenario, in virtual seconds.
	maxVirtualSeconds = 3600.0
	// maxJobs bounds the number of runs at the same time.
	maxJobs = 64
	// bytesPerCallPerSecond and bytesPerAgent multiply the rate and the number of agents. The sum
	// of the products is the memory that a run needs.
	bytesPerCallPerSecond, bytesPerAgent = 1500.0, 100_000.0
)

// Run runs all scenarios and writes the result. If a scenario fails, the result has the cases of the
// scenarios that ended before.
func (f *fleetCmd) Run(ctx context.Context, log *slog.Logger) error {
	runs, err := f.scenarioRuns()
	if err != nil {
		return err
	}
	result := fleet.NewResult("fleet", f.resultArgs(), f.Size)
	result.Notes = append(result.Notes, "Times are virtual. The figures come from the model and are the same on any machine.",
		"Calls at all depths are treated alike: no call waits for a deeper call.")
	runErr := f.runAll(ctx, log, runs)
	for _, run := range runs {
		if run.result != nil {
			result.Cases = append(result.Cases, *run.result)
		}
	}
	if runErr == nil && f.Slope {
		result.Fits, runErr = f.fits(runs)
	}
	return f.saveResult(result, runErr)
}

// resultArgs returns the flags that are stored in the result. Those of the size are stored
// separately.
func (f *fleetCmd) resultArgs() []string {
	return []string{"--scenarios=" + strings.Join(f.Scenarios, ","), "--settings-scope=" + strings.Join(f.SettingsScope, ","),
		fmt.Sprint("--seconds=", f.Seconds), fmt.Sprint("--cores=", f.Cores), fmt.Sprint("--load=", f.Load),
		fmt.Sprint("--slope=", f.Slope), fmt.Sprint("--mixed=", f.Mixed)}
}

// scenarioRuns returns the runs to do. It returns a *fleet.UsageError for the first invalid
// argument.
func (f *fleetCmd) scenarioRuns() ([]*scenarioRun, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	switch {
	case !(f.Seconds >= 1) || f.Seconds > maxVirtualSeconds:
		return nil, fleet.NewUsageError("seconds", "must be from 1 to %g, is %v", maxVirtualSeconds, f.Seconds)
	case f.Jobs < 1 || f.Jobs > maxJobs:
		return nil, fleet.NewUsageError("jobs", "must be from 1 to %d, is %d", maxJobs, f.Jobs)
	}
	if len(f.Scenarios) == 0 || len(f.SettingsScope) == 0 {
		return nil, fleet.NewUsageError("scenarios", "no scenario or no settings scope given")
	}
	if err := fleet.CheckMemory("rate", float64(f.Jobs)*(bytesPerCallPerSecond*f.Rate+bytesPerAgent*float64(f.Agents))); err != nil {
		return nil, err
	}
	cfg, err := model.ConfigOf(f.Size, f.Cores, f.Load)
	if err != nil {
		return nil, err
	}
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	var runs []*scenarioRun
	for _, scope := range f.SettingsScope {
		for _, name := range f.Scenarios {
			scenario, err := model.FindScenario(name)
			if err != nil {
				return nil, err
			}
			runs = append(runs, &scenarioRun{scenario: scenario, scope: scope, size: f.Size})
		}
	}
	if !f.Slope {
		return runs, nil
	}
	calm, err := model.FindScenario(calmScenarioName)
	if err != nil {
		return nil, err
	}
	for _, scope := range f.SettingsScope {
		for _, divisor := range []int{16, 8, 4, 2} {
			size := f.Size
			size.Agents, size.Servers, size.Services = size.Agents/divisor, size.Servers/divisor, max(size.Services/divisor, 1)
			size.Rate /= float64(divisor)
			if size.Agents < size.Services || size.Servers < size.Zones {
				return nil, fleet.NewUsageError("slope", "1/%d of %d agents and %d servers are too few; use --no-slope",
					divisor, f.Agents, f.Servers)
			}
			runs = append(runs, &scenarioRun{scenario: calm, scope: scope, size: size, sizeSuffix: fmt.Sprintf(", 1/%d", divisor)})
		}
	}
	return runs, nil
}

// runAll does all runs, up to f.Jobs at the same time. It stops when one fails or when ctx ends.
func (f *fleetCmd) runAll(ctx context.Context, log *slog.Logger, runs []*scenarioRun) error {
	return runJobs(ctx, min(f.Jobs, len(runs)), slices.Values(runs), func(ctx context.Context, run *scenarioRun) error {
		return f.runScenario(ctx, log, run)
	})
}

// runScenario runs one scenario and stores its case in run. With mixed traffic it runs the scenario
// a second time, with the delayed-view baseline, and adds those figures to the case.
func (f *fleetCmd) runScenario(ctx context.Context, log *slog.Logger, run *scenarioRun) error {
	cfg, err := model.ConfigOf(run.size, f.Cores, f.Load)
	if err != nil {
		return err
	}
	cfg.QuotaOfService = run.scope == serviceScope
	log = log.With("settingsScope", run.scope, "agents", run.size.Agents)
	log.Info("scenario started", "scenario", run.scenario.Name)
	if f.Mixed {
		cfg.SetMixedTraffic()
	}
	result, err := run.scenario.Run(ctx, cfg, f.Seconds, log)
	if err == nil && f.Mixed {
		cfg.DelayedView = true
		err = run.scenario.AddBaseline(ctx, cfg, f.Seconds, log.With("policy", "delayed view"), result)
	}
	if err != nil {
		return fmt.Errorf("%s%s: %w", run.scenario.Name, scopeNameSuffix(run.scope), err)
	}
	result.Name = run.scenario.Name + scopeNameSuffix(run.scope) + run.sizeSuffix
	result.Params["seconds"] = f.Seconds
	run.result = result
	attrs := []any{"scenario", run.scenario.Name}
	for _, figure := range result.Figures {
		attrs = append(attrs, strings.ReplaceAll(figure.Name, " ", "-"), fmt.Sprintf("%.4g", figure.Value))
	}
	log.Info("scenario ended", attrs...)
	return nil
}

// fits returns lines over the number of agents. They are fitted to those figures of the calm
// scenario that may grow with the fleet.
func (f *fleetCmd) fits(runs []*scenarioRun) ([]fleet.Fit, error) {
	var fits []fleet.Fit
	for _, scope := range f.SettingsScope {
		var cases []fleet.Case
		for _, run := range runs {
			if run.scope == scope && run.scenario.Name == calmScenarioName {
				cases = append(cases, *run.result)
			}
		}
		for _, figure := range []string{model.FigureRejectedFirst, model.FigureFirstAttemptWaitP99, model.FigureMaxPending} {
			fit, err := fleet.FitLine(cases, figure, "agents", float64(f.Agents))
			if err != nil {
				return nil, err
			}
			fit.Figure += scopeNameSuffix(scope)
			fits = append(fits, fit)
		}
	}
	return fits, nil
}
