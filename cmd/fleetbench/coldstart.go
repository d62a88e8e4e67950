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

// coldstartCmd simulates the start of a whole service, in which all servers and agents start at the
// same time, at several loads and numbers of agents.
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

// startVariant is a variant of the start scenario. apply changes the configuration of the plain
// start.
type startVariant struct {
	name, help string
	apply      func(cfg *model.Config)
}

const (
	// heavyWorkSpread is the standard deviation of the logarithm of heavy-tailed work. It gives a
	// coefficient of variation of 1.3.
	heavyWorkSpread = 1.0
	// restartWindowS is the time after the start within which each agent restarts once, in seconds.
	restartWindowS = 4.0
	// colderInitialCapacity is the share of its capacity with which a server starts in the colder
	// variant.
	colderInitialCapacity = 0.1
	// maxSeeds bounds the number of seeds.
	maxSeeds = 1000
)

// startVariants returns all variants, the plain start first.
func startVariants() []startVariant {
	heavy := func(cfg *model.Config) { cfg.WorkSpread = heavyWorkSpread }
	late := func(cfg *model.Config) { cfg.StaleStart = true }
	restart := func(cfg *model.Config) { cfg.RestartS = restartWindowS }
	return []startVariant{
		{"plain", "the start without a change", func(*model.Config) {}},
		{"heavy", "work is heavy-tailed and clients send no hint of it", heavy},
		{"late", "agents start with the old list and are notified of the start within 2 s", late},
		{"restart", "each agent restarts once within 4 s", restart},
		{"colder", "servers start at a tenth of their capacity", func(cfg *model.Config) {
			cfg.Settings.Contract.InitialCapacity = colderInitialCapacity
		}},
		{"all", "heavy, late and restart together", func(cfg *model.Config) { heavy(cfg); late(cfg); restart(cfg) }},
	}
}

// Help returns the text that --help prints under the summary.
func (*coldstartCmd) Help() string {
	text := "All servers and all agents of one service start at the same time, in virtual time. There is a case for each " +
		"variant and number of agents. For each load, and over all seeds, it has the largest ratio of a warming server's load " +
		"to its slow-start budget, the number of warming servers that failed, the number of those that failed under the load " +
		"of agents that had been notified of the start, and the share of requests that were served." +
		"\n\nThe variants:"
	for _, variant := range startVariants() {
		text += fmt.Sprintf("\n\n%s: %s.", variant.name, variant.help)
	}
	return text
}

// startCase holds the figures of the starts with one variant, number of agents and load, over all
// seeds.
type startCase struct {
	variant                startVariant
	agents                 int
	load                   float64
	mu                     sync.Mutex // guards the fields below
	maxWarmupShare         float64    // largest ratio of a warming server's load to its budget
	failedServers          float64    // warming servers that failed
	failedByNotifiedAgents float64    // those that failed under the load of agents that had been notified of the start
	meanGoodput            float64    // mean share of requests served
}

// Run runs all cases and writes the result.
func (c *coldstartCmd) Run(ctx context.Context, log *slog.Logger) error {
	startCases, err := c.startCases()
	if err != nil {
		return err
	}
	size := c.fleetSize(c.Agents[len(c.Agents)-1], c.Loads[len(c.Loads)-1])
	result := fleet.NewResult("coldstart", c.resultArgs(), size)
	result.Notes = append(result.Notes, "Times are virtual. The figures come from the model and are the same on any machine.",
		"The size is that of the last case and load. An attempt adds the mean work of its class to a server's load.")
	runErr := c.runAll(ctx, log, startCases)
	if runErr == nil {
		result.Cases = resultCases(startCases)
	}
	return c.saveResult(result, runErr)
}

// resultArgs returns the flags that are stored in the result.
func (c *coldstartCmd) resultArgs() []string {
	return []string{"--agents=" + strings.Trim(strings.ReplaceAll(fmt.Sprint(c.Agents), " ", ","), "[]"),
		"--loads=" + strings.Trim(strings.ReplaceAll(fmt.Sprint(c.Loads), " ", ","), "[]"),
		"--variants=" + strings.Join(c.Variants, ","), fmt.Sprint("--servers=", c.Servers),
		fmt.Sprint("--work-ms=", c.WorkMs), fmt.Sprint("--seeds=", c.Seeds), fmt.Sprint("--seconds=", c.Seconds)}
}

// fleetSize returns the size of a fleet with that number of agents and that load.
func (c *coldstartCmd) fleetSize(agents int, load float64) fleet.Size {
	return fleet.Size{Agents: agents, Servers: c.Servers, Services: 1, Regions: 1, Zones: min(3, max(c.Servers, 1)),
		Rate: load * float64(c.Servers) * 1000 / c.WorkMs, Depth: 1, Seed: 1}
}

