package main

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"

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
	for _, d := range model.Days() {
		text += fmt.Sprintf("\n\n%s: %s.", d.Name, d.Help)
	}
	return text
}

// play is one day at one size.
type play struct {
	day   model.Day
	told  string
	size  fleet.Size
	part  string // of the size; "" for the whole
	found *fleet.Case
}

const (
	longestDay = 3600.0 // s
	mostJobs   = 64
	// bytesACall and bytesAnAgent are what a play keeps for each call a second and each agent.
	bytesACall, bytesAnAgent = 1500.0, 100_000.0
)

func (f *fleetCmd) Run(ctx context.Context, log *slog.Logger) error {
	plays, err := f.plays()
	if err != nil {
		return err
	}
	r := fleet.NewResult("fleet", f.args(), f.Size)
	r.Notes = append(r.Notes, "in virtual time: the figures are those of the model, the same on any machine",
		"calls at all depths count alike: a call waits for no deeper one")
	cause := f.playAll(ctx, log, plays)
	for _, p := range plays {
		if p.found != nil {
			r.Cases = append(r.Cases, *p.found)
		}
	}
	if cause == nil && f.Slope {
		r.Fits, cause = f.fits(plays)
	}
	return f.finish(r, cause)
}

// args are what the run was asked for besides its size.
func (f *fleetCmd) args() []string {
	return []string{"--days=" + strings.Join(f.Days, ","), "--told=" + strings.Join(f.Told, ","),
		fmt.Sprint("--seconds=", f.Seconds), fmt.Sprint("--cores=", f.Cores), fmt.Sprint("--load=", f.Load),
		fmt.Sprint("--slope=", f.Slope), fmt.Sprint("--mixed=", f.Mixed)}
}

// plays lists what is to be played, or says which argument makes no sense.
func (f *fleetCmd) plays() ([]*play, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	switch {
	case !(f.Seconds >= 1) || f.Seconds > longestDay:
		return nil, fleet.Usage("seconds", "must be from 1 to %g, is %v", longestDay, f.Seconds)
	case f.Jobs < 1 || f.Jobs > mostJobs:
		return nil, fleet.Usage("jobs", "must be from 1 to %d, is %d", mostJobs, f.Jobs)
	}
	if len(f.Days) == 0 || len(f.Told) == 0 {
		return nil, fleet.Usage("days", "none to play")
	}
	if err := fleet.CheckMemory("rate", float64(f.Jobs)*(bytesACall*f.Rate+bytesAnAgent*float64(f.Agents))); err != nil {
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
			s := f.Size
			s.Agents, s.Servers, s.Services = s.Agents/part, s.Servers/part, max(s.Services/part, 1)
			s.Rate /= float64(part)
			if s.Agents < s.Services || s.Servers < s.Zones {
				return nil, fleet.Usage("slope", "a %dth of %d agents and %d servers is too few; use --no-slope",
					part, f.Agents, f.Servers)
			}
			plays = append(plays, &play{day: calm, told: told, size: s, part: fmt.Sprintf(", 1/%d", part)})
		}
	}
	return plays, nil
}

// playAll plays them, so many at a time, until all are done, one fails or ctx ends.
func (f *fleetCmd) playAll(ctx context.Context, log *slog.Logger, plays []*play) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	todo := make(chan *play)
	var wait sync.WaitGroup
	for range min(f.Jobs, len(plays)) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for p := range todo {
				if err := f.play(ctx, log, p); err != nil {
					cancel(err)
				}
			}
		}()
	}
	for _, p := range plays {
		if ctx.Err() != nil {
			break
		}
		todo <- p
	}
	close(todo)
	wait.Wait()
	return context.Cause(ctx)
}

func (f *fleetCmd) play(ctx context.Context, log *slog.Logger, p *play) error {
	cfg, err := model.ConfigOf(p.size, f.Cores, f.Load)
	if err != nil {
		return err
	}
	cfg.ToldService = p.told == "service"
	log = log.With("told", p.told, "agents", p.size.Agents)
	log.Info("begins", "day", p.day.Name)
	if f.Mixed {
		cfg.Mix()
	}
	c, err := p.day.Play(ctx, cfg, f.Seconds, log)
	if err == nil && f.Mixed {
		cfg.LateView = true
		err = p.day.Compare(ctx, cfg, f.Seconds, log.With("policy", "late view"), c)
	}
	if err != nil {
		return fmt.Errorf("%s day, told of the %s: %w", p.day.Name, p.told, err)
	}
	c.Name = fmt.Sprintf("%s, told of the %s%s", p.day.Name, p.told, p.part)
	c.Params["seconds"] = f.Seconds
	p.found = c
	var said []any
	for _, g := range c.Figures {
		said = append(said, strings.ReplaceAll(g.Name, " ", "-"), fmt.Sprintf("%.4g", g.Value))
	}
	log.Info("ended", append([]any{"day", p.day.Name}, said...)...)
	return nil
}

// fits are the lines of what may grow with the fleet on its calm day.
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
