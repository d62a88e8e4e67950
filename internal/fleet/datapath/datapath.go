// Package datapath measures the path of a call: real agents as processes between a load
// generator and stand-in servers, one hop and many hops deep, beside direct calls to servers
// of the same kind in the same run.
package datapath

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"time"

	"ploverreel/internal/fleet"
)

const (
	// processBytes and serverBytes are what an agent's process and a stand-in server are
	// held to take at most; the check of the machine's memory needs no more than the order.
	processBytes, serverBytes = 64 << 20, 64 << 10
	// longestRun bounds one case: it would be an argument that was meant otherwise.
	longestRun = time.Hour
	// maxAnswer is the longest answer time; the objectives that follow from it stay within what
	// an agent takes for a deadline.
	maxAnswer = 10 * time.Second
	// An objective is longer by hopAnswers answer times a hop, as the answers are no part of what is
	// measured.
	hopAnswers, giveUpObjectives = 4, 4
	maxObjective                 = 10 * time.Minute
	maxValue                     = 100_000 // of a list's length, of replicas and of requests open
)

// Plan is what is to be measured; the command line of 'fleetbench path' explains each field.
type Plan struct {
	Size      fleet.Size
	Agent     string        // path of the agent's binary
	Lists     []int         // lengths of the list of servers
	Replicas  []int         // replicas that the agents' settings name
	Open      []int         // requests open at once, at the longer answer times they need
	Chains    int           // agents side by side in the cases of one hop
	Answer    time.Duration // answer time of a stand-in server
	Objective time.Duration // of the calls' class; a call is given up after giveUpObjectives of it
	Calls     int           // calls a measured stream
	Warmup    int           // calls a stream before that are not measured
}

// scenario is one case: its agents, servers and calls.
type scenario struct {
	name      string
	family    string // which slope it belongs to
	listed    int
	replicas  int
	hops      int
	chains    int // chains of agents side by side, each with its own stream of calls
	open      int // requests open at once; 0: what comes of the answer time
	answer    time.Duration
	objective time.Duration
	warmup    int
}

// giveUp is how long a call is waited for.
func (s *scenario) giveUp() time.Duration { return giveUpObjectives * s.objective }

// families of the cases.
const (
	byList = "list"
	byHops = "hops"
	byOpen = "open"
)

// rate is the calls a second of one agent, all the fleet's divided evenly.
func (p *Plan) rate() float64 { return p.Size.Rate / float64(p.Size.Agents) }

// service is the size of a service when all are alike: what an agent of a deep call lists.
func (p *Plan) service() int { return max(p.Size.Servers/p.Size.Services, 1) }

// Validate returns a *fleet.UsageError for the first argument that is out of range or asks for more
// memory, processes or descriptors than the machine has.
func (p *Plan) Validate() error {
	if err := p.Size.Validate(); err != nil {
		return err
	}
	if info, err := os.Stat(p.Agent); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fleet.Usage("agent", "no program at %s; deploy/balancer.toml tells how to build it", p.Agent)
	}
	longest := p.service()
	for _, list := range []struct {
		arg    string
		values []int
	}{{"list", p.Lists}, {"replicas", p.Replicas}, {"open", p.Open}} {
		if len(list.values) == 0 {
			return fleet.Usage(list.arg, "none given")
		}
		for _, v := range list.values {
			if v < 1 || v > maxValue {
				return fleet.Usage(list.arg, "must be from 1 to %d, is %d", maxValue, v)
			}
			if list.arg != "replicas" {
				longest = max(longest, v)
			}
		}
	}
	most := fleet.MaxProcesses - 1 // and the bench itself
	switch {
	case p.Chains < 1 || p.Chains > most:
		return fleet.Usage("beside", "must be from 1 to %d, is %d", most, p.Chains)
	case p.Answer <= 0 || p.Answer > maxAnswer:
		return fleet.Usage("answer", "must be above 0 and at most %v, is %v", maxAnswer, p.Answer)
	case p.Objective <= 0 || p.Objective > maxObjective:
		return fleet.Usage("aim", "must be above 0 and at most %v, is %v", maxObjective, p.Objective)
	case p.Calls < 1 || float64(p.Calls) > p.rate()*longestRun.Seconds():
		return fleet.Usage("seconds", "must be above 0 and at most %.0f", longestRun.Seconds())
	case p.Warmup < 0 || float64(p.Warmup) > p.rate()*longestRun.Seconds():
		return fleet.Usage("warmup", "must be 0 or above and at most %.0f s", longestRun.Seconds())
	}
	for _, s := range p.scenarios() {
		if s.answer > maxAnswer {
			return fleet.Usage("open", "%d at %.0f calls a second need answers of %v, over %v", s.open, p.rate(), s.answer, maxAnswer)
		}
	}
	// A listener a server, and the connections of both ends.
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	if need := uint64(2*max(longest, p.service()*p.Size.Depth) + p.Chains*agentSockets); need > files.Cur {
		return fleet.Usage("list", "%d servers need some %d descriptors of %d", longest, need, files.Cur)
	}
	processes := max(p.Chains, p.Size.Depth)
	return fleet.CheckMemory("list", float64(processes)*processBytes+float64(longest)*serverBytes)
}

