package policy

import "testing"

// A quiet agent of many would meet each of hundreds of endpoints once a minute. It keeps
// to a subset it meets often; agents' subsets differ, so that each endpoint has its share;
// a busy agent uses the whole fleet, and what is down in the subset is replaced.
func TestEndpointSubsetGrowsWithTraffic(t *testing.T) {
	for _, test := range []struct {
		name        string
		gapMs       float64 // between requests
		least, most int
	}{{"quiet agent", 400, minSubset, 16}, {"busy agent", 4, 50, 60}} {
		t.Run(test.name, func(t *testing.T) {
			all := map[Addr]bool{}
			for index := range 30 {
				used := usedEndpoints(t, index, test.gapMs)
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

// usedEndpoints returns which of 60 servers an agent of a thousand uses for 300 requests. One of them is
// ejected, and must not be used.
func usedEndpoints(t *testing.T, index int, gapMs float64) map[Addr]bool {
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
		h.now += gapMs
		ejected.health.since = h.now // stays ejected
		server := h.serveAtOnce(idempotentClass, h.randomKey(), 3)
		if used[server] = true; server == ejected.id {
			t.Fatal("got a request sent to the ejected server of the subset, want it replaced")
		}
	}
	return used
}

// The fleet doubled, and quiet agents, each sending to a subset, earned the new
// endpoints the allowance of a whole fleet's share: they idled while the old ones were crowded.
func TestEndpointSubsetRaisesWhatAllowancesEarn(t *testing.T) {
	earned := func(keepaliveMs float64) float64 {
		set := testSettings()
		set.Limits.KeepaliveMs, set.Prices.Handshake = keepaliveMs, 0.1
		h := newHarness(t, set, 64)
		h.updateEndpoints(ListDelta, startedAt(ready(99), h.now))
		warming := h.endpoint(99)
		warming.slowStart.allowance = 0
		h.b.slowStart.earn(h.endpoint(0), 1, h.b.subset.size())
		return warming.slowStart.allowance
	}
	if whole, subset := earned(0), earned(10000); subset < 3.5*whole || whole <= 0 {
		t.Errorf("got an allowance of %.5f by sending to 65 servers and %.5f to 16 of them, want four times", whole, subset)
	}
}

func TestEndpointSubsetSizeFollowsTheSettings(t *testing.T) {
	for _, test := range []struct {
		name                   string
		keepaliveMs, handshake float64
		requests               float64 // recently
		wantSize               int
		wantMeetMs             float64
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
			subset := newEndpointSubset(env, &endpointSet{all: make(orderedEndpoints, 100)}, &requestRate{recent: test.requests})
			if got := subset.size(); got != test.wantSize {
				t.Errorf("got a size of %d, want %d", got, test.wantSize)
			}
			if got := subset.meetMs(); got != test.wantMeetMs {
				t.Errorf("got %v ms to come by each, want %v", got, test.wantMeetMs)
			}
		})
	}
}
