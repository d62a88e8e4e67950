package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"sync"

	"ploverreel/internal/fleet"
	"ploverreel/internal/fleet/model"
)

// coldstartCmd plays the start of a whole service, servers and agents alike, at many loads and
// numbers of agents.
type coldstartCmd struct {
	Agents   []int     `help:"Numbers of agents." default:"1,4,30,300,900"`
	Loads    []float64 `help:"The load offered to the servers, as a part of their capacity when they are warm." default:"0.9,1.2,1.5"`
	Variants []string  `help:"What differs from the plain start; they are described below." default:"plain,heavy,late,restart,colder,all"`
	Servers  int       `help:"Bid servers, of one core each." default:"20"`
	WorkMs   float64   `help:"Mean work of a request, in ms." default:"100"`
	Seeds    int       `help:"Plays of each, by the seeds from 1 on." default:"4"`
	Seconds  float64   `help:"Virtual seconds that are played after the start." default:"7"`
	Jobs     int       `help:"Starts played at the same time; each takes one core." default:"2"`
	output   `embed:""`
}

// startVariant is one way in which a start differs from the plain one.
type startVariant struct {
	name, help string
	change     func(cfg *model.Config)
}

const (
	// heavySpread is the spread of heavy-tailed work: a coefficient of variation of 1.3.
	heavySpread = 1.0
	// restartedWithinS is within how many seconds of the start each agent starts once more.
	restartedWithinS = 4.0
	// colderFrom is the part of their capacity at which servers begin in the colder variant.
	colderFrom = 0.1
	// maxSeeds bounds the plays of one kind.
	maxSeeds = 1000
)

// startVariants returns all variants.
func startVariants() []startVariant {
	heavy := func(cfg *model.Config) { cfg.WorkSpread = heavySpread }
	late := func(cfg *model.Config) { cfg.StaleStart = true }
	restart := func(cfg *model.Config) { cfg.RestartS = restartedWithinS }
	return []startVariant{
		{"plain", "nothing else", func(*model.Config) {}},
		{"heavy", "work is heavy-tailed and no hint estimates it", heavy},
		{"late", "agents begin with the old list and are notified of the start within 2 s", late},
		{"restart", "each agent starts once more within 4 s", restart},
		{"colder", "servers begin at a tenth of their capacity", func(cfg *model.Config) {
			cfg.Settings.Contract.InitialCapacity = colderFrom
		}},
		{"all", "heavy, late and restart together", func(cfg *model.Config) { heavy(cfg); late(cfg); restart(cfg) }},
	}
}

// Help returns the text that --help prints under the summary.
func (*coldstartCmd) Help() string {
	text := "All servers and all agents of one service start at once, in virtual time. A case is a variant and a number " +
		"of agents; it has, for each load, the largest load of a warming server over its slow-start budget, the warming servers " +
		"that failed, those of them that failed by agents that had been notified of the start, and the share served, over all " +
		"seeds." +
		"\n\nThe variants:"
	for _, variant := range startVariants() {
		text += fmt.Sprintf("\n\n%s: %s.", variant.name, variant.help)
	}
	return text
}

// startPlays are the starts of one variant, number of agents and load, and what they gave.
type startPlays struct {
	variant          startVariant
	agents           int
	load             float64
	mu               sync.Mutex // guards what follows
	maxShare         float64    // the most load of a warming server over its budget, of all seeds
	failed           float64    // servers that failed, of all seeds
	failedByNotified float64    // of these, by agents that were notified of the start
	goodput          float64    // the mean of the seeds
}

// Run plays all and writes the result.
func (c *coldstartCmd) Run(ctx context.Context, log *slog.Logger) error {
	plays, err := c.plays()
	if err != nil {
		return err
	}
	size := c.size(c.Agents[len(c.Agents)-1], c.Loads[len(c.Loads)-1])
	result := fleet.NewResult("coldstart", c.args(), size)
	result.Notes = append(result.Notes, "in virtual time: the figures are those of the model, the same on any machine",
		"the size is that of the last case and load; an attempt weighs the mean work of its class")
	cause := c.playAll(ctx, log, plays)
	if cause == nil {
		result.Cases = startCases(plays)
	}
	return c.finish(result, cause)
}

// args returns the run's flags, as the result keeps them.
func (c *coldstartCmd) args() []string {
	return []string{"--agents=" + strings.Trim(strings.ReplaceAll(fmt.Sprint(c.Agents), " ", ","), "[]"),
		"--loads=" + strings.Trim(strings.ReplaceAll(fmt.Sprint(c.Loads), " ", ","), "[]"),
		"--variants=" + strings.Join(c.Variants, ","), fmt.Sprint("--servers=", c.Servers),
		fmt.Sprint("--work-ms=", c.WorkMs), fmt.Sprint("--seeds=", c.Seeds), fmt.Sprint("--seconds=", c.Seconds)}
}

