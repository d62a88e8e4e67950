package model

import "testing"

// Four services in one fleet, whose settings give each agent the replicas and the quota of the
// whole. Without a fault next to nothing is rejected. When half of all servers fail and the others
// can't carry the load, each service's agents together bound their attempts in flight as those of a
// lone service do, though they know only their own.
func TestServicesBoundAttemptsWithFleetQuota(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		cfg := smallConfig(seed, 120, 40, 0.6)
		cfg.Services = 4
		m := newModel(t, cfg)
		m.boot()
		play(t, m, 8)
		requests, rejected := 0, 0
		for _, s := range m.seconds[3:] {
			requests += s.Requests
			rejected += s.Rejected
		}
		if rejected > requests/200 {
			t.Errorf("seed %d: got %d of %d requests rejected without a fault, want 1 of 200 at most", seed, rejected, requests)
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
		play(t, m, 1)
		m.publish(failed)
		play(t, m, 10)
		expectBusyServers(t, m, 12, left)
	}
}
