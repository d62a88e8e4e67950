// Package controlplane measures the control plane of a large fleet: how long it takes until all
// agents have applied a change of the endpoint list, and what that costs the agents and discovery.
//
// The agents are partly simulated. They run the real watch code and the real decision module, but
// have no clients and no connections to bid servers. Some hundreds of them run in one process. A
// stand-in is a small server in a process of its own that speaks the protocol of discovery and
// replaces it. The bench is the source of truth: it has the authoritative list and sends updates to
// the stand-ins.
//
// An agent has applied a version of the list when its decision module has it.
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

// The scopes of an endpoint list: which servers it holds.
const (
	ScopeFleet   = "fleet"   // all servers, as in the published discovery protocol
	ScopeService = "service" // the servers of one service; the published protocol has no such lists
)

const (
	// serversPerCell is the number of servers with consecutive indexes that share a cell.
	serversPerCell = 40
	// servicesStream selects the random stream, under the plan's seed, for the services of the
	// servers.
	servicesStream = 1
	// nameMultiplier maps a server's index, modulo 2^32, to the number in its name (multiplicative
	// hashing with the golden ratio). It is odd, so no two indexes get the same name.
	nameMultiplier = 2654435761
)

// Limits of the fields of a plan, which Validate checks.
const (
	maxStandIns       = 100       // stand-ins per region
	maxAgentProcesses = 100       // processes that run agents
	maxChanges        = 1000      // changes without a fault
	maxDuration       = time.Hour // each duration but Spread, which has to be less than Limit
)

// Plan describes a run. The help of 'fleetbench control' explains each field. Durations are real
// time.
type Plan struct {
	Size       fleet.Size
	StandIns   int           // stand-ins of discovery in each region
	Processes  int           // that run the agents
	Membership string        // policy.MembershipOnRequest or policy.MembershipPushed
	Scope      string        // ScopeFleet or ScopeService
	AskWithin  time.Duration // contract.askWithinMs of the agents' settings
	Spread     time.Duration // time over which the agents' starts are spread evenly; shorter in a smaller fleet
	Changes    int           // number of changes without a fault, of one server each
	Calm       time.Duration // duration of the phase without changes
	Down       time.Duration // time from the kill of a stand-in to the start of its replacement
	Silent     time.Duration // how long all stand-ins are silent
	Cut        time.Duration // how long a region is cut off
	CutEvery   time.Duration // time between changes while a region is cut off
	Limit      time.Duration // maximum wait until agents have applied a version
	Sweep      bool          // also measure smaller fleets and shorter lists, to fit the slopes
	Faults     bool          // also run the faults, at the full size
}

// Estimates that Validate compares with the limits of the machine.
const (
	// bytesPerAgent is the memory of an agent without its list. bytesPerEntry is the memory of each
	// entry of its list, with the garbage that has not been collected yet.
	bytesPerAgent, bytesPerEntry = 300 << 10, 1 << 10
	// spareDescriptors is the number of open files of a process besides its watches and listeners.
	spareDescriptors = 64
)

// Validate returns a *fleet.UsageError for the first argument that is out of range, or with which
// the run needs more memory, processes or open files than the machine allows.
func (p *Plan) Validate() error {
	if err := p.Size.Validate(); err != nil {
		return err
	}
	for _, f := range []struct {
		arg          string
		value, limit int
	}{{"stand-ins", p.StandIns, maxStandIns}, {"processes", p.Processes, maxAgentProcesses}, {"changes", p.Changes, maxChanges}} {
		if f.value < 1 || f.value > f.limit {
			return fleet.Usage(f.arg, "must be from 1 to %d, is %d", f.limit, f.value)
		}
	}
	for _, f := range []struct {
		arg          string
		value, limit time.Duration
	}{{"ask-within", p.AskWithin, maxDuration}, {"calm", p.Calm, maxDuration}, {"down", p.Down, maxDuration},
		{"silent", p.Silent, maxDuration}, {"cut", p.Cut, maxDuration}, {"cut-every", p.CutEvery, maxDuration}, {"limit", p.Limit, maxDuration}} {
		if f.value <= 0 || f.value > f.limit {
			return fleet.Usage(f.arg, "must be above 0 and at most %v, is %v", f.limit, f.value)
		}
	}
	if p.Spread < 0 || p.Spread >= p.Limit {
		return fleet.Usage("spread", "must be from 0 to less than --limit, is %v", p.Spread)
	}
	if p.Membership != policy.MembershipOnRequest && p.Membership != policy.MembershipPushed {
		return fleet.Usage("membership", "must be %s or %s, is %q", policy.MembershipOnRequest, policy.MembershipPushed, p.Membership)
	}
	if p.Scope != ScopeFleet && p.Scope != ScopeService {
		return fleet.Usage("scope", "must be %s or %s, is %q", ScopeFleet, ScopeService, p.Scope)
	}
	if p.Sweep {
		minShare := sweepShares[0]
		if float64(p.Size.Agents)*minShare*sweepAgentShare < 1 {
			return fleet.Usage("agents", "must be %g or more for the slopes (or --no-sweep), is %d", 1/(minShare*sweepAgentShare), p.Size.Agents)
		}
		if minServers := max(p.Size.Services, p.Size.Zones); float64(p.Size.Servers)*minShare < float64(minServers) {
			return fleet.Usage("servers", "must be %g or more for the slopes (or --no-sweep), is %d", float64(minServers)/minShare, p.Size.Servers)
		}
	}
	return p.checkResources()
}

