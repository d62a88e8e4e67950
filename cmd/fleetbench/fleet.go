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
	fleet.Size `embed:""`
	output     `embed:""`
	Days       []string `help:"Days to play; they are described below." default:"calm,rack,half,zone,region,replace,cold,start"`
	Mixed      bool     `help:"Ask four classes and two tenants in place of one, and play each day a second time with a policy that sees the servers late, to compare with."`
	Told       []string `help:"Whose replicas and quota the agents' settings tell: those of the whole fleet, or those of the service that an agent calls. Each day is played once for each." enum:"fleet,service" default:"fleet,service"`
	Seconds    float64  `help:"Virtual seconds that a day is played and counted, after two in which it settles." default:"12"`
	Cores      int      `help:"Cores of a server." default:"1"`
	Load       float64  `help:"Part of their time in which the servers work; with rate and cores it sets the work of a request." default:"0.55"`
	Slope      bool     `help:"Play the calm day at a 16th, an 8th, a quarter and half of the size as well, and fit lines." default:"true" negatable:""`
	Jobs       int      `help:"Days played at the same time; each takes one core." default:"2"`
}

// Help is the long text of the subcommand.
func (*fleetCmd) Help() string {
	text := "Every agent is one module of its own, every server a queue, and time is virtual: a run prints the same " +
		"figures for the same seed on any machine. Each agent calls one service and lists that one's servers; calls at all depths " +
		"count alike.\n\nThe days:"
	for _, day := range model.Days() {
		text += fmt.Sprintf("\n\n%s: %s.", day.Name, day.Help)
	}
	return text
}

// play is one day at one size.
type play struct {
	day   model.Day
	told  string // whose replicas and quota the settings tell: "fleet" or "service"
	size  fleet.Size
	part  string      // suffix of its case's name for a part of the size; "" for the whole
	found *fleet.Case // nil until it is played
}

const (
	maxDayS = 3600.0
	maxJobs = 64
	// bytesPerCall and bytesPerAgent are the memory of a play for each call a second and each agent.
	bytesPerCall, bytesPerAgent = 1500.0, 100_000.0
)

// Run plays all days and writes the result, that of what was played as well where one fails.
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
		if p.found != nil {
			result.Cases = append(result.Cases, *p.found)
		}
	}
	if cause == nil && f.Slope {
		result.Fits, cause = f.fits(plays)
	}
	return f.finish(result, cause)
}

// args are the run's flags besides its size, as the result keeps them.
func (f *fleetCmd) args() []string {
	return []string{"--days=" + strings.Join(f.Days, ","), "--told=" + strings.Join(f.Told, ","),
		fmt.Sprint("--seconds=", f.Seconds), fmt.Sprint("--cores=", f.Cores), fmt.Sprint("--load=", f.Load),
		fmt.Sprint("--slope=", f.Slope), fmt.Sprint("--mixed=", f.Mixed)}
}

// plays lists what is to be played. Its error is a *fleet.UsageError that names the argument.
func (f *fleetCmd) plays() ([]*play, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	switch {
	case !(f.Seconds >= 1) || f.Seconds > maxDayS:
		return nil, fleet.Usage("seconds", "must be from 1 to %g, is %v", maxDayS, f.Seconds)
	case f.Jobs < 1 || f.Jobs > maxJobs:
		return nil, fleet.Usage("jobs", "must be from 1 to %d, is %d", maxJobs, f.Jobs)
	}
	if len(f.Days) == 0 || len(f.Told) == 0 {
		return nil, fleet.Usage("days", "none to play")
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
	for _, told := range f.Told {
		for _, name := range f.Days {
			day, err := model.FindDay(name)
			if err != nil {
				return nil, err
			}
			plays = append(plays, &play{day: day, told: told, size: f.Size})
		}
	}
	if !f.Slope {
		return plays, nil
	}
	calm, err := model.FindDay("calm")
	if err != nil {
		return nil, err
	}
	for _, told := range f.Told {
		for _, part := range []int{16, 8, 4, 2} {
			size := f.Size
			size.Agents, size.Servers, size.Services = size.Agents/part, size.Servers/part, max(size.Services/part, 1)
			size.Rate /= float64(part)
			if size.Agents < size.Services || size.Servers < size.Zones {
				return nil, fleet.Usage("slope", "a %dth of %d agents and %d servers is too few; use --no-slope",
					part, f.Agents, f.Servers)
			}
			plays = append(plays, &play{day: calm, told: told, size: size, part: fmt.Sprintf(", 1/%d", part)})
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

// play plays one day, under the delayed-view baseline as well where the traffic is mixed, and keeps
// its figures.
func (f *fleetCmd) play(ctx context.Context, log *slog.Logger, p *play) error {
	cfg, err := model.ConfigOf(p.size, f.Cores, f.Load)
	if err != nil {
		return err
	}
	cfg.QuotaOfService = p.told == "service"
	log = log.With("told", p.told, "agents", p.size.Agents)
	log.Info("begins", "day", p.day.Name)
	if f.Mixed {
		cfg.Mix()
	}
	found, err := p.day.Play(ctx, cfg, f.Seconds, log)
	if err == nil && f.Mixed {
		cfg.DelayedView = true
		err = p.day.Compare(ctx, cfg, f.Seconds, log.With("policy", "late view"), found)
	}
	if err != nil {
		return fmt.Errorf("%s day, told of the %s: %w", p.day.Name, p.told, err)
	}
	found.Name = fmt.Sprintf("%s, told of the %s%s", p.day.Name, p.told, p.part)
	found.Params["seconds"] = f.Seconds
	p.found = found
	attrs := []any{"day", p.day.Name}
	for _, figure := range found.Figures {
		attrs = append(attrs, strings.ReplaceAll(figure.Name, " ", "-"), fmt.Sprintf("%.4g", figure.Value))
	}
	log.Info("ended", attrs...)
	return nil
}

// fits are lines through the figures that may grow with the fleet, on its calm day.
func (f *fleetCmd) fits(plays []*play) ([]fleet.Fit, error) {
	var fits []fleet.Fit
	for _, told := range f.Told {
		var cases []fleet.Case
		for _, p := range plays {
			if p.told == told && p.day.Name == "calm" {
				cases = append(cases, *p.found)
			}
		}
		for _, figure := range []string{"turned away at first", "wait before the first attempt, p99", "server's queue, most"} {
			fit, err := fleet.FitLine(cases, figure, "agents", float64(f.Agents))
			if err != nil {
				return nil, err
			}
			fit.Figure += ", told of the " + told
			fits = append(fits, fit)
		}
	}
	return fits, nil
}
