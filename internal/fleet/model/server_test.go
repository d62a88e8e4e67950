package model

import "testing"

// A warming server fails if one request more than its budget arrives within a window. It does not
// fail if the same number is spread over two windows. The failure is attributed to notified agents
// if more than two thirds of the load came from them.
func TestServerFailsOverItsWarmupBudget(t *testing.T) {
	for _, c := range []struct {
		name               string
		over               int // requests over the budget
		notifiedOf         int // one of this many requests comes from a notified agent
		gapMs              float64
		failed, byNotified bool
	}{
		{"at the budget", 0, 1, 0, false, false},
		{"one over the budget", 1, 1, 0, true, true},
		{"half from notified agents", 1, 2, 0, true, false},
		{"over two windows", 40, 1, 60, false, false},
	} {
		m := newModel(t, smallConfig(1, 2, 2, 0.5))
		s := m.servers[0]
		s.start()
		budget := int(s.budget(m.now))
		if budget != 30+10+2 { // 3 x 0.3 of the 33 requests that a warm server serves in the window, plus slack
			t.Fatalf("got budget %d, want 42", budget)
		}
		for i := range budget + c.over {
			s.countSlowStart(&request{workFactor: 1}, i%c.notifiedOf == 0)
			m.now += c.gapMs
		}
		if s.warmup.failed != c.failed || s.warmup.failedByNotified != c.byNotified || s.down != c.failed {
			t.Errorf("%s: got failed %v, by notified agents %v, down %v, want %v, %v, %v", c.name, s.warmup.failed,
				s.warmup.failedByNotified, s.down, c.failed, c.byNotified, c.failed)
		}
	}
}

// With ServesAbandoned set, servers keep abandoned attempts pending. Otherwise they drop them.
func TestServerServesAbandonedAttemptsIfConfigured(t *testing.T) {
	for _, servesAbandoned := range []bool{false, true} {
		cfg := smallConfig(1, 1, 1, 0.5)
		cfg.ServesAbandoned = servesAbandoned
		m := newModel(t, cfg)
		s := m.servers[0]
		abandoned := &attempt{server: s, queued: true}
		s.queue, s.pending = []*attempt{abandoned}, 1
		s.removeAbandoned(abandoned)
		if want := map[bool]int{false: 0, true: 1}[servesAbandoned]; s.pending != want {
			t.Errorf("serves abandoned %v: got %d pending, want %d", servesAbandoned, s.pending, want)
		}
	}
}
