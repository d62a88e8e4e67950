package model

import "testing"

// A server that warms up fails by one more request in a window than its budget, and not by as many
// spread over two; it failed by the notified agents if over two thirds came from them.
func TestServerFailsOverItsWarmupBudget(t *testing.T) {
	for _, c := range []struct {
		name               string
		over               int // requests over the budget
		notifiedOf         int // one in so many came from an agent that was notified
		gapMs              float64
		failed, byNotified bool
	}{
		{"at the budget", 0, 1, 0, false, false},
		{"one over it", 1, 1, 0, true, true},
		{"half from notified agents", 1, 2, 0, true, false},
		{"over two windows", 40, 1, 60, false, false},
	} {
		m := newModel(t, smallConfig(1, 2, 2, 0.5))
		s := m.servers[0]
		s.start()
		most := int(s.slowStartBudget(m.now))
		if most != 30+10+2 { // 3 x 0.3 of the 33 that it can do in the window, and chance
			t.Fatalf("got budget %d, want 42", most)
		}
		for i := range most + c.over {
			s.countSlowStart(&request{workFactor: 1}, i%c.notifiedOf == 0)
			m.now += c.gapMs
		}
		if s.warmup.failed != c.failed || s.warmup.failedByNotified != c.byNotified || s.down != c.failed {
			t.Errorf("%s: got failed %v, by notified agents %v, down %v, want %v, %v, %v", c.name, s.warmup.failed,
				s.warmup.failedByNotified, s.down, c.failed, c.byNotified, c.failed)
		}
	}
}

// Servers that serve abandoned attempts keep them pending; others drop them.
func TestServerServesAbandonedAttemptsIfConfigured(t *testing.T) {
	for _, servesAbandoned := range []bool{false, true} {
		cfg := smallConfig(1, 1, 1, 0.5)
		cfg.ServesAbandoned = servesAbandoned
		m := newModel(t, cfg)
		s := m.servers[0]
		left := &attempt{server: s, queued: true}
		s.queue, s.pending = []*attempt{left}, 1
		s.removeAbandoned(left)
		if want := map[bool]int{false: 0, true: 1}[servesAbandoned]; s.pending != want {
			t.Errorf("serves abandoned %v: got %d pending, want %d", servesAbandoned, s.pending, want)
		}
	}
}
