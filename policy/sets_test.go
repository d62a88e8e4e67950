package policy

import (
	"slices"
	"testing"
)

// checkSets compares the sets that the decisions walk with the whole list: whoever belongs to
// one is in it, in the order of the list, and the weight of warm servers is that of a new count.
func (w *world) checkSets() {
	w.t.Helper()
	b := w.b
	same := func(name string, set orderedEndpoints, belongs func(*endpoint) bool) {
		want := slices.DeleteFunc(slices.Clone(b.endpoints.all), func(s *endpoint) bool { return !belongs(s) })
		if !slices.Equal(set, want) {
			w.t.Fatalf("%s: %d servers, want %d in the list's order", name, len(set), len(want))
		}
	}
	same("ejected", b.endpoints.ejected, func(s *endpoint) bool { return s.health.state > StateUnknown })
	same("busy", b.endpoints.busy, func(s *endpoint) bool { return len(s.traffic.inFlight) > 0 })
	fresh, known := 0.0, b.slowStart.warmEpoch == b.endpoints.epoch && !b.slowStart.stale
	for _, s := range b.endpoints.all {
		if b.capacityFraction(s) < 1 && !slices.Contains(b.slowStart.warming, s) {
			w.t.Fatalf("%v is cold and not among the cold ones", s.id)
		}
		if s.usable && s.health.state <= StateUnknown && b.capacityFraction(s) == 1 {
			fresh += s.weight
		}
	}
	for _, s := range b.slowStart.warming {
		if b.endpoints.byAddr[s.id] != s {
			w.t.Fatalf("%v is cold and no longer listed", s.id)
		}
		known = known && b.capacityFraction(s) != 1
	}
	if known && b.slowStart.warm != fresh {
		w.t.Fatalf("warm weight %v, counted anew %v", b.slowStart.warm, fresh)
	}
}

// Where new settings give servers a longer cold time, those that were warm are cold again.
func TestALongerColdTimeIsSeenInTheSets(t *testing.T) {
	set := testSettings()
	set.Contract.SlowStartMs = 500
	r := newRig(t, set, 3)
	w := &world{t: t, b: r.b}
	r.list(ListDelta, Entry{Server: addr(1), Health: HealthReady, Weight: 1, StartedMs: r.now})
	r.now += 600
	if r.ask(0, 0); r.b.slowStart.warmWeight() != 3 || len(r.b.slowStart.warming) != 0 {
		t.Fatalf("weight %v of warm servers, %d cold; want 3 and none", r.b.slowStart.warmWeight(), len(r.b.slowStart.warming))
	}
	set.Contract.SlowStartMs = 5000
	if err := r.b.Reconfigure(set); err != nil {
		t.Fatal(err)
	}
	w.checkSets()
	r.now++ // a weight holds for its moment
	r.ask(0, 0)
	if got := r.b.slowStart.warmWeight(); got != 2 || len(r.b.slowStart.warming) != 1 {
		t.Errorf("weight %v of warm servers, %d cold; want 2 and 1", got, len(r.b.slowStart.warming))
	}
}
