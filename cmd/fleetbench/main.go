// Command fleetbench measures the cost and the behaviour of the agent in a large fleet. Its
// subcommands measure the policy module alone, real agents on sockets, the control plane, and the
// whole fleet in virtual time.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"ploverreel/internal/fleet"
)

// commands is the command line. Each subcommand is in its own file.
type commands struct {
	Verbose bool `help:"Say more of what is being done." short:"v"`

	Decide         decideCmd         `cmd:"" help:"Measure the decision module alone: time and bytes for each event."`
	Path           pathCmd           `cmd:"" help:"Real agents between a load generator and stand-in servers: what a call costs on its path."`
	Control        controlCmd        `cmd:"" help:"Changes of the endpoint list: time until in force, and costs of agents and discovery."`
	ControlProcess controlProcessCmd `cmd:"" hidden:""`
	Fleet          fleetCmd          `cmd:"" help:"Play the whole fleet in virtual time, in scenarios in which things fail."`
	Coldstart      coldstartCmd      `cmd:"" help:"Play the start of a whole service: the slow-start budget by agents and load."`
	Report         reportCmd         `cmd:"" help:"Write the tables of the capacity page from the results."`
}

func main() { os.Exit(run(os.Args[1:])) }

// newParser returns a parser that parses a command line into cmd. It panics if a struct tag is
// invalid.
func newParser(cmd *commands) *kong.Kong {
	parser, err := kong.New(cmd, kong.Name("fleetbench"), kong.UsageOnError(),
		kong.Description("Measures the agent in a large fleet. Every subcommand writes one JSON result; 'report' makes the tables of docs/CAPACITY.md of them."))
	if err != nil {
		panic(err)
	}
	return parser
}

// run runs the command line and returns the exit code: 0 for success, 1 for a run that failed, or 2
// for invalid arguments.
func run(args []string) int {
	var cmd commands
	parser := newParser(&cmd)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	parsed, err := parser.Parse(args)
	if err == nil {
		level := slog.LevelInfo
		if cmd.Verbose {
			level = slog.LevelDebug
		}
		log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
		parsed.BindTo(ctx, (*context.Context)(nil))
		err = parsed.Run(log)
	}
	var usageErr *fleet.UsageError
	var parseErr *kong.ParseError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usageErr), errors.As(err, &parseErr):
		fmt.Fprintln(os.Stderr, "fleetbench:", err)
		return 2
	default:
		fmt.Fprintln(os.Stderr, "fleetbench:", err)
		return 1
	}
}