// startCases returns the cases to run. It returns a *fleet.UsageError for the first invalid
// argument.
func (c *coldstartCmd) startCases() ([]*startCase, error) {
	switch {
	case len(c.Agents) == 0 || len(c.Loads) == 0 || len(c.Variants) == 0:
		return nil, fleet.NewUsageError("agents", "agents, loads and variants need at least one value each")
	case !(c.WorkMs > 0) || c.WorkMs > math.MaxInt32:
		return nil, fleet.NewUsageError("work-ms", "must be above 0, is %v", c.WorkMs)
	case c.Seeds < 1 || c.Seeds > maxSeeds:
		return nil, fleet.NewUsageError("seeds", "must be from 1 to %d, is %d", maxSeeds, c.Seeds)
	case !(c.Seconds >= 1) || c.Seconds > maxVirtualSeconds:
		return nil, fleet.NewUsageError("seconds", "must be from 1 to %g, is %v", maxVirtualSeconds, c.Seconds)
	case c.Jobs < 1 || c.Jobs > maxJobs:
		return nil, fleet.NewUsageError("jobs", "must be from 1 to %d, is %d", maxJobs, c.Jobs)
	}
	variants := map[string]startVariant{}
	for _, v := range startVariants() {
		variants[v.name] = v
	}
	var startCases []*startCase
	for _, name := range c.Variants {
		variant, ok := variants[name]
		if !ok {
			return nil, fleet.NewUsageError("variants", "unknown variant %q", name)
		}
		for _, agents := range c.Agents {
			for _, load := range c.Loads {
				if _, err := c.modelConfig(agents, load); err != nil {
					return nil, err
				}
				startCases = append(startCases, &startCase{variant: variant, agents: agents, load: load})
			}
		}
	}
	return startCases, nil
}

// modelConfig returns the model's configuration of a fleet with that number of agents and that
// load.
func (c *coldstartCmd) modelConfig(agents int, load float64) (model.Config, error) {
	size := c.fleetSize(agents, load)
	if err := size.Validate(); err != nil {
		return model.Config{}, err
	}
	return model.ConfigOf(size, 1, load)
}

// startRun is one run of a startCase, with one seed.
type startRun struct {
	startCase *startCase
	seed      uint64
}

// runAll runs all cases with all seeds, with up to c.Jobs runs at the same time. It stops when one
// fails or when ctx ends.
func (c *coldstartCmd) runAll(ctx context.Context, log *slog.Logger, startCases []*startCase) error {
	runs := func(yield func(startRun) bool) {
		for _, sc := range startCases {
			log.Info("case started", "variant", sc.variant.name, "agents", sc.agents, "load", sc.load)
			for seed := 1; seed <= c.Seeds; seed++ {
				if !yield(startRun{sc, uint64(seed)}) {
					return
				}
			}
		}
	}
	return runJobs(ctx, c.Jobs, runs, func(ctx context.Context, next startRun) error {
		return c.runOnce(ctx, next.startCase, next.seed)
	})
}

// runOnce runs the start scenario with one seed and combines its figures with those of the other
// seeds.
func (c *coldstartCmd) runOnce(ctx context.Context, sc *startCase, seed uint64) error {
	cfg, err := c.modelConfig(sc.agents, sc.load)
	if err != nil {
		return err
	}
	cfg.Seed = seed
	sc.variant.apply(&cfg)
	scenario, err := model.FindScenario("start")
	if err != nil {
		return err
	}
	result, err := scenario.Run(ctx, cfg, c.Seconds, slog.New(slog.DiscardHandler))
	if err != nil {
		return fmt.Errorf("%s, %d agents, load %g, seed %d: %w", sc.variant.name, sc.agents, sc.load, seed, err)
	}
	figure := func(name string) float64 { value, _ := result.Figure(name); return value }
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.maxWarmupShare = max(sc.maxWarmupShare, figure(model.FigureMaxWarmupShare))
	sc.failedServers += figure(model.FigureFailedWarmingUp)
	sc.failedByNotifiedAgents += figure(model.FigureFailedByNotified)
	sc.meanGoodput += figure(model.FigureGoodput) / float64(c.Seeds)
	return nil
}

// resultCases returns one case for each variant and number of agents, with the figures of all
// loads.
func resultCases(startCases []*startCase) []fleet.Case {
	var cases []fleet.Case
	for _, sc := range startCases {
		name := fmt.Sprintf("%s, %d agents", sc.variant.name, sc.agents)
		if n := len(cases); n == 0 || cases[n-1].Name != name {
			cases = append(cases, fleet.Case{Name: name})
		}
		c := &cases[len(cases)-1]
		load := fmt.Sprintf("load %g: ", sc.load)
		c.Add(load+"most of the budget", "share", sc.maxWarmupShare)
		c.Add(load+"fell", "count", sc.failedServers)
		c.Add(load+"by agents that knew", "count", sc.failedByNotifiedAgents)
		// The runs end in any order, and a sum of floats depends on the order. Rounding hides that.
		c.Add(load+"served", "share", math.Round(sc.meanGoodput*1e6)/1e6)
	}
	return cases
}
