// Package datapath measures what agents add to a call. It runs real agents as processes between a
// load generator and stand-in servers, in chains of one hop and of many hops. At the same time it
// sends direct calls to stand-in servers of the same kind, for comparison.
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
	// agentProcessBytes and standInServerBytes are the assumed maximum memory of an agent's process
	// and of a stand-in server. The check of the machine's memory needs only the order of
	// magnitude.
	agentProcessBytes, standInServerBytes = 64 << 20, 64 << 10
	// maxCaseDuration bounds the warmup and the measurement of one case, each. A longer one is most
	// likely a mistake in an argument.
	maxCaseDuration = time.Hour
	// maxAnswerTime bounds the answer time of a stand-in server. It keeps the objectives that are
	// computed from it within the range that an agent accepts for deadlines.
	maxAnswerTime = 10 * time.Second
	// objectiveAnswerTimesPerHop multiplies the answer time. The product is added to the latency
	// objective for each hop, because answer times are not part of what is measured.
	// objectivesPerTimeout multiplies the objective; the product is the timeout of a call.
	objectiveAnswerTimesPerHop, objectivesPerTimeout = 4, 4
	// maxObjective bounds the latency objective that is given as an argument.
	maxObjective = 10 * time.Minute
	// maxListedValue bounds each value of Plan.Lists, Plan.Replicas and Plan.Open.
	maxListedValue = 100_000
)

// Plan describes a run. The flags of 'fleetbench path' explain each field.
type Plan struct {
	Size      fleet.Size
	Agent     string        // path of the agent's binary
	Lists     []int         // numbers of listed servers, a case each
	Replicas  []int         // numbers of replicas in the agents' settings
	Open      []int         // numbers of requests open at the same time, a case each; they set the answer time
	Chains    int           // chains in parallel in the cases with one hop
	Answer    time.Duration // answer time of a stand-in server
	Objective time.Duration // latency objective of the class, before the addition for each hop
	Calls     int           // measured calls of each stream
	Warmup    int           // calls of each stream before the measured ones
}

// ratePerAgent returns the calls a second of each agent: the fleet's rate, divided evenly.
func (p *Plan) ratePerAgent() float64 { return p.Size.Rate / float64(p.Size.Agents) }

// serversPerService returns the number of servers of a service if all services are of equal size.
// An agent in a chain of many hops has that many servers in its list.
func (p *Plan) serversPerService() int { return max(p.Size.Servers/p.Size.Services, 1) }

// Validate returns a *fleet.UsageError for the first argument that is out of range, or that needs
// more memory, processes or file descriptors than are available.
func (p *Plan) Validate() error {
	if err := p.Size.Validate(); err != nil {
		return err
	}
	if info, err := os.Stat(p.Agent); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fleet.NewUsageError("agent", "no executable file at %s; deploy/balancer.toml says how to build it", p.Agent)
	}
	for _, check := range []func() error{p.checkLists, p.checkDurations, p.checkMachine} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkLists checks the arguments that are lists of numbers.
func (p *Plan) checkLists() error {
	for _, list := range []struct {
		arg    string
		values []int
	}{{"list", p.Lists}, {"replicas", p.Replicas}, {"open", p.Open}} {
		if len(list.values) == 0 {
			return fleet.NewUsageError(list.arg, "no value given")
		}
		for _, v := range list.values {
			if v < 1 || v > maxListedValue {
				return fleet.NewUsageError(list.arg, "must be from 1 to %d, is %d", maxListedValue, v)
			}
		}
	}
	return nil
}

// checkDurations checks the number of chains, the answer times, the objective and the duration of a
// case.
func (p *Plan) checkDurations() error {
	maxChains := fleet.MaxProcesses - 1 // one process is fleetbench itself
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
			return fleet.NewUsageError("open", "%d open requests at %.0f calls a second need an answer time of %v, the maximum is %v", s.openRequests, p.ratePerAgent(), s.answerTime, maxAnswerTime)
		}
	}
	return nil
}

// checkMachine checks the limit on file descriptors and the machine's memory.
func (p *Plan) checkMachine() error {
	longestList := max(p.serversPerService(), slices.Max(p.Lists), slices.Max(p.Open))
	// Descriptors are needed for a listener per server and for both ends of the connections.
	var fileLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &fileLimit); err != nil {
		return fmt.Errorf("limit on file descriptors: %w", err)
	}
	if neededDescriptors := uint64(2*max(longestList, p.serversPerService()*p.Size.Depth) + p.Chains*agentSockets); neededDescriptors > fileLimit.Cur {
		return fleet.NewUsageError("list", "%d servers need about %d file descriptors, the limit is %d", longestList, neededDescriptors, fileLimit.Cur)
	}
	processes := max(p.Chains, p.Size.Depth)
	return fleet.CheckMemory("list", float64(processes)*agentProcessBytes+float64(longestList)*standInServerBytes)
}
