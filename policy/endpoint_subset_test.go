package policy

import "testing"

// One of many agents with little traffic would send to each of hundreds of endpoints once a minute.
// It must use a subset to which it sends often. The agents' subsets differ, so that each endpoint
// gets its share. An agent with much traffic uses the whole fleet. An ejected endpoint of the subset
// is replaced.
func TestEndpointSubsetGrowsWithTraffic(t *testing.T) {
	for _, test := range []struct {
		name        string
		intervalMs  float64 // between requests
		least, most int
	}{{"quiet agent", 400, minSubset, 16}, {"busy agent", 4, 50, 60}} {
		t.Run(test.name, func(t *testing.T) {
			all := map[Addr]bool{}
			for index := range 30 {
				used := usedEndpoints(t, index, test.intervalMs)
				if len(used) < test.least || len(used) > test.most {
					t.Fatalf("agent %d: got %d servers used, want %d to %d", index, len(used), test.least, test.most)
				}
				for server := range used {
					all[server] = true
				}
			}
			if len(all) < 58 {
				t.Errorf("got %d of 60 servers used by 30 agents, want 58 at least", len(all))
			}
		})
	}
}

// usedEndpoints returns which of 60 servers one of a thousand agents uses for 300 requests. One
// server is ejected and must not be used.
func usedEndpoints(t *testing.T, index int, intervalMs float64) map[Addr]bool {
	t.Helper()
	set := testSettings()
	set.Limits.KeepaliveMs, set.Replicas, set.Index = 10000, 1000, index
	set.Prices.Handshake = 0.1
	h := newHarness(t, set, 60)
	h.liftLimit()
	ejected := h.b.endpoints.all[0] // in the subset
	h.b.outliers.eject(ejected, true)
	used := map[Addr]bool{}
	for range 300 {
		h.now += intervalMs
		ejected.health.since = h.now // stays ejected
		server := h.serveAtOnce(idempotentClass, h.randomKey(), 3)
		if used[server] = true; server == ejected.id {
			t.Fatal("got a request sent to the ejected server of the subset, want it replaced")
		}
	}
	return used
}

// Guards against idle new endpoints while the old ones are congested, after the fleet has doubled.
// Agents with little traffic, each of which sends to a subset, refilled the allowances of the new
// endpoints as if they sent to the whole fleet.
func TestEndpointSubsetScalesTheRefillOfAllowances(t *testing.T) {
	refilled := func(keepaliveMs float64) float64 {
		set := testSettings()
		set.Limits.KeepaliveMs, set.Prices.Handshake = keepaliveMs, 0.1
		h := newHarness(t, set, 64)
		h.updateEndpoints(ListDelta, startedAt(ready(99), h.now))
		warming := h.endpoint(99)
		warming.slowStart.allowance = 0
		h.b.slowStart.refillAllowances(h.endpoint(0), 1, h.b.subset.size())
		return warming.slowStart.allowance
	}
	if whole, subset := refilled(0), refilled(10000); subset < 3.5*whole || whole <= 0 {
		t.Errorf("got an allowance of %.5f by sending to 65 servers and %.5f to 16 of them, want four times", whole, subset)
	}
}

func TestEndpointSubsetSizeFollowsTheSettings(t *testing.T) {
	for _, test := range []struct {
		name                   string
		keepaliveMs, handshake float64
		requests               float64 // recently
		wantSize               int
		wantRevisitMs          float64
	}{
		{"no connection is kept", 0, 0.1, 40, 100, 0},
		{"connections have a price", 10000, 0.1, 200, 50, 2500},
		{"connections have no price", 10000, 0, 80, 80, 10000},
		{"few requests", 10000, 0.1, 4, minSubset, 40000},
		{"no request", 10000, 0.1, 0, minSubset, 160000},
		{"more requests than endpoints", 10000, 0, 1000, 100, 1000},
	} {
		t.Run(test.name, func(t *testing.T) {
			env := &environment{settings: Settings{Limits: Limits{KeepaliveMs: test.keepaliveMs},
				Prices: Prices{Handshake: test.handshake}}}
			subset := newEndpointSubset(env, &endpointSet{all: make(orderedEndpoints, 100)}, &requestRate{recentCount: test.requests})
			if got := subset.size(); got != test.wantSize {
				t.Errorf("got a size of %d, want %d", got, test.wantSize)
			}
			if got := subset.revisitIntervalMs(); got != test.wantRevisitMs {
				t.Errorf("got %v ms between requests at the same endpoint, want %v", got, test.wantRevisitMs)
			}
		})
	}
}