// size returns that of the fleet with so many agents at that load.
func (c *coldstartCmd) size(agents int, load float64) fleet.Size {
	return fleet.Size{Agents: agents, Servers: c.Servers, Services: 1, Regions: 1, Zones: min(3, max(c.Servers, 1)),
		Rate: load * float64(c.Servers) * 1000 / c.WorkMs, Depth: 1, Seed: 1}
}

// plays lists what is to be played. Its error is a *fleet.UsageError that names the argument.
func (c *coldstartCmd) plays() ([]*startPlays, error) {
	switch {
	case len(c.Agents) == 0 || len(c.Loads) == 0 || len(c.Variants) == 0:
		return nil, fleet.Usage("agents", "agents, loads and variants must name one at least")
	case !(c.WorkMs > 0) || c.WorkMs > math.MaxInt32:
		return nil, fleet.Usage("work-ms", "must be above 0, is %v", c.WorkMs)
	case c.Seeds < 1 || c.Seeds > maxSeeds:
		return nil, fleet.Usage("seeds", "must be from 1 to %d, is %d", maxSeeds, c.Seeds)
	case !(c.Seconds >= 1) || c.Seconds > maxSeconds:
		return nil, fleet.Usage("seconds", "must be from 1 to %g, is %v", maxSeconds, c.Seconds)
	case c.Jobs < 1 || c.Jobs > maxJobs:
		return nil, fleet.Usage("jobs", "must be from 1 to %d, is %d", maxJobs, c.Jobs)
	}
	known := map[string]startVariant{}
	for _, v := range startVariants() {
		known[v.name] = v
	}
	var plays []*startPlays
	for _, name := range c.Variants {
		variant, ok := known[name]
		if !ok {
			return nil, fleet.Usage("variants", "%q is none of them", name)
		}
		for _, agents := range c.Agents {
			for _, load := range c.Loads {
				if _, err := c.config(agents, load); err != nil {
					return nil, err
				}
				plays = append(plays, &startPlays{variant: variant, agents: agents, load: load})
			}
		}
	}
	return plays, nil
}

// config returns the fleet with so many agents at that load.
func (c *coldstartCmd) config(agents int, load float64) (model.Config, error) {
	size := c.size(agents, load)
	if err := size.Validate(); err != nil {
		return model.Config{}, err
	}
	return model.ConfigOf(size, 1, load)
}

// startPlay is one play of startPlays.
type startPlay struct {
	plays *startPlays
	seed  uint64
}

// playAll plays them with all seeds, so many at a time, until all are done, one fails or ctx ends.
func (c *coldstartCmd) playAll(ctx context.Context, log *slog.Logger, plays []*startPlays) error {
	all := func(yield func(startPlay) bool) {
		for _, p := range plays {
			log.Info("begins", "variant", p.variant.name, "agents", p.agents, "load", p.load)
			for seed := 1; seed <= c.Seeds; seed++ {
				if !yield(startPlay{p, uint64(seed)}) {
					return
				}
			}
		}
	}
	return runJobs(ctx, c.Jobs, all, func(ctx context.Context, next startPlay) error {
		return c.play(ctx, next.plays, next.seed)
	})
}

// play plays the start scenario with one seed and adds its figures to those of the other seeds.
func (c *coldstartCmd) play(ctx context.Context, p *startPlays, seed uint64) error {
	cfg, err := c.config(p.agents, p.load)
	if err != nil {
		return err
	}
	cfg.Seed = seed
	p.variant.change(&cfg)
	scenario, err := model.FindScenario("start")
	if err != nil {
		return err
	}
	found, err := scenario.Run(ctx, cfg, c.Seconds, slog.New(slog.DiscardHandler))
	if err != nil {
		return fmt.Errorf("%s, %d agents, load %g, seed %d: %w", p.variant.name, p.agents, p.load, seed, err)
	}
	figure := func(name string) float64 { value, _ := found.Figure(name); return value }
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxShare = max(p.maxShare, figure(model.FigureMaxWarmupShare))
	p.failed += figure(model.FigureFailedWarmingUp)
	p.failedByNotified += figure(model.FigureFailedByNotified)
	p.goodput += figure(model.FigureGoodput) / float64(c.Seeds)
	return nil
}

// startCases returns a case for each variant and number of agents, with the figures of all loads.
func startCases(plays []*startPlays) []fleet.Case {
	var cases []fleet.Case
	for _, p := range plays {
		name := fmt.Sprintf("%s, %d agents", p.variant.name, p.agents)
		if n := len(cases); n == 0 || cases[n-1].Name != name {
			cases = append(cases, fleet.Case{Name: name})
		}
		at := &cases[len(cases)-1]
		load := fmt.Sprintf("load %g: ", p.load)
		at.Add(load+"most of the budget", "share", p.maxShare)
		at.Add(load+"fell", "count", p.failed)
		at.Add(load+"by agents that knew", "count", p.failedByNotified)
		at.Add(load+"served", "share", math.Round(p.goodput*1e6)/1e6) // plays end in any order
	}
	return cases
}