// scenarios are the cases in the order in which they are played.
func (p *Plan) scenarios() []scenario {
	var all []scenario
	add := func(s scenario) {
		s.warmup = max(p.Warmup, int(2*s.answer.Seconds()*p.rate()))
		s.objective = p.Objective + hopAnswers*time.Duration(s.hops)*s.answer
		s.name = fmt.Sprintf("hops %d, listed %d, replicas %d", s.hops, s.listed, s.replicas)
		if s.open > 0 {
			s.name += fmt.Sprintf(", open %d", s.open)
		}
		all = append(all, s)
	}
	for _, replicas := range p.Replicas {
		for _, n := range p.Lists {
			add(scenario{family: byList, listed: n, replicas: replicas, hops: 1, chains: p.Chains, answer: p.Answer})
		}
		if p.Size.Depth > 1 {
			add(scenario{family: byHops, listed: p.service(), replicas: replicas, hops: p.Size.Depth, chains: 1, answer: p.Answer})
		}
	}
	// As many servers as the most requests open: two of them a server are the module's bound.
	listed := 0
	for _, n := range p.Open {
		listed = max(listed, n)
	}
	for _, n := range p.Open {
		add(scenario{family: byOpen, listed: listed, replicas: 1, hops: 1, chains: 1, open: n,
			answer: time.Duration(float64(n) / p.rate() * float64(time.Second))})
	}
	return all
}

// Run plays all cases one after the other and adds them, the fitted lines and the notes to the
// result. All processes that it started have ended when it returns. When a case fails, by an agent
// that died or did not start or by the context's end, the error names the case, and the cases before
// it stay in the result.
func (p *Plan) Run(ctx context.Context, log *slog.Logger, r *fleet.Result) error {
	r.Notes = append(r.Notes,
		"added_* is the difference of the same quantile through the agents and direct, in one run; a served call counts from the moment it was sent.",
		"cpu, memory and connections are the mean of an agent. connections are those to servers; the direct calls have servers of their own.",
		"*_new are connections opened while measured. late_p99 is how late the load generator sent, which is in neither latency.",
		"open: the answer time is such that so many requests are open at the rate; each holds a client's and a server's connection.")
	all := p.scenarios()
	families := map[string][]fleet.Case{}
	for i, s := range all {
		c, err := p.play(ctx, log, s)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		r.Cases = append(r.Cases, c)
		families[fmt.Sprint(s.family, s.replicas)] = append(families[fmt.Sprint(s.family, s.replicas)], c)
		log.Info("case", "n", i+1, "of", len(all), "name", c.Name,
			"served", value(c, "served_share"), "added_p50_ms", value(c, "added_p50"), "added_p99_ms", value(c, "added_p99"),
			"cpu_ms_per_1000", value(c, "cpu_per_1000"), "rss_mb", value(c, "rss")/(1<<20))
	}
	for _, replicas := range p.Replicas {
		for _, figure := range []string{"rss", "rss_peak", "cpu_per_1000"} {
			addFit(log, r, families[fmt.Sprint(byList, replicas)], figure, "listed", float64(p.Size.Servers), replicas)
		}
	}
	addFit(log, r, families[fmt.Sprint(byOpen, 1)], "rss_peak", "open", float64(p.Open[len(p.Open)-1]), 1)
	addFit(log, r, families[fmt.Sprint(byOpen, 1)], "cpu_per_1000", "open", float64(p.Open[len(p.Open)-1]), 1)
	return nil
}

// addFit adds the slope of a family's figure, if there are sizes enough for one.
func addFit(log *slog.Logger, r *fleet.Result, cases []fleet.Case, figure, over string, target float64, replicas int) {
	f, err := fleet.FitLine(cases, figure, over, target)
	if err != nil {
		log.Info("no slope", "why", err)
		return
	}
	f.Figure = fmt.Sprintf("%s, %d replicas", figure, replicas)
	r.Fits = append(r.Fits, f)
}

func value(c fleet.Case, name string) float64 {
	v, _ := c.Figure(name)
	return v
}
