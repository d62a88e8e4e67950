// Package model plays many agents against many servers in virtual time, to count what they
// do together. Each agent is one module of package policy and comes by nothing but its own
// events. All draws come from one seed: the same run gives the same figures.
//
// What it assumes: an agent calls one service, whose servers alone it has listed. Agents are
// dealt to the services in proportion to the services' servers, and so is the traffic; within
// a service the agents' parts of it may differ. A service's servers and its callers are spread
// evenly over the zones. Connections cost nothing, but one that is there hides for a while
// that its server has gone silent.
package model

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// Start is the clock's time in ms at which a model begins.
const Start = 1e6

// Config is what a model is made of.
type Config struct {
	Agents   int // at least as many as services
	Servers  int // at least as many as services
	Services int
	Zones    int
	Regions  int
	Rate     float64 // requests a second, all agents together
	Uneven   float64 // spread of the agents' rates: of their logarithms; 0: alike
	Peak     float64 // the most that a burst multiplies the rate by; 0: no bursts
	Cores    int     // of a server
	WorkMs   float64 // mean work of a request, on one core at full speed
	// One way between two places, in ms.
	ZoneMs, CrossZoneMs, CrossRegionMs float64
	ListMs                             float64 // an agent is told of a change of the list within this
	CallMs                             float64 // discovery's work for a call; it takes calls in turn
	Seed                               uint64
	// Traffic tells what is asked of each of the settings' classes; none: all of the first.
	Traffic []Traffic
	Retries int // of a client for a request that is not served; at least one
	// Heavy is the spread of the requests' work: of its logarithm. 0: a server's time for each
	// request is drawn, and all count alike in its budget.
	Heavy float64
	// Hinted has clients tell the work of a request where Heavy is above 0, as they estimate it.
	Hinted bool
	// StaleStart has an agent that starts anew on the start day work by the list of before the
	// start until it is told of the change.
	StaleStart bool
	// RestartS is within how many seconds of the start day's start each agent starts once more;
	// 0: none does.
	RestartS float64
	// RunsOn has servers work on what nobody waits for any more.
	RunsOn bool
	// LateView has agents decide by what the servers really hold, seen late, in place of the
	// module: what the module is measured against.
	LateView bool
	// Settings are those of each agent but for its index, its zone, the replicas and the quota.
	Settings policy.Settings
	// ToldService has the settings' replicas and quota be those of the agent's service, not of
	// the whole fleet.
	ToldService bool
	// KeepArrivals has each server remember when attempts came.
	KeepArrivals bool
}

// Settings are those of a plain deployment: one class of requests that may be repeated.
func Settings() policy.Settings {
	s := policy.Settings{
		Classes: []policy.Class{{Name: "free", LatencyObjectiveMs: 300, DeadlineMs: 1500, Effect: policy.EffectIdempotent, PriorityWeight: 1}},
		Limits: policy.Limits{Cancellation: true, HealthChecks: true, MaxAttempts: 5, MaxRetryAfterMs: 2000,
			ConnectTimeoutMs: 250, KeepaliveMs: 15000},
		Contract: policy.Contract{AnswerSlackMs: 5, PollWithinMs: 10000, SlowStartFrom: 0.3, SlowStartMs: 7000,
			DrainGraceMs: 1500, OverloadMultiple: 3, OverloadWindowMs: 1000},
		Prices:     policy.Prices{CrossZone: 0.03, Handshake: 0.08, HealthCheck: 0.08, Membership: 0.05, Waste: 0.1},
		Membership: policy.MembershipPushed, RoundMs: 1, WeightBy: "request", Weights: "off",
	}
	s.Clients.MarksRetry = true
	return s
}

// Count is what happened in one second, all agents together.
type Count struct {
	Asked       int // requests, without repeats by the clients
	Served      int // of these, answered within the aim, be it in a later second
	TurnedAway  int // of these, refused at their first coming
	Refused     int // of these, refused for good
	Won         int // answers within the aim
	Sends       int // attempts
	Again       int // attempts after a request's first
	CrossZone   int // attempts to another zone, and of these to another region
	CrossRegion int
	Held        int // most that all servers held at once
	Calls       int // to discovery
	Probes      int
	Connects    int // attempts whose agent had no idle connection to the server
}

func (c *Count) add(o *Count) {
	c.Asked += o.Asked
	c.Served += o.Served
	c.Won += o.Won
	c.TurnedAway += o.TurnedAway
	c.Refused += o.Refused
	c.Sends += o.Sends
	c.Again += o.Again
	c.CrossZone += o.CrossZone
	c.CrossRegion += o.CrossRegion
	c.Held = max(c.Held, o.Held)
	c.Calls += o.Calls
	c.Probes += o.Probes
	c.Connects += o.Connects
}

// service is servers that do the same, and who calls them.
type service struct {
	servers []*server
	clients []*client
	before  []policy.Entry // its list of before the start day's start, if agents may still have that
}

// Model is one fleet.
type Model struct {
	cfg      Config
	rng      *rand.Rand
	now      float64
	services []*service
	clients  []*client
	servers  []*server
	queue    queue
	seconds  []Count
	waits    *waits
	shares   *shares
	viewedAt float64 // when agents last saw the servers that see them late
	next     policy.RequestID
	burst    float64 // how many times their rate the clients ask
	stopped  bool    // the clients ask no more
	cut      []bool  // regions that reach no other
	held     int     // by all servers
	mostHeld int     // most that an agent held back at once
	callsAt  float64 // when discovery has done all that it was asked
	told     int     // calls of agents that discovery answered
	spare    [][]policy.Action
	err      error
}

