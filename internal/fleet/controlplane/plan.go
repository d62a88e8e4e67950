// Package controlplane measures the control side of a large fleet: how long a change of the list
// of servers takes to be in force at all agents, and what that costs agents and discovery.
//
// The agents are simulated in part: the real watch code and the real decision module, without
// clients and without connections to bid servers, some hundreds in a process. Discovery is played
// by stand-ins that speak its protocol, one process each. The bench is their source of truth.
package controlplane

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"syscall"
	"time"

	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// What a list holds of the servers: all of the fleet's, as discovery's protocol has it, or
// one service's, which it has not.
const (
	ScopeFleet   = "fleet"
	ScopeService = "service"
)

// Plan describes a run; the command line of 'fleetbench control' explains each field. Spans are
// of real time.
type Plan struct {
	Size       fleet.Size
	StandIns   int // of discovery, a region
	Processes  int // for the agents
	Membership string
	Scope      string
	AskWithin  time.Duration // the settings' contract.askWithinMs
	Spread     time.Duration // over which the agents' starts are spread evenly; less in a smaller fleet
	Changes    int           // of one server each, on the calm fleet
	Calm       time.Duration // without a change
	Down       time.Duration // of a killed stand-in, until another is at its address
	Silent     time.Duration // of all of discovery
	Cut        time.Duration // of a region
	CutEvery   time.Duration // between the changes that a cut-off region misses
	Limit      time.Duration // waited for a version to be in force
	Sweep      bool          // smaller fleets and lists too, for the slopes
	Faults     bool          // play the faults too, at the full size
}

// What the memory of an agent is taken to be before a run: a fixed part, and what each entry
// of its list takes with the garbage that stands beside it.
const (
	agentBytes, entryBytes = 300 << 10, 1 << 10
	spareFiles             = 64 // of a process, beside the watches
)

// Validate returns a *fleet.UsageError for the first argument that is out of range or needs more
// memory, processes or descriptors than the machine has.
func (p *Plan) Validate() error {
	if err := p.Size.Validate(); err != nil {
		return err
	}
	for _, f := range []struct {
		arg         string
		value, most int
	}{{"stand-ins", p.StandIns, 100}, {"processes", p.Processes, 100}, {"changes", p.Changes, 1000}} {
		if f.value < 1 || f.value > f.most {
			return fleet.NewUsageError(f.arg, "must be from 1 to %d, is %d", f.most, f.value)
		}
	}
	for _, f := range []struct {
		arg         string
		value, most time.Duration
	}{{"ask-within", p.AskWithin, time.Hour}, {"calm", p.Calm, time.Hour}, {"down", p.Down, time.Hour},
		{"silent", p.Silent, time.Hour}, {"cut", p.Cut, time.Hour}, {"cut-every", p.CutEvery, time.Hour}, {"limit", p.Limit, time.Hour}} {
		if f.value <= 0 || f.value > f.most {
			return fleet.NewUsageError(f.arg, "must be above 0 and at most %v, is %v", f.most, f.value)
		}
	}
	if p.Spread < 0 || p.Spread >= p.Limit {
		return fleet.NewUsageError("spread", "must be from 0 to less than --limit, is %v", p.Spread)
	}
	if p.Membership != policy.MembershipOnRequest && p.Membership != policy.MembershipPushed {
		return fleet.NewUsageError("membership", "must be %s or %s, is %q", policy.MembershipOnRequest, policy.MembershipPushed, p.Membership)
	}
	if p.Scope != ScopeFleet && p.Scope != ScopeService {
		return fleet.NewUsageError("scope", "must be %s or %s, is %q", ScopeFleet, ScopeService, p.Scope)
	}
	if p.Sweep {
		least := sweepParts[0]
		if float64(p.Size.Agents)*least*sweepAgents < 1 {
			return fleet.NewUsageError("agents", "must be %g or more for the slopes (or --no-sweep), is %d", 1/(least*sweepAgents), p.Size.Agents)
		}
		if n := max(p.Size.Services, p.Size.Zones); float64(p.Size.Servers)*least < float64(n) {
			return fleet.NewUsageError("servers", "must be %g or more for the slopes (or --no-sweep), is %d", float64(n)/least, p.Size.Servers)
		}
	}
	return p.fits()
}

// with returns the plan with a part of the agents, which start as densely, and a part of the servers.
func (p *Plan) with(agents, servers float64) Plan {
	part := *p
	part.Size.Agents = int(agents * float64(p.Size.Agents))
	part.Size.Servers = int(servers * float64(p.Size.Servers))
	part.Spread = time.Duration(agents * float64(p.Spread))
	return part
}

