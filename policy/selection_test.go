package policy

import "testing"

func TestSelectorFallsBackToTheLowestTier(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for range 2 {
		id, server := h.mustSend(nonIdempotentClass, 3)
		h.endAttempt(id, 0, server, StatusServerError, 5)
	}
	if _, server := h.mustSend(idempotentClass, 3); server == (Addr{}) {
		t.Error("got no server though ejected ones are listed, want one of them")
	}
}

// Queued requests that wait for their key's endpoints must not keep other requests from endpoints
// that have capacity.
func TestSelectorSkipsQueuedRequestsThatWaitForTheirKey(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	h.b.limiter.scale = 1000 // the endpoints' windows must bound the attempts, not this limit
	for range 30 {
		h.arrive(idempotentClass, 42) // one key: its two endpoints fill up, other requests are queued
	}
	if len(h.b.queue.queued) == 0 {
		t.Fatal("got no request queued behind the key, want some")
	}
	sent := 0
	for key := uint64(100); key < 140; key++ {
		if _, actions := h.arrive(idempotentClass, key); findAction(actions, ActionSendAttempt) != nil {
			sent++
		}
	}
	if sent == 0 {
		t.Error("got no request of another key sent to the idle endpoints, want some")
	}
}

// Crossing zones costs time and has a price. Of many keys more must stay in the local zone than its
// part of the endpoints, while the endpoints of the other zone are used too.
func TestSelectorPrefersTheLocalZone(t *testing.T) {
	const keys = 600
	h := newHarness(t, testSettings(), 6) // zones 0 and 1 in turn; this agent is in 0
	local, used := 0, map[Addr]bool{}
	for key := range uint64(keys) {
		server := h.serveAtOnce(idempotentClass, splitmix64(key+1), 20)
		used[server] = true
		if h.endpointAt(server).zone == 0 {
			local++
		}
	}
	if share := float64(local) / keys; share < 0.53 || share > 0.68 || len(used) != 6 {
		t.Errorf("got %.2f of the keys in the local zone and %d servers used, want about 0.6 and 6", share, len(used))
	}
}

// With many agents, each with one request in flight, a popular key would give one endpoint many
// times the mean load, so it is split among several. With few agents the load bound suffices. A rare
// key is never split.
func TestSelectorSplitsAPopularKeyAmongManyAgents(t *testing.T) {
	for _, test := range []struct {
		name          string
		agents, every int // one of so many requests has the key
		least, most   int
	}{
		{"popular, many agents", 1000, 4, 5, 40},
		{"popular, two agents", 2, 4, 1, 1}, // the load bound sees enough
		{"rare", 1000, 150, 1, 1},           // stays warm at one endpoint
	} {
		t.Run(test.name, func(t *testing.T) {
			set := testSettings()
			set.Replicas = test.agents
			h := newHarness(t, set, 40)
			h.liftLimit()
			used := map[Addr]bool{}
			for i := range 1200 {
				h.now += 20
				key := uint64(1000 + i)
				if i%test.every == 0 {
					key = 7
				}
				server := h.serveAtOnce(idempotentClass, key, 20)
				if key == 7 && i > keyHistory {
					used[server] = true
				}
			}
			if len(used) < test.least || len(used) > test.most {
				t.Errorf("got the key at %d servers, want %d to %d", len(used), test.least, test.most)
			}
		})
	}
}
