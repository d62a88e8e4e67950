package datapath

import (
	"fmt"
	"time"

	"ploverreel/internal/fleet"
)

// scenario is one case: its agents, servers and calls.
type scenario struct {
	name          string
	family        string // which slope it belongs to
	listedServers int
	replicas      int
	hops          int
	chains        int // chains of agents side by side, each with its own stream of calls
	openRequests  int // requests open at once; 0: what comes of the answer time
	answerTime    time.Duration
	objective     time.Duration
	warmupCalls   int
}

// timeout returns how long a call is waited for.
func (s *scenario) timeout() time.Duration { return objectivesPerTimeout * s.objective }

// Families of the cases.
const (
	familyList = "list"
	familyHops = "hops"
	familyOpen = "open"
)

// newCase returns the scenario's case without figures, with its parameters.
func (s *scenario) newCase(rate float64) fleet.Case {
	c := fleet.Case{Name: s.name, Params: map[string]float64{"listed": float64(s.listedServers), "replicas": float64(s.replicas),
		"hops": float64(s.hops), "agents": float64(s.hops * s.chains), "rate": rate, "answer_ms": s.answerTime.Seconds() * 1000}}
	if s.openRequests > 0 {
		c.Params["open"] = float64(s.openRequests)
	}
	return c
}

// scenarios returns the cases in the order in which they are played.
func (p *Plan) scenarios() []scenario {
	var all []scenario
	add := func(s scenario) {
		s.warmupCalls = max(p.Warmup, int(2*s.answerTime.Seconds()*p.ratePerAgent()))
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
	// As many servers as the most requests open: two of them a server are the module's bound.
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
