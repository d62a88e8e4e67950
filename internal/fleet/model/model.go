// Package model simulates many agents and many servers in virtual time, to count what they do
// together. Each agent is one policy.Balancer and knows nothing but its own events. All random
// draws come from one seed: the same run gives the same figures.
//
// What it assumes: an agent calls one service, whose servers alone it has listed. Agents are
// dealt to the services in proportion to the services' servers, and so is the traffic; within
// a service the agents' parts of it may differ. A service's servers and its callers are spread
// evenly over the zones. Connections cost nothing, but an open one hides for a while that its
// server has failed silently. All times are in ms of virtual time, unless a name says otherwise.
package model

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"

	"ploverreel/policy"
)

// StartMs is the virtual time in ms at which every model starts. It is above 0 because a start time
// of 0 marks a server that is already warm.
const StartMs = 1e6

// service is servers that do the same, and the clients that call them.
type service struct {
	servers []*server
	clients []*client
	before  []policy.Entry // its endpoint list before the start scenario's start, if agents may still use that
}

// discovery is the service that has the endpoint lists. It takes calls in turn.
type discovery struct {
	freeAt   float64 // when it has answered all calls, in ms
	answered int     // calls that it has answered
}

// Model is one fleet. It may be used by one goroutine at a time.
type Model struct {
	cfg          Config
	rng          *rand.Rand
	now          float64
	services     []*service
	clients      []*client
	servers      []*server
	queue        queue
	seconds      []Count
	waits        *waitHistogram
	goodputs     *goodputs
	viewsAt      float64 // when the delayed view was last refreshed
	lastRequest  policy.RequestID
	rateFactor   float64 // by which the clients' rate is multiplied now
	stopped      bool    // the clients send no more
	isolated     []bool  // regions that are partitioned from all others
	pending      int     // on all servers
	maxQueued    int     // the most requests that an agent had queued at once
	discovery    discovery
	spareActions [][]policy.Action // for agent.handle
	err          error             // ends the play
}

