package model

import "testing"

// A fleet has four services, and the settings of each agent hold the replicas and the quota of the
// whole fleet. Without a fault, almost no request is rejected. When half of all servers fail and
// the load exceeds the capacity of the others, the agents of each service must bound their attempts
// in flight as those of a single service do, although an agent sees only its own attempts.
func TestServicesBoundAttemptsWithFleetQuota(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		cfg := smallConfig(seed, 120, 40, 0.6)
		cfg.Services = 4
		m := newModel(t, cfg)
		m.boot()
		run(t, m, 8)
		requests, rejected := 0, 0
		for _, s := range m.secondCounts[3:] {
			requests += s.Requests
			rejected += s.Rejected
		}
		if rejected > requests/200 {
			t.Errorf("seed %d: got %d of %d requests rejected without a fault, want at most 1 of 200", seed, rejected, requests)
		}
		var failed []*server
		for _, v := range m.services {
			for i, s := range v.servers {
				if i%2 == 0 && len(v.servers) > 1 {
					s.down = true
					failed = append(failed, s)
				}
			}
		}
		left := len(m.servers) - len(failed)
		run(t, m, 1)
		m.publish(failed)
		run(t, m, 10)
		expectBusyServers(t, m, 12, left)
	}
}
