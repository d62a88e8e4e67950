package model

import "testing"

// Four services in one fleet, whose settings give each agent the replicas and the quota of the
// whole. Without a fault next to nothing is rejected. When half of all servers vanish and the rest
// can't carry the load, each service's agents together bound their attempts in flight as those of a
// lone service do, though they know only their own.
func TestServicesWithTheReplicasAndQuotaOfTheFleet(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		cfg := small(seed, 120, 40, 0.6)
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
			t.Errorf("seed %d: %d of %d rejected on a calm day", seed, rejected, requests)
		}
		var gone []*server
		for _, v := range m.services {
			for i, s := range v.servers {
				if i%2 == 0 && len(v.servers) > 1 {
					s.down = true
					gone = append(gone, s)
				}
			}
		}
		left := len(m.servers) - len(gone)
		play(t, m, 1)
		m.announce(gone)
		play(t, m, 10)
		// From the third second after, at 30 ms a request.
		can, won := float64(left)*1000/m.cfg.WorkMs, 0
		for i, s := range m.seconds[12:] {
			won += s.WithinObjective
			if s.MaxPending > left*8 {
				t.Errorf("seed %d, second %d: %d in flight at once on %d servers", seed, i+12, s.MaxPending, left)
			}
		}
		if mean := float64(won) / float64(len(m.seconds[12:])); mean < 0.25*can {
			t.Errorf("seed %d: %.0f a second served in time of %.0f that the servers can do", seed, mean, can)
		}
	}
}