// New makes a fleet, which is idle until it is booted and played. Its error is that of Validate or of
// policy.New.
func New(cfg Config) (*Model, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	m := &Model{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 11)), now: StartMs, rateFactor: 1,
		isolated: make([]bool, cfg.Regions), waits: newWaitHistogram(), goodputs: newGoodputs(&cfg), viewsAt: math.Inf(-1)}
	layout := rand.New(rand.NewPCG(cfg.Seed, 12)) // apart, so that the layout leaves the play's draws alone
	servers, agents := divide(cfg.Servers, cfg.Services), divide(cfg.Agents, cfg.Services)
	for k := range cfg.Services {
		service := &service{}
		m.services = append(m.services, service)
		for i := range servers[k] {
			m.addServer(service, (k+i)%cfg.Zones)
		}
		rate := cfg.Rate / 1000 * float64(servers[k]) / float64(cfg.Servers)
		if err := m.addClients(service, k, agents[k], rate, layout); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// addClients adds so many clients, with an agent each, to a service. Together they send rate requests
// a ms, each its lognormal part of them; the first is in the zone firstZone and the others in turn.
func (m *Model) addClients(service *service, firstZone, count int, rate float64, layout *rand.Rand) error {
	var parts []float64
	sum := 0.0
	for range count {
		part := math.Exp(m.cfg.RateSpread * layout.NormFloat64())
		parts, sum = append(parts, part), sum+part
	}
	for i, part := range parts {
		client := &client{m: m, service: service, zone: (firstZone + i) % m.cfg.Zones, number: len(m.clients), inService: i,
			replicas: count, quota: rate, rate: rate * part / sum, listMs: layout.Float64() * m.cfg.ListMs}
		service.clients, m.clients = append(service.clients, client), append(m.clients, client)
		if err := client.start(); err != nil {
			return err
		}
	}
	return nil
}

// zipfExponent is the exponent of Zipf's law by which agents and servers are divided among services.
const zipfExponent = 0.8

// divide deals things to services by Zipf's law with exponent 0.8, at least two each if there are
// enough.
func divide(things, services int) []int {
	least := min(2, things/services)
	sum := 0.0
	for k := range services {
		sum += math.Pow(float64(k+1), -zipfExponent)
	}
	parts := make([]int, services)
	left := things - least*services
	for k := range parts {
		n := int(float64(things-least*services) * math.Pow(float64(k+1), -zipfExponent) / sum)
		parts[k], left = least+n, left-n
	}
	for k := 0; left > 0; k, left = k+1, left-1 {
		parts[k%services]++
	}
	return parts
}

// region returns the region of a zone.
func (m *Model) region(zone int) int { return zone * m.cfg.Regions / m.cfg.Zones }

// hop returns the time in ms one way between two zones.
func (m *Model) hop(from, to int) float64 {
	switch {
	case from == to:
		return m.cfg.ZoneMs
	case m.region(from) == m.region(to):
		return m.cfg.CrossZoneMs
	}
	return m.cfg.CrossRegionMs
}

// linked reports whether a message gets from a zone to another.
func (m *Model) linked(from, to int) bool {
	fromRegion, toRegion := m.region(from), m.region(to)
	return fromRegion == toRegion || !m.isolated[fromRegion] && !m.isolated[toRegion]
}

// addServer adds a warm server to a service.
func (m *Model) addServer(service *service, zone int) *server {
	server := &server{m: m, service: service, addr: addr(len(m.servers)), zone: zone, speed: 1, listed: policy.HealthReady}
	service.servers, m.servers = append(service.servers, server), append(m.servers, server)
	return server
}

// addr returns the address of the server of that number, which serverAt takes back.
func addr(i int) policy.Addr {
	return policy.Addr{10, byte(i >> 16), byte(i >> 8), byte(i), 0x13, 0x8b}
}

// serverAt returns the server at an address. Where there is none it returns nil, and the play ends with
// an error.
func (m *Model) serverAt(at policy.Addr) *server {
	if number := int(at[1])<<16 | int(at[2])<<8 | int(at[3]); number < len(m.servers) {
		return m.servers[number]
	}
	m.err = fmt.Errorf("model: the module named server %v, which is on no list", at)
	return nil
}

// schedule adds an event at a time, or now if that is past.
func (m *Model) schedule(at float64, what scheduled) { m.queue.push(max(at, m.now), what) }

// after calls do so many ms from now.
func (m *Model) after(ms float64, do func()) { m.schedule(m.now+ms, call(do)) }

// list returns the service's endpoint list now.
func (v *service) list() []policy.Entry {
	all := make([]policy.Entry, len(v.servers))
	for i, s := range v.servers {
		all[i] = s.entry()
	}
	return all
}

// announce has discovery publish the servers as they are now; each agent that calls their service is
// notified after a delay of its own.
func (m *Model) announce(servers []*server) {
	for _, service := range m.services {
		var entries []policy.Entry
		for _, server := range servers {
			if server.service == service {
				entries = append(entries, server.entry())
			}
		}
		if len(entries) == 0 {
			continue
		}
		for _, client := range service.clients {
			m.after(client.listMs, func() {
				client.agent.handle(&policy.EndpointsUpdated{Kind: policy.ListDelta, Entries: entries})
			})
		}
	}
}

// boot starts all agents with the endpoint list as it is, and their clients.
func (m *Model) boot() {
	for _, client := range m.clients {
		client.agent.boot()
		m.schedule(m.now+client.nextDelay(), client)
	}
}

// eventsPerContextCheck is the number of events between two checks whether the context has ended.
const eventsPerContextCheck = 1 << 14

// play runs the fleet for so many virtual seconds, or until ctx ends, whose cause it returns then.
func (m *Model) play(ctx context.Context, seconds float64) error {
	end := m.now + seconds*1000
	for n := 0; !m.queue.empty() && m.queue.next().at <= end && m.err == nil; n++ {
		event := m.queue.pop()
		m.now = event.at
		event.action.fire(m)
		if n%eventsPerContextCheck == 0 && ctx.Err() != nil {
			return fmt.Errorf("model: ended at %.1f s: %w", (m.now-StartMs)/1000, context.Cause(ctx))
		}
	}
	m.now = end
	return m.err
}
