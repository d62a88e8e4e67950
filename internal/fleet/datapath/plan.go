// Package datapath measures the path of a call: real agents as processes between a load
// generator and stand-in servers, one hop and many hops deep, beside direct calls to servers
// of the same kind in the same run.
package datapath

import (
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"ploverreel/internal/fleet"
)

const (
	// processBytes and serverBytes are what an agent's process and a stand-in server are
	// assumed to take at most; the check of the machine's memory needs the order of magnitude alone.
	processBytes, serverBytes = 64 << 20, 64 << 10
	// longestRun bounds one case: more is taken for a mistake in an argument.
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

// Plan describes the measurement; the command line of 'fleetbench path' explains each field.
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

// rate returns the calls a second of one agent, all the fleet's divided evenly.
func (p *Plan) rate() float64 { return p.Size.Rate / float64(p.Size.Agents) }

// service returns the size of a service when all are alike: what an agent of a deep call lists.
func (p *Plan) service() int { return max(p.Size.Servers/p.Size.Services, 1) }

// Validate returns a *fleet.UsageError for the first argument that is out of range or needs more
// memory, processes or descriptors than the machine has.
func (p *Plan) Validate() error {
	if err := p.Size.Validate(); err != nil {
		return err
	}
	if info, err := os.Stat(p.Agent); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fleet.NewUsageError("agent", "no program at %s; deploy/balancer.toml tells how to build it", p.Agent)
	}
	for _, check := range []func() error{p.checkLists, p.checkSpans, p.checkMachine} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkLists checks the arguments that are lists of values.
func (p *Plan) checkLists() error {
	for _, list := range []struct {
		arg    string
		values []int
	}{{"list", p.Lists}, {"replicas", p.Replicas}, {"open", p.Open}} {
		if len(list.values) == 0 {
			return fleet.NewUsageError(list.arg, "none given")
		}
		for _, v := range list.values {
			if v < 1 || v > maxValue {
				return fleet.NewUsageError(list.arg, "must be from 1 to %d, is %d", maxValue, v)
			}
		}
	}
	return nil
}

// checkSpans checks the number of chains, and how long answers and cases take.
func (p *Plan) checkSpans() error {
	most := fleet.MaxProcesses - 1 // and the bench itself
	switch {
	case p.Chains < 1 || p.Chains > most:
		return fleet.NewUsageError("beside", "must be from 1 to %d, is %d", most, p.Chains)
	case p.Answer <= 0 || p.Answer > maxAnswer:
		return fleet.NewUsageError("answer", "must be above 0 and at most %v, is %v", maxAnswer, p.Answer)
	case p.Objective <= 0 || p.Objective > maxObjective:
		return fleet.NewUsageError("objective", "must be above 0 and at most %v, is %v", maxObjective, p.Objective)
	case p.Calls < 1 || float64(p.Calls) > p.rate()*longestRun.Seconds():
		return fleet.NewUsageError("seconds", "must be above 0 and at most %.0f", longestRun.Seconds())
	case p.Warmup < 0 || float64(p.Warmup) > p.rate()*longestRun.Seconds():
		return fleet.NewUsageError("warmup", "must be 0 or above and at most %.0f s", longestRun.Seconds())
	}
	for _, s := range p.scenarios() {
		if s.answer > maxAnswer {
			return fleet.NewUsageError("open", "%d at %.0f calls a second need answers of %v, over %v", s.open, p.rate(), s.answer, maxAnswer)
		}
	}
	return nil
}

// checkMachine checks that the machine has the descriptors and the memory.
func (p *Plan) checkMachine() error {
	longest := max(p.service(), slices.Max(p.Lists), slices.Max(p.Open))
	// A listener a server, and the connections of both ends.
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	if need := uint64(2*max(longest, p.service()*p.Size.Depth) + p.Chains*agentSockets); need > files.Cur {
		return fleet.NewUsageError("list", "%d servers need some %d descriptors of %d", longest, need, files.Cur)
	}
	processes := max(p.Chains, p.Size.Depth)
	return fleet.CheckMemory("list", float64(processes)*processBytes+float64(longest)*serverBytes)
}
