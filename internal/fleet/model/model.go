// Package model simulates many agents and many servers in virtual time and counts their combined
// effect. Each agent is one policy.Balancer and sees only its own events. All random numbers come
// from one seed: the same configuration and seed give the same figures.
//
// The model assumes:
//   - An agent calls one service. Its endpoint list holds only that service's servers.
//   - Agents and traffic are divided among the services in proportion to the services' servers.
//     Within a service the agents' rates may differ.
//   - The servers of a service and its agents are spread evenly over the zones.
//   - Connections cost nothing. An open connection to a server that has failed silently hides the
//     failure for a while.
//
// All times are in ms of virtual time, unless a name says otherwise.
package model

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"

	"ploverreel/policy"
)

// StartMs is the virtual time in ms at which every model starts. It is above 0, as a time of 0 means
// "never" in server.startedAt and server.overloadedSince.
const StartMs = 1e6

// service is a group of interchangeable servers and the clients that call them.
type service struct {
	servers   []*server
	clients   []*client
	staleList []policy.Entry // stale list that agents may use in the start scenario; nil: none
}

// discovery is the service that serves the endpoint lists, one call at a time.
type discovery struct {
	freeAt   float64 // time in ms at which it has answered all accepted calls
	answered int     // number of answered calls
}

// Model is one simulated fleet. It is not safe for concurrent use.
type Model struct {
	cfg               Config
	rng               *rand.Rand
	now               float64
	services          []*service
	clients           []*client
	servers           []*server
	queue             queue
	secondCounts      []Count
	firstAttemptWaits *waitHistogram
	goodputs          *goodputs
	viewRefreshedAt   float64 // time in ms of the last refresh of the baseline's delayed view
	lastRequest       policy.RequestID
	rateFactor        float64 // current multiple of the clients' rate
	stopped           bool    // clients send no more requests
	isolated          []bool  // by region: it is partitioned from all others
	pending           int     // requests pending on all servers
	maxQueued         int     // maximum number of requests queued in one agent at a time
	discovery         discovery
	spareActions      [][]policy.Action // slices that agent.handle reuses
	err               error             // ends the run
}

// New returns an idle fleet: its agents have not started. It returns an error of Config.Validate or
// of policy.New.
func New(cfg Config) (*Model, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	m := &Model{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 11)), now: StartMs, rateFactor: 1,
		isolated: make([]bool, cfg.Regions), firstAttemptWaits: newWaitHistogram(), goodputs: newGoodputs(&cfg), viewRefreshedAt: math.Inf(-1)}
	layout := rand.New(rand.NewPCG(cfg.Seed, 12)) // separate, so that the layout does not shift the draws of the run
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

// addClients adds count clients to a service, each with an agent. Together they send rate requests
// per ms. The shares of the clients are lognormal. Clients are placed in the zones in turn, from
// firstZone.
func (m *Model) addClients(service *service, firstZone, count int, rate float64, layout *rand.Rand) error {
	var weights []float64
	sum := 0.0
	for range count {
		weight := math.Exp(m.cfg.RateSpread * layout.NormFloat64())
		weights, sum = append(weights, weight), sum+weight
	}
	for i, weight := range weights {
		client := &client{m: m, service: service, zone: (firstZone + i) % m.cfg.Zones, index: len(m.clients), indexInService: i,
			serviceClients: count, serviceRate: rate, rate: rate * weight / sum, listDelayMs: layout.Float64() * m.cfg.ListMs}
		service.clients, m.clients = append(service.clients, client), append(m.clients, client)
		if err := client.start(); err != nil {
			return err
		}
	}
	return nil
}

// zipfExponent is the exponent of Zipf's law by which agents and servers are divided among services.
const zipfExponent = 0.8