// Validate reports a fleet in which some service has no caller or no server.
func (cfg *Config) Validate() error {
	switch {
	case cfg.Agents < cfg.Services:
		return fleet.Usage("agents", "must be at least as many as the %d services, is %d", cfg.Services, cfg.Agents)
	case cfg.Servers < cfg.Services:
		return fleet.Usage("servers", "must be at least as many as the %d services, is %d", cfg.Services, cfg.Servers)
	}
	if !(cfg.Heavy >= 0) || cfg.Heavy > mostSpread {
		return fleet.Usage("heavy", "must be from 0 to %v, is %v", mostSpread, cfg.Heavy)
	}
	if !(cfg.RestartS >= 0) {
		return fleet.Usage("restart", "must be 0 or above, is %v", cfg.RestartS)
	}
	return cfg.validateTraffic()
}

// New makes a fleet. Nothing happens before it is booted and played.
func New(cfg Config) (*Model, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	m := &Model{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 11)), now: Start, burst: 1,
		cut: make([]bool, cfg.Regions), waits: newWaits(), shares: newShares(&cfg), viewedAt: math.Inf(-1)}
	layout := rand.New(rand.NewPCG(cfg.Seed, 12)) // apart, so that the layout leaves the play's draws alone
	servers, agents := divide(cfg.Servers, cfg.Services), divide(cfg.Agents, cfg.Services)
	for k := range cfg.Services {
		v := &service{}
		m.services = append(m.services, v)
		for i := range servers[k] {
			m.addServer(v, (k+i)%cfg.Zones)
		}
		rate := cfg.Rate / 1000 * float64(servers[k]) / float64(cfg.Servers)
		var parts []float64
		sum := 0.0
		for range agents[k] {
			part := math.Exp(cfg.Uneven * layout.NormFloat64())
			parts, sum = append(parts, part), sum+part
		}
		for i, part := range parts {
			c := &client{m: m, service: v, zone: (k + i) % cfg.Zones, number: len(m.clients), inService: i,
				replicas: agents[k], rate: rate * part / sum, listMs: layout.Float64() * cfg.ListMs}
			c.quota = rate
			v.clients, m.clients = append(v.clients, c), append(m.clients, c)
			if err := c.start(); err != nil {
				return nil, err
			}
		}
	}
	return m, nil
}

// divide deals things to services by a Zipf law with exponent 0.8, two or more each if there
// are enough.
func divide(things, services int) []int {
	least := min(2, things/services)
	sum := 0.0
	for k := range services {
		sum += math.Pow(float64(k+1), -0.8)
	}
	parts := make([]int, services)
	left := things - least*services
	for k := range parts {
		n := int(float64(things-least*services) * math.Pow(float64(k+1), -0.8) / sum)
		parts[k], left = least+n, left-n
	}
	for k := 0; left > 0; k, left = k+1, left-1 {
		parts[k%services]++
	}
	return parts
}

func (m *Model) region(zone int) int { return zone * m.cfg.Regions / m.cfg.Zones }

// hop is the time one way between two zones.
func (m *Model) hop(from, to int) float64 {
	switch {
	case from == to:
		return m.cfg.ZoneMs
	case m.region(from) == m.region(to):
		return m.cfg.CrossZoneMs
	}
	return m.cfg.CrossRegionMs
}

// linked tells whether a message gets from a zone to another.
func (m *Model) linked(from, to int) bool {
	a, b := m.region(from), m.region(to)
	return a == b || !m.cut[a] && !m.cut[b]
}

func (m *Model) addServer(v *service, zone int) *server {
	s := &server{m: m, service: v, addr: addr(len(m.servers)), zone: zone, speed: 1, listed: policy.HealthReady}
	v.servers, m.servers = append(v.servers, s), append(m.servers, s)
	return s
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

// after has something happen so many ms from now.
func (m *Model) after(ms float64, do func()) { m.at(m.now+ms, call(do)) }

// second is the count of the present second.
func (m *Model) second() *Count { return m.secondOf(m.now) }

// secondOf is the count of the second of that time.
func (m *Model) secondOf(at float64) *Count {
	i := int((at - Start) / 1000)
	for len(m.seconds) <= i {
		m.seconds = append(m.seconds, Count{})
	}
	return &m.seconds[i]
}

// list is what discovery says of the service now.
func (v *service) list() []policy.Entry {
	all := make([]policy.Entry, len(v.servers))
	for i, s := range v.servers {
		all[i] = s.entry()
	}
	return all
}

// announce lets discovery tell of the servers as they are now; each agent that calls their
// service hears of it by its own delay.
func (m *Model) announce(servers []*server) {
	for _, v := range m.services {
		var entries []policy.Entry
		for _, s := range servers {
			if s.service == v {
				entries = append(entries, s.entry())
			}
		}
		if len(entries) == 0 {
			continue
		}
		for _, c := range v.clients {
			m.after(c.listMs, func() {
				c.agent.handle(policy.Event{Kind: policy.EventEndpointList, List: policy.ListDelta, Entries: entries})
			})
		}
	}
}

// boot starts all agents with the list as it is and lets their clients ask.
func (m *Model) boot() {
	for _, c := range m.clients {
		c.agent.boot()
		m.at(m.now+c.pause(), c)
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
