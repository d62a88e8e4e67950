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

// controlCmd is the command line of 'control'.
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
	return `Runs simulated agents (the real watch code and module, no clients) in a few processes against stand-ins of discovery, one process each, all on the loopback. Measures how long changes of the list take to be in force and what they cost an agent and a stand-in; then a stand-in killed, a tenth of the agents restarted, discovery silent, a zone lost and back, and a region cut off. Takes some five minutes at the target size; --no-sweep and --no-faults shorten it.`
}

// Run plays the plan in processes of this program.
func (c *controlCmd) Run(ctx context.Context, log *slog.Logger) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return c.play(ctx, log, controlplane.SpawnProgram(program, "control-process"))
}

// play plays the plan and writes its result, also that of a run that did not finish.
func (c *controlCmd) play(ctx context.Context, log *slog.Logger, spawn controlplane.Spawn) error {
	plan := &controlplane.Plan{Size: c.Size, StandIns: c.StandIns, Processes: c.Processes, Membership: c.Membership, Scope: c.Scope,
		AskWithin: c.AskWithin, Spread: c.Spread, Changes: c.Changes, Calm: c.Calm, Down: c.Down, Silent: c.Silent,
		Cut: c.Cut, CutEvery: c.CutEvery, Limit: c.Limit, Sweep: c.Sweep, Faults: c.playsFaults()}
	if err := plan.Validate(); err != nil {
		return err
	}
	r := fleet.NewResult("control", c.args(), c.Size)
	r.Notes = controlplane.Notes(plan)
	var err error
	r.Cases, r.Fits, err = controlplane.Run(ctx, log, plan, spawn)
	return c.finish(r, err)
}

// playsFaults reports whether the faults are played.
func (c *controlCmd) playsFaults() bool { return c.Faults && !c.NoTroubles }

// args returns the arguments beside the size, which the result has by itself.
func (c *controlCmd) args() []string {
	var args []string
	for _, a := range []struct {
		name  string
		value any
	}{
		{"stand-ins", c.StandIns}, {"processes", c.Processes}, {"membership", c.Membership}, {"scope", c.Scope},
		{"ask-within", c.AskWithin}, {"spread", c.Spread}, {"changes", c.Changes}, {"calm", c.Calm}, {"down", c.Down},
		{"silent", c.Silent}, {"cut", c.Cut}, {"cut-every", c.CutEvery}, {"limit", c.Limit}, {"sweep", c.Sweep}, {"faults", c.playsFaults()},
	} {
		args = append(args, fmt.Sprintf("--%s=%v", a.name, a.value))
	}
	return args
}

// controlProcessCmd runs a process of 'control'. It ends when its standard input does, and so
// with the bench that started it.
type controlProcessCmd struct {
	Role string `arg:"" enum:"stand-in,agents"`
}

// Run serves the bench.
func (c *controlProcessCmd) Run(ctx context.Context) error {
	return controlplane.Serve(ctx, c.Role, os.Stdin, os.Stdout)
}
