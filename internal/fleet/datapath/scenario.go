package datapath

import (
	"fmt"
	"time"

	"ploverreel/internal/fleet"
)

// scenario describes the agents, servers and calls of one case.
type scenario struct {
	name          string
	family        string // lines are fitted through the cases of one family with equal replicas
	listedServers int    // servers in the endpoint list of each agent
	replicas      int    // replicas in the agents' settings
	hops          int    // agents in a chain
	chains        int    // chains in parallel, each with its own stream of calls
	openRequests  int    // requests open at the same time; 0: not set, it follows from the answer time
	answerTime    time.Duration
	objective     time.Duration
	warmupCalls   int // of each stream
}

// timeout returns the timeout of a call.
func (s *scenario) timeout() time.Duration { return objectivesPerTimeout * s.objective }

// minWarmupAnswerTimes multiplies the answer time. The warmup lasts at least that long.
const minWarmupAnswerTimes = 2

// Families of cases, by the parameter that differs between the cases.
const (
	familyList = "list"
	familyHops = "hops"
	familyOpen = "open"
)

// newCase returns the scenario's case with its name and parameters and without figures.
func (s *scenario) newCase(rate float64) fleet.Case {
	c := fleet.Case{Name: s.name, Params: map[string]float64{"listed": float64(s.listedServers), "replicas": float64(s.replicas),
		"hops": float64(s.hops), "agents": float64(s.hops * s.chains), "rate": rate, "answer_ms": s.answerTime.Seconds() * 1000}}
	if s.openRequests > 0 {
		c.Params["open"] = float64(s.openRequests)
	}
	return c
}

// scenarios returns the scenarios in the order in which they run.
func (p *Plan) scenarios() []scenario {
	var all []scenario
	add := func(s scenario) {
		s.warmupCalls = max(p.Warmup, int(minWarmupAnswerTimes*s.answerTime.Seconds()*p.ratePerAgent()))
		s.objective = p.Objective + objectiveAnswerTimesPerHop*time.Duration(s.hops)*s.answerTime
		s.name = fmt.Sprintf("hops %d, listed %d, replicas %d", s.hops, s.listedServers, s.replicas)
		if s.openRequests > 0 {
			s.name += fmt.Sprintf(", open %d", s.openRequests)
		}
		all = append(all, s)
	}
	for _, replicas := range p.Replicas {
		for _, n := range p.Lists {
			add(scenario{family: familyList, listedServers: n, replicas: replicas, hops: 1, chains: p.Chains, answerTime: p.Answer})
		}
		if p.Size.Depth > 1 {
			add(scenario{family: familyHops, listedServers: p.serversPerService(), replicas: replicas, hops: p.Size.Depth, chains: 1, answerTime: p.Answer})
		}
	}
	// The list has as many servers as the largest number of open requests, because the policy
	// module bounds the open requests to two per server.
	mostOpen := 0
	for _, n := range p.Open {
		mostOpen = max(mostOpen, n)
	}
	for _, n := range p.Open {
		add(scenario{family: familyOpen, listedServers: mostOpen, replicas: 1, hops: 1, chains: 1, openRequests: n,
			answerTime: time.Duration(float64(n) / p.ratePerAgent() * float64(time.Second))})
	}
	return all
}