// divide splits a total number of agents or servers among services by Zipf's law with exponent
// zipfExponent. Each service gets at least two if there are enough.
func divide(total, services int) []int {
	minimum := min(2, total/services)
	sum := 0.0
	for k := range services {
		sum += math.Pow(float64(k+1), -zipfExponent)
	}
	parts := make([]int, services)
	remaining := total - minimum*services
	for k := range parts {
		n := int(float64(total-minimum*services) * math.Pow(float64(k+1), -zipfExponent) / sum)
		parts[k], remaining = minimum+n, remaining-n
	}
	for k := 0; remaining > 0; k, remaining = k+1, remaining-1 {
		parts[k%services]++
	}
	return parts
}

// region returns the index of a zone's region.
func (m *Model) region(zone int) int { return zone * m.cfg.Regions / m.cfg.Zones }

// networkDelay returns the one-way network delay between two zones in ms.
func (m *Model) networkDelay(from, to int) float64 {
	switch {
	case from == to:
		return m.cfg.ZoneMs
	case m.region(from) == m.region(to):
		return m.cfg.CrossZoneMs
	}
	return m.cfg.CrossRegionMs
}

// reachable reports whether messages between two zones arrive: no partition separates their regions.
func (m *Model) reachable(from, to int) bool {
	fromRegion, toRegion := m.region(from), m.region(to)
	return fromRegion == toRegion || !m.isolated[fromRegion] && !m.isolated[toRegion]
}

// addServer adds a warm server to a service.
func (m *Model) addServer(service *service, zone int) *server {
	server := &server{m: m, service: service, addr: addr(len(m.servers)), zone: zone, warmSpeed: 1, listed: policy.HealthReady}
	service.servers, m.servers = append(service.servers, server), append(m.servers, server)
	return server
}

// addr returns the address of the server with index i in Model.servers. serverAt is its inverse.
func addr(i int) policy.Addr {
	return policy.Addr{10, byte(i >> 16), byte(i >> 8), byte(i), 0x13, 0x8b}
}

// serverAt returns the server with an address. If there is none, it returns nil and ends the run with
// an error.
func (m *Model) serverAt(addr policy.Addr) *server {
	if index := int(addr[1])<<16 | int(addr[2])<<8 | int(addr[3]); index < len(m.servers) {
		return m.servers[index]
	}
	m.err = fmt.Errorf("model: the decision module named server %v, which is not in the fleet", addr)
	return nil
}

// schedule adds an event at a time in ms, or now if that time is past.
func (m *Model) schedule(at float64, effect effect) { m.queue.push(max(at, m.now), effect) }

// scheduleAfter calls do after a delay in ms.
func (m *Model) scheduleAfter(ms float64, do func()) { m.schedule(m.now+ms, callback(do)) }

// list returns the service's current endpoint list.
func (v *service) list() []policy.Entry {
	all := make([]policy.Entry, len(v.servers))
	for i, s := range v.servers {
		all[i] = s.entry()
	}
	return all
}

// publish publishes the current state of servers through discovery. Each agent that calls their
// service is notified after its own delay, client.listDelayMs.
func (m *Model) publish(servers []*server) {
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
			m.scheduleAfter(client.listDelayMs, func() {
				client.agent.handle(&policy.EndpointsUpdated{Kind: policy.ListDelta, Entries: entries})
			})
		}
	}
}

// boot starts all agents with the current endpoint list, and all clients.
func (m *Model) boot() {
	for _, client := range m.clients {
		client.agent.boot()
		m.schedule(m.now+client.nextDelay(), client)
	}
}

// eventsPerContextCheck is the number of events between two checks whether the context has ended.
const eventsPerContextCheck = 1 << 14

// run runs the fleet for a number of virtual seconds. If ctx ends first, it returns an error that
// wraps the cause.
func (m *Model) run(ctx context.Context, seconds float64) error {
	end := m.now + seconds*1000
	for n := 0; !m.queue.empty() && m.queue.next().at <= end && m.err == nil; n++ {
		event := m.queue.pop()
		m.now = event.at
		event.effect.fire(m)
		if n%eventsPerContextCheck == 0 && ctx.Err() != nil {
			return fmt.Errorf("model: run ended at %.1f s of virtual time: %w", (m.now-StartMs)/1000, context.Cause(ctx))
		}
	}
	m.now = end
	return m.err
}
