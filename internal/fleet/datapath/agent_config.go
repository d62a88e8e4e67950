package datapath

import (
	"encoding/json"
	"fmt"
	"time"

	"ploverreel/internal/endpointlist"
)

const (
	// Limits of an agent: one core, and the most memory (MB) and sockets that a deployment gives an
	// agent.
	agentCores, agentMemoryMB, agentSockets = 1, 192, 1024
	// keepaliveTimeout is how long agents and stand-in servers keep an idle connection open.
	keepaliveTimeout = time.Minute
	// connectTimeout is how long an agent waits for a connection to be established.
	connectTimeout = 600 * time.Millisecond
	// cellCount is the number of cells that the listed servers are assigned to in turn.
	cellCount = 64
	// className and tenantName are the class and the tenant of all calls.
	className  = "look"
	tenantName = "all"
)

// agentConfig returns the configuration file of the agent with that index, which listens on
// listenAddr.
func (p *Plan) agentConfig(s scenario, index int, listenAddr, discoveryAddr string, list endpointlist.List) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": fmt.Sprint("n", index), "listen": listenAddr, "discovery": discoveryAddr, "seed": fmt.Sprintf("%x", p.Size.Seed+uint64(index)),
		"limits":   map[string]any{"cores": agentCores, "memory_mb": agentMemoryMB, "sockets": agentSockets},
		"settings": p.agentSettings(s, index), "known": list})
}

// agentSettings returns the settings of a typical deployment. They have one class of idempotent
// requests, no health checks, no load reports, and the fleet's quota and zones.
func (p *Plan) agentSettings(s scenario, index int) map[string]any {
	var zones []string
	for z := range p.Size.Zones {
		zones = append(zones, zoneName(z))
	}
	return map[string]any{
		"classes": []any{map[string]any{"name": className, "aimMs": s.objective.Milliseconds(), "giveUpMs": s.timeout().Milliseconds(),
			"credit": 1, "lateShare": 0.2, "effect": "free"}},
		"tenants": []any{map[string]any{"name": tenantName, "portion": 1, "quotaPerS": p.ratePerAgent() * float64(s.replicas)}},
		"limits": map[string]any{"cancelling": true, "maxAttempts": 3, "connectTimeoutMs": connectTimeout.Milliseconds(),
			"keepaliveMs": keepaliveTimeout.Milliseconds(), "maxRetryAfterMs": 600, "retryAfter": true},
		"contract": map[string]any{"answerSlackMs": 20, "askWithinMs": 10000, "coldFrom": 0.3, "coldMs": 8000,
			"drainGraceMs": 1000, "fallMultiple": 2.5, "tipAfterMs": 1000},
		"prices":       map[string]any{"crossZone": 0.03, "lateFail": 0.03, "probe": 0.04, "waste": 0.1},
		"objectiveMix": map[string]any{"whole": 0.5, "worstWindow": 0.3, "worstClass": 0.1, "worstTenant": 0.1},
		"clients":      map[string]any{"marksRetry": false}, "familyInfo": map[string]any{"warmKeys": false},
		"report": map[string]any{"how": "off"}, "membershipMode": "pushed", "failureDomains": zones, "shapes": []string{"k"},
		"index": index, "replicasOfMe": s.replicas, "zone": index % p.Size.Zones,
		"overShareWorth": 0.2, "roundMs": 5, "weights": "off", "worthBy": "request",
	}
}

// zoneName returns the name of the zone with that index.
func zoneName(i int) string { return fmt.Sprint("z", i) }

// endpointList returns an endpoint list of the servers, which are assigned to the zones and cells
// in turn.
func (p *Plan) endpointList(addrs []string) endpointlist.List {
	list := endpointlist.List{Seq: 1, Whole: true}
	for i, addr := range addrs {
		list.Hosts = append(list.Hosts, endpointlist.Host{Host: fmt.Sprintf("s-%08x", i), Dial: addr, Site: zoneName(i % p.Size.Zones),
			Class: "k", Block: i % cellCount, Health: "ready", Share: 1})
	}
	return list
}
