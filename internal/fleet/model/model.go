// Package model plays many agents against many servers in virtual time, to count what they
// do together. Each agent is one module of package policy and comes by nothing but its own
// events. All draws come from one seed: the same run gives the same figures.
package model

import (
	"context"
	"fmt"
	"math/rand/v2"

	"molepaddle/policy"
)

// Start is the clock's time in ms at which a model begins.
const Start = 1e6

// Config is what a model is made of.
type Config struct {
	Agents  int
	Servers int
	Zones   int
	Load    float64 // what the clients ask, as a part of what all servers can do
	WorkMs  float64 // mean work of a request, on one core at full speed
	HopMs   float64 // one way between any two places
	CallMs  float64 // discovery's work for a call; it takes calls in turn
	Seed    uint64
	// Settings are those of each agent but for its index, its zone and the replicas.
	Settings policy.Settings
	// KeepArrivals has each server remember when attempts came.
	KeepArrivals bool
}

// Settings are those of a plain deployment: one class of requests that may be repeated.
func Settings() policy.Settings {
	s := policy.Settings{
		Classes: []policy.Class{{Name: "free", AimMs: 300, GiveUpMs: 1500, Effect: policy.Free, Credit: 1}},
		Limits: policy.Limits{Cancelling: true, Probing: true, MaxAttempts: 5, MaxRetryAfterMs: 2000,
			ConnectTimeoutMs: 250, KeepaliveMs: 15000},
		Contract: policy.Contract{AnswerSlackMs: 5, AskWithinMs: 10000, ColdFrom: 0.3, ColdMs: 7000,
			DrainGraceMs: 1500, FallMultiple: 3, TipAfterMs: 1000},
		Prices:     policy.Prices{CrossZone: 0.03, Handshake: 0.08, Probe: 0.08, List: 0.05, Waste: 0.1},
		Membership: policy.Pushed, RoundMs: 1, WorthBy: "request", Weights: "off",
	}
	s.Clients.MarksRetry = true
	return s
}

// Count is what happened in one second, all agents together.
type Count struct {
	Asked int // requests, without repeats by the clients
	Won   int // of these, answered within the aim
	Sends int // attempts
	Again int // attempts after a request's first
	Held  int // most that all servers held at once
	Calls int // to discovery
}

// Model is one fleet.
type Model struct {
	cfg     Config
	rng     *rand.Rand
	now     float64
	clients []*client
	servers []*server
	queue   queue
	seconds []Count
	next    policy.RequestID
	held    int     // by all servers
	callsAt float64 // when discovery has done all that it was asked
	told    int     // calls of agents that discovery answered
	spare   [][]policy.Action
	err     error
}

// New makes a fleet whose agents ask alike. Nothing happens before Boot and Play.
func New(cfg Config) (*Model, error) {
	m := &Model{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 11)), now: Start}
	for i := range cfg.Servers {
		m.servers = append(m.servers, &server{m: m, addr: addr(i), zone: i % cfg.Zones, speed: 1})
	}
	for i := range cfg.Agents {
		set := cfg.Settings
		set.Replicas, set.Index, set.Zone = cfg.Agents, i, i%cfg.Zones
		a, err := newAgent(m, set, cfg.Seed<<16+uint64(i))
		if err != nil {
			return nil, err
		}
		rate := cfg.Load * float64(cfg.Servers) / cfg.WorkMs / float64(cfg.Agents)
		m.clients = append(m.clients, &client{agent: a, rate: rate})
	}
	return m, nil
}

// addr is the address of the server of that number, which serverAt takes back.
func addr(i int) policy.Addr {
	return policy.Addr{10, byte(i >> 16), byte(i >> 8), byte(i), 0x13, 0x8b}
}

func (m *Model) serverAt(at policy.Addr) *server {
	if i := int(at[1])<<16 | int(at[2])<<8 | int(at[3]); i < len(m.servers) {
		return m.servers[i]
	}
	m.err = fmt.Errorf("model: the module named server %v, which is on no list", at)
	return nil
}

func (m *Model) at(at float64, what happening) { m.queue.push(max(at, m.now), what) }

// second is the count of the present second.
func (m *Model) second() *Count {
	i := int((m.now - Start) / 1000)
	for len(m.seconds) <= i {
		m.seconds = append(m.seconds, Count{})
	}
	return &m.seconds[i]
}

// list is what discovery says now.
func (m *Model) list() []policy.Entry {
	var all []policy.Entry
	for _, s := range m.servers {
		all = append(all, s.entry())
	}
	return all
}

// tell hands all agents an event of the list at once.
func (m *Model) tell(kind policy.ListKind, entries ...policy.Entry) {
	for _, c := range m.clients {
		c.agent.handle(policy.Event{Kind: policy.EvList, List: kind, Entries: entries})
	}
}

// boot starts all agents with the list as it is and lets their clients ask.
func (m *Model) boot() {
	for _, c := range m.clients {
		c.agent.boot()
		m.at(m.now+m.rng.ExpFloat64()/c.rate, c)
	}
}

// checkEvery is after how many events a run looks whether it is to end.
const checkEvery = 1 << 14

// play runs the fleet for so many seconds, or until ctx ends.
func (m *Model) play(ctx context.Context, seconds float64) error {
	end := m.now + seconds*1000
	for n := 0; !m.queue.empty() && m.queue.next().at <= end && m.err == nil; n++ {
		e := m.queue.pop()
		m.now = e.at
		e.what.happen(m)
		if n%checkEvery == 0 && ctx.Err() != nil {
			return fmt.Errorf("model: ended at %.1f s: %w", (m.now-Start)/1000, context.Cause(ctx))
		}
	}
	m.now = end
	return m.err
}