// fits returns a *fleet.UsageError if the run would need more memory, processes or descriptors than there are.
func (p *Plan) fits() error {
	size := p.Size
	if n := p.Processes + p.StandIns*size.Regions; n > fleet.MaxProcesses {
		return fleet.NewUsageError("stand-ins", "%d processes with those of the agents, at most %d", n, fleet.MaxProcesses)
	}
	entries := float64(size.Servers)
	if p.Scope == ScopeService {
		entries /= float64(size.Services)
	}
	if err := fleet.CheckMemory("agents", float64(size.Agents)*(agentBytes+entryBytes*entries)); err != nil {
		return err
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return fmt.Errorf("limit of open files: %w", err)
	}
	// A watch that is opened anew may stand beside the one that has ended.
	watches := 2 * max(ceil(size.Agents, p.Processes), p.agentsOf(0))
	ports := p.scopes() * p.StandIns * size.Regions
	if need := max(watches+p.scopes(), ports) + spareFiles; uint64(need) > files.Cur {
		return fleet.NewUsageError("agents", "would need %d open files in a process, the limit is %d", need, files.Cur)
	}
	return nil
}

// ceil returns n divided by parts, rounded up.
func ceil(n, parts int) int { return (n + parts - 1) / parts }

// scopes returns how many different lists a stand-in serves.
func (p *Plan) scopes() int {
	if p.Scope == ScopeService {
		return p.Size.Services
	}
	return 1
}

// agentScopes returns the scope of each agent's list: the service of the server that it runs beside.
func (p *Plan) agentScopes() []int {
	scopes := make([]int, p.Size.Agents)
	if p.Scope == ScopeService {
		serviceOf := p.services()
		for i := range scopes {
			scopes[i] = serviceOf[i%p.Size.Servers]
		}
	}
	return scopes
}

// startDelay returns how long after the fleet's start an agent starts.
func (p *Plan) startDelay(agent int) time.Duration {
	return p.Spread * time.Duration(agent) / time.Duration(p.Size.Agents)
}

// zoneOf returns the zone of a server or an agent, regionOf the region of a zone.
func (p *Plan) zoneOf(i int) int      { return i % p.Size.Zones }
func (p *Plan) regionOf(zone int) int { return zone * p.Size.Regions / p.Size.Zones }

// standInOf returns the stand-in whose address an agent's configuration names: one of its region.
func (p *Plan) standInOf(agent int) int {
	return p.regionOf(p.zoneOf(agent))*p.StandIns + agent/p.Size.Zones%p.StandIns
}

// agentsOf returns the number of agents of a stand-in.
func (p *Plan) agentsOf(standIn int) int {
	n := 0
	for i := range p.Size.Agents {
		if p.standInOf(i) == standIn {
			n++
		}
	}
	return n
}

// services returns the service of each server. Services are uneven: each has one server at least, the first more.
func (p *Plan) services() []int {
	rng := rand.New(rand.NewPCG(p.Size.Seed, 1))
	sum, until := 0.0, make([]float64, p.Size.Services)
	for k := range until {
		sum += 1 / math.Sqrt(float64(k+1))
		until[k] = sum
	}
	of := make([]int, p.Size.Servers)
	for i := range of {
		if of[i] = i; i >= p.Size.Services {
			x := rng.Float64() * sum
			for of[i] = 0; until[of[i]] < x; of[i]++ {
			}
		}
	}
	return of
}

// serverName returns a server's name in the list. The agent hashes it.
func serverName(i int) string { return fmt.Sprintf("s-%08x", uint32(i)*2654435761) }

// hosts returns the list at the start. Nobody dials its addresses.
func (p *Plan) hosts() []endpointlist.Host {
	hosts := make([]endpointlist.Host, p.Size.Servers)
	for i := range hosts {
		hosts[i] = endpointlist.Host{Host: serverName(i), Dial: fmt.Sprintf("127.%d.%d.%d:8081", p.zoneOf(i)+1, i>>8&255, i&255),
			Site: zoneName(p.zoneOf(i)), Class: "m1", Block: i / 40, Health: "ready", Share: 1}
	}
	return hosts
}

// zoneName returns a zone's name in the list and in the settings.
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// config returns the configuration of an agent.
func (p *Plan) config(index int, discovery string) ([]byte, error) {
	zones := make([]string, p.Size.Zones)
	for z := range zones {
		zones[z] = zoneName(z)
	}
	type object map[string]any
	return json.Marshal(object{
		"name": fmt.Sprintf("a%d", index), "listen": "127.0.0.1:0", "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", p.Size.Seed<<32+uint64(index)),
		"limits": object{"cores": 1, "memory_mb": 32, "sockets": 64},
		"settings": object{
			"classes":        []object{{"name": "call", "aimMs": 20, "giveUpMs": 200, "credit": 1, "effect": policy.EffectIdempotent}},
			"failureDomains": zones, "shapes": []string{"m1"}, "membershipMode": p.Membership,
			"limits": object{"cancelling": true, "maxAttempts": 3, "connectTimeoutMs": 200, "keepaliveMs": 30000, "maxRetryAfterMs": 600},
			"contract": object{"askWithinMs": p.AskWithin.Milliseconds(), "coldFrom": 0.3, "coldMs": 8000,
				"drainGraceMs": 1000, "fallMultiple": 2.5, "tipAfterMs": 1000},
			"index": index, "replicasOfMe": p.Size.Agents, "roundMs": 5, "weights": "nominal", "zone": p.zoneOf(index),
		},
	})
}
