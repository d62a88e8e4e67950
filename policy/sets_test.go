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
	same := func(name string, set endpointSet, belongs func(*endpoint) bool) {
		want := slices.DeleteFunc(slices.Clone(b.servers), func(s *endpoint) bool { return !belongs(s) })
		if !slices.Equal(set, want) {
			w.t.Fatalf("%s: %d servers, want %d in the list's order", name, len(set), len(want))
		}
	}
	same("ejected", b.ejected, func(s *endpoint) bool { return s.state > StateUnknown })
	same("busy", b.busy, func(s *endpoint) bool { return len(s.out) > 0 })
	fresh, known := 0.0, b.warmEpoch == b.epoch && !b.warmStale
	for _, s := range b.servers {
		if b.ramp(s) < 1 && !slices.Contains(b.cold, s) {
			w.t.Fatalf("%v is cold and not among the cold ones", s.id)
		}
		if s.usable && s.state <= StateUnknown && b.ramp(s) == 1 {
			fresh += s.weight
		}
	}
	for _, s := range b.cold {
		if b.byAddr[s.id] != s {
			w.t.Fatalf("%v is cold and no longer listed", s.id)
		}
		known = known && b.ramp(s) != 1
	}
	if known && b.warm != fresh {
		w.t.Fatalf("warm weight %v, counted anew %v", b.warm, fresh)
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
	if r.ask(0, 0); r.b.warmWeight() != 3 || len(r.b.cold) != 0 {
		t.Fatalf("weight %v of warm servers, %d cold; want 3 and none", r.b.warmWeight(), len(r.b.cold))
	}
	set.Contract.SlowStartMs = 5000
	if err := r.b.Reconfigure(set); err != nil {
		t.Fatal(err)
	}
	w.checkSets()
	r.now++ // a weight holds for its moment
	r.ask(0, 0)
	if got := r.b.warmWeight(); got != 2 || len(r.b.cold) != 1 {
		t.Errorf("weight %v of warm servers, %d cold; want 2 and 1", got, len(r.b.cold))
	}
}
