package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"strings"
	"time"

	"ploverreel/internal/fleet"
	"ploverreel/internal/fleet/datapath"
)

// pathCmd measures what real agents add to the calls that pass through them.
type pathCmd struct {
	fleet.Size `embed:""`
	output     `embed:""`
	Agent      string        `help:"Program of the agent, as deploy/balancer.toml builds it." default:"bin/ploverreel" type:"path"`
	List       []int         `help:"Lengths of the list of servers, a case each; from four on a slope is fitted." default:"12,50,200,500,2000"`
	Replicas   []int         `help:"Replicas that the agents' settings name; the cases are played with each." default:"1,2000"`
	Open       []int         `help:"Requests open at once, a case each, at the answer times that this takes." default:"10,50,100,200,400"`
	Beside     int           `help:"Agents side by side in the cases of one hop, each with its own calls." default:"4"`
	Answer     time.Duration `help:"Time in which a stand-in server answers." default:"2ms"`
	Objective  time.Duration `help:"Latency objective of the calls; they are given up after four times that. Formerly --aim." aliases:"aim" default:"500ms"`
	Seconds    float64       `help:"How long each case is measured." default:"30"`
	Warmup     float64       `help:"Seconds of calls before that." default:"5"`
}

// Help returns the text that --help prints under the summary.
func (c *pathCmd) Help() string {
	return `Starts real agents as processes between a load generator and stand-in servers. Compares the calls through
the agents with direct calls at the same time: added latency, processor time, memory, connections and
refusals. Each agent gets rate / agents calls a second.

The cases run one after the other: one hop with each length of the list; --depth hops, each with
servers / services listed; and one agent with many requests open. The first two run with each number
of replicas. At the default sizes a run takes about eleven minutes and one core.`
}

// Run runs all cases, writes the result and prints a summary.
func (c *pathCmd) Run(ctx context.Context, log *slog.Logger) error {
	rate := c.Rate / float64(c.Agents)
	plan := datapath.Plan{Size: c.Size, Agent: c.Agent, Lists: c.List, Replicas: c.Replicas, Open: c.Open, Chains: c.Beside,
		Answer: c.Answer, Objective: c.Objective, Calls: int(min(c.Seconds*rate, math.MaxInt32)), Warmup: int(min(c.Warmup*rate, math.MaxInt32))}
	if err := plan.Validate(); err != nil {
		return err
	}
	result := fleet.NewResult("path", c.resultArgs(), c.Size)
	err := c.saveResult(result, plan.Run(ctx, log, result))
	if len(result.Cases) == 0 {
		return err
	}
	if summaryErr := writeSummary(os.Stdout, result.Cases, pathSummaryColumns); err == nil {
		err = summaryErr
	}
	return err
}

// resultArgs returns the flags that are stored in the result. Those of the size are stored
// separately.
func (c *pathCmd) resultArgs() []string {
	joinInts := func(values []int) string { return strings.Trim(strings.ReplaceAll(fmt.Sprint(values), " ", ","), "[]") }
	return []string{"--list=" + joinInts(c.List), "--replicas=" + joinInts(c.Replicas), "--open=" + joinInts(c.Open),
		fmt.Sprint("--beside=", c.Beside), fmt.Sprint("--answer=", c.Answer), fmt.Sprint("--objective=", c.Objective),
		fmt.Sprint("--seconds=", c.Seconds), fmt.Sprint("--warmup=", c.Warmup)}
}
