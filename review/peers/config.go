package peers

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Host is one entry of the endpoint list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// List is a list of discovery, or a change of it.
type List struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

type object = map[string]any

// Config returns the configuration of the agent with the number index among agents, with the settings that
// the wire page shows for the first site and the limits of a scored day.
func Config(index, agents int, discovery string, known List) map[string]any {
	class := func(name, effect, group string, aim, giveUp, ttl, credit float64) object {
		return object{"name": name, "aimMs": aim, "giveUpMs": giveUp, "effect": effect, "group": group,
			"keyTtlMs": ttl, "credit": credit, "lateShare": 0.0, "streamed": false}
	}
	return object{
		"name": fmt.Sprintf("n%d", index), "listen": FreeAddr(), "discovery": discovery,
		"seed":   fmt.Sprintf("8c1f30d27a5be9%02x", index),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known,
		"settings": object{
			"classes": []any{
				class("price-read", "free", "all", 600, 2500, 5000, 1),
				class("curve-check", "free", "all", 1500, 5000, 5000, 1),
				class("schedule-save", "free", "all", 1500, 6000, 5000, 1),
				class("bid-submit", "guarded", "cell", 1500, 6000, 4000, 5),
			},
			"clients": object{"marksRetry": true},
			"contract": object{"answerSlackMs": 20.0, "askWithinMs": 10000.0, "coldFrom": 0.3, "coldMs": 7000.0,
				"drainGraceMs": 1500.0, "fallMultiple": 3.0, "tipAfterMs": 1000.0},
			"failureDomains": []any{"waw-1", "lodz-1", "poz-1"},
			"family":         "mesh", "familyInfo": object{"warmKeys": true}, "index": index,
			"limits": object{"cancelling": true, "connectTimeoutMs": 250.0, "keepaliveMs": 15000.0,
				"maxAttempts": 5, "maxRetryAfterMs": 2000.0, "maxStreams": 1, "openCap": 24690,
				"parallelTries": false, "peerMessages": false, "probing": true, "retryAfter": false},
			"membershipMode": "pushed",
			"objectiveMix":   object{"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.15},
			"overShareWorth": 0.2,
			"prices": object{"connection": 0.0, "crossZone": 0.03, "handshake": 0.0, "lateFail": 0.03,
				"membershipMode": 0.0, "probe": 0.04, "waste": 0.1},
			"replicasOfMe": agents,
			"report":       object{"how": "on_probe", "names": []any{"util", "latency_ms"}},
			"roundMs":      5.0, "shapes": []any{"std-1"},
			"tenants": []any{object{"name": "wegiel-poludnie", "portion": 0.61, "quotaPerS": 38.0},
				object{"name": "wiatr-pomorze", "portion": 0.22, "quotaPerS": 14.0},
				object{"name": "gaz-centrum", "portion": 0.17, "quotaPerS": 11.0}},
			"weights": "off", "worthBy": "request", "zone": index % 3,
		},
	}
}

// Settings returns the settings of a configuration, which the caller may change.
func Settings(config map[string]any) map[string]any { return config["settings"].(object) }

// Hosts returns entries for servers, spread over three zones with one cell in each.
func Hosts(servers []*Server) []Host {
	hosts := make([]Host, len(servers))
	for i, server := range servers {
		hosts[i] = Host{Host: server.Name, Dial: server.Addr, Site: []string{"waw-1", "lodz-1", "poz-1"}[i%3],
			Class: "std-1", Block: 1 + i%3, Health: "ready", Share: 1}
	}
	return hosts
}

// Between returns a random time between two.
func Between(least, most time.Duration) time.Duration {
	return least + time.Duration(rand.Float64()*float64(most-least))
}
