package datapath

import (
	"fmt"
	"time"

	"ploverreel/internal/fleet"
)

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

// giveUp returns how long a call is waited for.
func (s *scenario) giveUp() time.Duration { return giveUpObjectives * s.objective }

// Families of the cases.
const (
	byList = "list"
	byHops = "hops"
	byOpen = "open"
)

// newCase returns the scenario's case without figures, with its parameters.
func (s *scenario) newCase(rate float64) fleet.Case {
	c := fleet.Case{Name: s.name, Params: map[string]float64{"listed": float64(s.listed), "replicas": float64(s.replicas),
		"hops": float64(s.hops), "agents": float64(s.hops * s.chains), "rate": rate, "answer_ms": s.answer.Seconds() * 1000}}
	if s.open > 0 {
		c.Params["open"] = float64(s.open)
	}
	return c
}

// scenarios returns the cases in the order in which they are played.
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
