package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"ploverreel/internal/fleet"
	"ploverreel/internal/fleet/controlplane"
)

// controlCmd measures changes of the endpoint list and faults of discovery.
type controlCmd struct {
	fleet.Size `embed:""`
	output     `embed:""`

	StandIns   int           `name:"stand-ins" help:"Stand-ins of discovery, a region." default:"2"`
	Processes  int           `help:"Processes that the agents are divided among." default:"3"`
	Membership string        `help:"How agents get the list: on_request (one discovery for all) or pushed (one on the agent's own machine)." enum:"on_request,pushed" default:"on_request"`
	Scope      string        `help:"What a list holds: the fleet's servers, or (not in the published protocol) one service's." enum:"fleet,service" default:"fleet"`
	AskWithin  time.Duration `help:"The settings' contract.askWithinMs." default:"10s"`
	Spread     time.Duration `help:"Over which the agents' starts are spread, less in the smaller fleets; 0: all at once, which a machine that has to parse all their lists can't keep up with." default:"10s"`
	Changes    int           `help:"Changes of one server each on the calm fleet." default:"5"`
	Calm       time.Duration `help:"How long the fleet runs without a change, to measure what that costs." default:"3s"`
	Down       time.Duration `help:"How long a killed stand-in is away." default:"8s"`
	Silent     time.Duration `help:"How long all of discovery is silent." default:"8s"`
	Cut        time.Duration `help:"How long a region is cut off." default:"60s"`
	CutEvery   time.Duration `help:"Between changes while a region is cut off." default:"5s"`
	Limit      time.Duration `help:"How long a change is waited for at most." default:"60s"`
	Sweep      bool          `help:"Run smaller fleets and lists too, and fit the slopes." default:"true" negatable:""`
	Faults     bool          `help:"Play the faults at the full size. Formerly --troubles." aliases:"troubles" default:"true" negatable:""`
	NoTroubles bool          `name:"no-troubles" hidden:"" help:"The former name of --no-faults."` // kong has no alias of a negation
}

// Help returns the text that --help prints under the summary.
func (c *controlCmd) Help() string {
	return `Runs simulated agents in a few processes against stand-ins of discovery. The agents have the real watch code and policy module, but no clients. Each stand-in is a process, and all connections use the loopback interface. Measures how long a change of the list takes to be in force at the agents, and what it costs an agent and a stand-in. Then measures faults: a stand-in is killed, a tenth of the agents restarts, discovery is silent, a zone is lost and returns, and a region is cut off. Takes about five minutes at the target size; --no-sweep and --no-faults shorten it.`
}

// Run runs the plan. Agents and stand-ins are processes of this program.
func (c *controlCmd) Run(ctx context.Context, log *slog.Logger) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return c.runPlan(ctx, log, controlplane.SpawnProgram(program, "control-process"))
}

// runPlan runs the plan and writes its result. The result of a run that fails is marked as
// unfinished.
func (c *controlCmd) runPlan(ctx context.Context, log *slog.Logger, spawn controlplane.Spawn) error {
	plan := &controlplane.Plan{Size: c.Size, StandIns: c.StandIns, Processes: c.Processes, Membership: c.Membership, Scope: c.Scope,
		AskWithin: c.AskWithin, Spread: c.Spread, Changes: c.Changes, Calm: c.Calm, Down: c.Down, Silent: c.Silent,
		Cut: c.Cut, CutEvery: c.CutEvery, Limit: c.Limit, Sweep: c.Sweep, Faults: c.faultsEnabled()}
	if err := plan.Validate(); err != nil {
		return err
	}
	r := fleet.NewResult("control", c.resultArgs(), c.Size)
	r.Notes = controlplane.Notes(plan)
	var err error
	r.Cases, r.Fits, err = controlplane.Run(ctx, log, plan, spawn)
	return c.saveResult(r, err)
}

// faultsEnabled reports whether the faults are to be measured.
func (c *controlCmd) faultsEnabled() bool { return c.Faults && !c.NoTroubles }

// resultArgs returns the flags that are stored in the result. Those of the size are stored
// separately.
func (c *controlCmd) resultArgs() []string {
	var args []string
	for _, a := range []struct {
		name  string
		value any
	}{
		{"stand-ins", c.StandIns}, {"processes", c.Processes}, {"membership", c.Membership}, {"scope", c.Scope},
		{"ask-within", c.AskWithin}, {"spread", c.Spread}, {"changes", c.Changes}, {"calm", c.Calm}, {"down", c.Down},
		{"silent", c.Silent}, {"cut", c.Cut}, {"cut-every", c.CutEvery}, {"limit", c.Limit}, {"sweep", c.Sweep}, {"faults", c.faultsEnabled()},
	} {
		args = append(args, fmt.Sprintf("--%s=%v", a.name, a.value))
	}
	return args
}

// controlProcessCmd is a process that 'control' starts. It exits when its standard input is closed,
// and so when the process that started it exits.
type controlProcessCmd struct {
	Role string `arg:"" enum:"stand-in,agents"`
}

// Run serves the process that started this one.
func (c *controlProcessCmd) Run(ctx context.Context) error {
	return controlplane.Serve(ctx, c.Role, os.Stdin, os.Stdout)
}
