package stand

// Class returns a class of the settings.
func Class(name, effect string, aimMs, giveUpMs float64) JSON {
	return JSON{"name": name, "effect": effect, "aimMs": aimMs, "aimStretch": 0, "giveUpMs": giveUpMs,
		"group": "all", "keyTtlMs": 4000, "credit": 1, "lateShare": 0, "streamed": false}
}

// Config returns the configuration of an agent of a small deployment. Its figures are those of the
// settings on the page of the wire, and a case changes those that it names.
func Config(name, listen, discovery string, known List) JSON {
	return JSON{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": JSON{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known,
		"settings": JSON{
			"classes": []JSON{
				Class("price-read", "free", 600, 2500),
				Class("bid-submit", "guarded", 1500, 6000),
				Class("order", "single_shot", 1500, 6000),
			},
			"tenants": []JSON{},
			"clients": JSON{"marksRetry": true},
			"contract": JSON{"answerSlackMs": 20, "askWithinMs": 10000, "coldFrom": 0.3, "coldMs": 7000,
				"drainGraceMs": 1500, "fallMultiple": 3, "tipAfterMs": 1000},
			"failureDomains": []string{"waw-1"}, "shapes": []string{"std-1"},
			"family": "mesh", "familyInfo": JSON{"warmKeys": false},
			"index": 0, "replicasOfMe": 1, "zone": 0,
			"limits": JSON{"cancelling": true, "connectTimeoutMs": 250, "keepaliveMs": 15000, "maxAttempts": 5,
				"maxRetryAfterMs": 2000, "openCap": 24690, "parallelTries": false, "probing": true, "retryAfter": false},
			"membershipMode": "pushed",
			"objectiveMix":   JSON{"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.15},
			"overShareWorth": 0.2,
			"prices": JSON{"connection": 0, "crossZone": 0.03, "handshake": 0, "lateFail": 0.03,
				"membershipMode": 0, "probe": 0.04, "waste": 0.1},
			"report": JSON{"how": "off", "names": []string{}}, "roundMs": 5, "weights": "off", "worthBy": "request",
		},
	}
}

// Settings returns the settings of a configuration.
func Settings(config JSON) JSON { return config["settings"].(JSON) }
