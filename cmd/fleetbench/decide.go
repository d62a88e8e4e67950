package main

import (
	"context"
	"fmt"
	"log/slog"

	"ploverreel/internal/fleet"
	"ploverreel/internal/fleet/decisions"
)

// decideCmd measures the decision module alone.
type decideCmd struct {
	fleet.Size `embed:""`
	Requests   int `help:"Requests of a case in each round; six rounds more are played first." default:"500"`
	Repeats    int `help:"Rounds. Times and bytes are medians of them." default:"15"`
	output     `embed:""`
}

// Help returns the text that --help prints under the summary.
func (*decideCmd) Help() string {
	return `One balancer, no sockets: it is driven through virtual time, with seeded requests that come at an agent's even part of
the rate (RATE divided by AGENTS) and are answered after 5 ms. Measured are the processor time (us) and the bytes
allocated for a request, an outcome, a timer (tick), a call (all three, for one request) and a change of the list, the part
of a core that they take as they come, and the servers and queued requests that are looked at for a call (work).

Each series of cases changes one thing: the servers listed (a service's, then parts of SERVERS, the fleet as large),
requests queued while answers come no faster than the agent's part, the share of cold and of unhealthy servers, the
number of agents. "limit" has a service's servers listed and the whole fleet's agents: which requests are rejected (refused),
in the first six rounds from a start and in the fourteen after them, and how long the others wait.

Regions and depth change nothing here. At the default sizes a run takes about half a minute and one core.`
}

// Run plays all cases and writes the result.
func (c *decideCmd) Run(ctx context.Context, log *slog.Logger) error {
	o := decisions.Options{Size: c.Size, Requests: c.Requests, Repeats: c.Repeats}
	if err := o.Validate(); err != nil {
		return err
	}
	r := fleet.NewResult("decide", []string{fmt.Sprintf("--requests=%d", c.Requests), fmt.Sprintf("--repeats=%d", c.Repeats)}, c.Size)
	return c.saveResult(r, decisions.Run(ctx, log, o, r))
}