// scaled returns the plan with a share of the agents and a share of the servers. The spread of the
// starts is scaled with the agents, so that as many agents start in a second.
func (p *Plan) scaled(agentShare, serverShare float64) Plan {
	scaled := *p
	scaled.Size.Agents = int(agentShare * float64(p.Size.Agents))
	scaled.Size.Servers = int(serverShare * float64(p.Size.Servers))
	scaled.Spread = time.Duration(agentShare * float64(p.Spread))
	return scaled
}

// checkResources returns a *fleet.UsageError if the run would need more memory, processes or open
// files than the machine allows.
func (p *Plan) checkResources() error {
	size := p.Size
	if n := p.Processes + p.StandIns*size.Regions; n > fleet.MaxProcesses {
		return fleet.Usage("stand-ins", "%d processes with those of the agents, at most %d", n, fleet.MaxProcesses)
	}
	entries := float64(size.Servers)
	if p.Scope == ScopeService {
		entries /= float64(size.Services)
	}
	if err := fleet.CheckMemory("agents", float64(size.Agents)*(bytesPerAgent+bytesPerEntry*entries)); err != nil {
		return err
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return fmt.Errorf("limit of open files: %w", err)
	}
	// Each agent may have two connections for a short time: a new watch, and the watch that has
	// ended.
	watches := 2 * max(ceilDiv(size.Agents, p.Processes), p.agentCount(0))
	ports := p.scopeCount() * p.StandIns * size.Regions
	if needed := max(watches+p.scopeCount(), ports) + spareDescriptors; uint64(needed) > files.Cur {
		return fleet.Usage("agents", "would need %d open files in a process, the limit is %d", needed, files.Cur)
	}
	return nil
}

// ceilDiv returns n divided by divisor, rounded up.
func ceilDiv(n, divisor int) int { return (n + divisor - 1) / divisor }

// scopeCount returns the number of scopes, which is the number of different lists that a stand-in
// serves.
func (p *Plan) scopeCount() int {
	if p.Scope == ScopeService {
		return p.Size.Services
	}
	return 1
}

// agentScopes returns the scope of each agent's list. If lists have the scope of a service, an
// agent gets the list of the service of the server that it runs beside.
func (p *Plan) agentScopes() []int {
	scopes := make([]int, p.Size.Agents)
	if p.Scope == ScopeService {
		serviceOf := p.serviceOfServers()
		for i := range scopes {
			scopes[i] = serviceOf[i%p.Size.Servers]
		}
	}
	return scopes
}

// startDelay returns the time from the start of the fleet to the start of an agent.
func (p *Plan) startDelay(agent int) time.Duration {
	return p.Spread * time.Duration(agent) / time.Duration(p.Size.Agents)
}

// zoneOf returns the zone of a server or of an agent.
func (p *Plan) zoneOf(i int) int { return i % p.Size.Zones }

// regionOf returns the region of a zone.
func (p *Plan) regionOf(zone int) int { return zone * p.Size.Regions / p.Size.Zones }

// standInOf returns the stand-in of an agent: the one of its region whose address is in its
// configuration.
func (p *Plan) standInOf(agent int) int {
	return p.regionOf(p.zoneOf(agent))*p.StandIns + agent/p.Size.Zones%p.StandIns
}

// agentCount returns the number of agents of a stand-in.
func (p *Plan) agentCount(standIn int) int {
	n := 0
	for i := range p.Size.Agents {
		if p.standInOf(i) == standIn {
			n++
		}
	}
	return n
}

// serviceOfServers returns the service of each server. The services have uneven sizes: each has at
// least one server, and the expected number of its other servers is inversely proportional to the
// square root of its rank.
func (p *Plan) serviceOfServers() []int {
	rng := rand.New(rand.NewPCG(p.Size.Seed, servicesStream))
	total, cumulative := 0.0, make([]float64, p.Size.Services)
	for k := range cumulative {
		total += 1 / math.Sqrt(float64(k+1))
		cumulative[k] = total
	}
	serviceOf := make([]int, p.Size.Servers)
	for i := range serviceOf {
		if serviceOf[i] = i; i >= p.Size.Services {
			draw := rng.Float64() * total
			for serviceOf[i] = 0; cumulative[serviceOf[i]] < draw; serviceOf[i]++ {
			}
		}
	}
	return serviceOf
}

// serverName returns the name of a server in the list. The agent derives the server's address in the
// decision module from a hash of it.
func serverName(index int) string { return fmt.Sprintf("s-%08x", uint32(index)*nameMultiplier) }

// initialHosts returns the servers of the first list. No agent connects to their addresses.
func (p *Plan) initialHosts() []endpointlist.Host {
	hosts := make([]endpointlist.Host, p.Size.Servers)
	for i := range hosts {
		hosts[i] = endpointlist.Host{Host: serverName(i), Dial: fmt.Sprintf("127.%d.%d.%d:8081", p.zoneOf(i)+1, i>>8&255, i&255),
			Site: zoneName(p.zoneOf(i)), Class: "m1", Block: i / serversPerCell, Health: "ready", Share: 1}
	}
	return hosts
}

// zoneName returns the name of a zone in the list and in the settings.
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// agentConfig returns the JSON of an agent's configuration. discovery is the address of its
// stand-in.
func (p *Plan) agentConfig(index int, discovery string) ([]byte, error) {
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
