package datapath

import (
	"encoding/json"
	"fmt"
	"time"

	"ploverreel/internal/endpointlist"
)

const (
	// What an agent is allowed: one core, and the most that a deployment gives.
	agentCores, agentMemoryMB, agentSockets = 1, 192, 1024
	keepalive                               = time.Minute
	connectTimeout                          = 600 * time.Millisecond
	class                                   = "look"
	tenant                                  = "all"
)

// agentConfig returns the configuration of an agent that listens there.
func (p *Plan) agentConfig(s scenario, index int, listen, discovery string, list endpointlist.List) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": fmt.Sprint("n", index), "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", p.Size.Seed+uint64(index)),
		"limits":   map[string]any{"cores": agentCores, "memory_mb": agentMemoryMB, "sockets": agentSockets},
		"settings": p.settings(s, index), "known": list})
}

// settings returns those of a usual deployment: one class that is safe to repeat, no health checks, no
// load reports, quota and zones of the fleet.
func (p *Plan) settings(s scenario, index int) map[string]any {
	var zones []string
	for z := range p.Size.Zones {
		zones = append(zones, zone(z))
	}
	return map[string]any{
		"classes": []any{map[string]any{"name": class, "aimMs": s.objective.Milliseconds(), "giveUpMs": s.giveUp().Milliseconds(),
			"credit": 1, "lateShare": 0.2, "effect": "free"}},
		"tenants": []any{map[string]any{"name": tenant, "portion": 1, "quotaPerS": p.rate() * float64(s.replicas)}},
		"limits": map[string]any{"cancelling": true, "maxAttempts": 3, "connectTimeoutMs": connectTimeout.Milliseconds(),
			"keepaliveMs": keepalive.Milliseconds(), "maxRetryAfterMs": 600, "retryAfter": true},
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

// zone returns a zone's name.
func zone(i int) string { return fmt.Sprint("z", i) }

// list returns the endpoint list of a hop's servers, dealt out over the zones.
func (p *Plan) list(addrs []string) endpointlist.List {
	l := endpointlist.List{Seq: 1, Whole: true}
	for i, addr := range addrs {
		l.Hosts = append(l.Hosts, endpointlist.Host{Host: fmt.Sprintf("s-%08x", i), Dial: addr, Site: zone(i % p.Size.Zones),
			Class: "k", Block: i % 64, Health: "ready", Share: 1})
	}
	return l
}
