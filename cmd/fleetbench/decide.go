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
	return `Drives one balancer through virtual time, without sockets. Requests arrive at random times at the mean rate of one agent
(RATE divided by AGENTS) and are answered after 5 ms. The cases have the processor time (us) and the bytes allocated for a
request, an outcome, a timer (tick), a call (all three, for one request) and a change of the endpoint list. They also have
the share of a core that the calls take at that rate (core), and the number of servers and queued requests that the
balancer examines for a call (work).

Each series of cases varies one parameter: the number of listed servers (those of a service, then fractions of SERVERS, with
the number of agents in proportion), the number of queued requests with answers at the rate of one agent, the share of cold
and of unhealthy servers, and the number of agents. The cases "limit" have few servers listed, such as those of a service,
and the agents of the whole fleet. They have the share of requests that are rejected (refused), in the first six rounds
after the start and in the fourteen rounds after those, and how long the other requests wait.

Regions and depth have no effect. At the default sizes a run takes about half a minute and one core.`
}

// Run runs all cases and writes the result.
func (c *decideCmd) Run(ctx context.Context, log *slog.Logger) error {
	o := decisions.Options{Size: c.Size, Requests: c.Requests, Repeats: c.Repeats}
	if err := o.Validate(); err != nil {
		return err
	}
	r := fleet.NewResult("decide", []string{fmt.Sprintf("--requests=%d", c.Requests), fmt.Sprintf("--repeats=%d", c.Repeats)}, c.Size)
	return c.saveResult(r, decisions.Run(ctx, log, o, r))
}
