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
	// agentProcessBytes and standInServerBytes are what an agent's process and a stand-in server are
	// assumed to take at most; the check of the machine's memory needs the order of magnitude alone.
	agentProcessBytes, standInServerBytes = 64 << 20, 64 << 10
	// maxCaseDuration bounds one case: more is taken for a mistake in an argument.
	maxCaseDuration = time.Hour
	// maxAnswerTime is the longest answer time; the objectives that follow from it stay within what
	// an agent takes for a deadline.
	maxAnswerTime = 10 * time.Second
	// An objective is longer by hopAnswers answer times a hop, as the answers are no part of what is
	// measured.
	objectiveAnswerTimesPerHop, objectivesPerTimeout = 4, 4
	maxObjective                                     = 10 * time.Minute
	maxListedValue                                   = 100_000 // of a list's length, of replicas and of requests open
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

// ratePerAgent returns the calls a second of one agent, all the fleet's divided evenly.
func (p *Plan) ratePerAgent() float64 { return p.Size.Rate / float64(p.Size.Agents) }

// serversPerService returns the size of a service when all are alike: what an agent of a deep call lists.
func (p *Plan) serversPerService() int { return max(p.Size.Servers/p.Size.Services, 1) }

// Validate returns a *fleet.UsageError for the first argument that is out of range or needs more
// memory, processes or descriptors than the machine has.
func (p *Plan) Validate() error {
	if err := p.Size.Validate(); err != nil {
		return err
	}
	if info, err := os.Stat(p.Agent); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fleet.NewUsageError("agent", "no program at %s; deploy/balancer.toml tells how to build it", p.Agent)
	}
	for _, check := range []func() error{p.checkLists, p.checkDurations, p.checkMachine} {
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
			if v < 1 || v > maxListedValue {
				return fleet.NewUsageError(list.arg, "must be from 1 to %d, is %d", maxListedValue, v)
			}
		}
	}
	return nil
}

// checkDurations checks the number of chains, and how long answers and cases take.
func (p *Plan) checkDurations() error {
	maxChains := fleet.MaxProcesses - 1 // and the bench itself
	switch {
	case p.Chains < 1 || p.Chains > maxChains:
		return fleet.NewUsageError("beside", "must be from 1 to %d, is %d", maxChains, p.Chains)
	case p.Answer <= 0 || p.Answer > maxAnswerTime:
		return fleet.NewUsageError("answer", "must be above 0 and at most %v, is %v", maxAnswerTime, p.Answer)
	case p.Objective <= 0 || p.Objective > maxObjective:
		return fleet.NewUsageError("objective", "must be above 0 and at most %v, is %v", maxObjective, p.Objective)
	case p.Calls < 1 || float64(p.Calls) > p.ratePerAgent()*maxCaseDuration.Seconds():
		return fleet.NewUsageError("seconds", "must be above 0 and at most %.0f", maxCaseDuration.Seconds())
	case p.Warmup < 0 || float64(p.Warmup) > p.ratePerAgent()*maxCaseDuration.Seconds():
		return fleet.NewUsageError("warmup", "must be 0 or above and at most %.0f s", maxCaseDuration.Seconds())
	}
	for _, s := range p.scenarios() {
		if s.answerTime > maxAnswerTime {
			return fleet.NewUsageError("open", "%d at %.0f calls a second need answers of %v, over %v", s.openRequests, p.ratePerAgent(), s.answerTime, maxAnswerTime)
		}
	}
	return nil
}

// checkMachine checks that the machine has the descriptors and the memory.
func (p *Plan) checkMachine() error {
	longestList := max(p.serversPerService(), slices.Max(p.Lists), slices.Max(p.Open))
	// A listener a server, and the connections of both ends.
	var fileLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &fileLimit); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	if neededDescriptors := uint64(2*max(longestList, p.serversPerService()*p.Size.Depth) + p.Chains*agentSockets); neededDescriptors > fileLimit.Cur {
		return fleet.NewUsageError("list", "%d servers need some %d descriptors of %d", longestList, neededDescriptors, fileLimit.Cur)
	}
	processes := max(p.Chains, p.Size.Depth)
	return fleet.CheckMemory("list", float64(processes)*agentProcessBytes+float64(longestList)*standInServerBytes)
}
