package policy

import (
	"slices"
	"testing"
)

func TestDrainingAndGoneGetNothing(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	r.b.limiter.scale = 1e6 // the agent's own limit is not at issue
	r.list(ListDelta, Entry{Server: addr(0), Health: HealthDraining, Weight: 1})
	for key := range uint64(20) {
		id, server := r.sent(0, key+1)
		if server == addr(0) {
			t.Fatal("sent to a draining server")
		}
		r.outcome(id, 0, server, StatusOK, 20)
	}
	r.list(ListFull, Entry{Server: addr(0), Health: HealthReady, Weight: 1})
	for key := range uint64(20) {
		id, server := r.sent(0, key+1)
		if server == addr(1) {
			t.Fatal("sent to a server that left the list")
		}
		r.outcome(id, 0, server, StatusOK, 20)
	}
}

func TestEmptyListIsAnsweredInTime(t *testing.T) {
	r := newRig(t, testSettings(), 0)
	id, actions := r.ask(1, 1)
	for range 130 {
		if action := find(actions, ActionRejectRequest); action != nil {
			if action.Request != id {
				t.Fatalf("refused %d, want %d", action.Request, id)
			}
			return
		}
		actions = r.tick(10)
	}
	t.Error("a request with an empty list was never answered")
}

// A request with a key may come before the first list.
func TestKeyedRequestBeforeTheFirstList(t *testing.T) {
	b, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0, nil)
	b.Handle(1, &RequestArrived{Request: 1, Class: 0, Key: 5, TimeLeftMs: 600}, nil)
	b.Handle(2, &TimerFired{Token: timerTick}, nil)
	list := []Entry{{Server: addr(1), Health: HealthReady, Weight: 1}}
	if action := find(b.Handle(3, &EndpointsUpdated{Kind: ListFull, Entries: list}, nil), ActionSendAttempt); action == nil || action.Request != 1 {
		t.Error("the request was not sent once there was a list")
	}
}

// checkSets compares the sets that the decisions walk with the whole list: whoever belongs to
// one is in it, in the order of the list, and the weight of warm endpoints is that of a new count.
func (w *world) checkSets() {
	w.t.Helper()
	b := w.b
	same := func(name string, set orderedEndpoints, belongs func(*endpoint) bool) {
		want := slices.DeleteFunc(slices.Clone(b.endpoints.all), func(target *endpoint) bool { return !belongs(target) })
		if !slices.Equal(set, want) {
			w.t.Fatalf("%s: %d servers, want %d in the list's order", name, len(set), len(want))
		}
	}
	same("ejected", b.endpoints.ejected, func(target *endpoint) bool { return target.health.state > StateUnknown })
	same("busy", b.endpoints.busy, func(target *endpoint) bool { return len(target.traffic.inFlight) > 0 })
	fresh, known := 0.0, b.slowStart.warmEpoch == b.endpoints.epoch && !b.slowStart.stale
	for _, target := range b.endpoints.all {
		if b.capacityFraction(target) < 1 && !slices.Contains(b.slowStart.warming, target) {
			w.t.Fatalf("%v is cold and not among the cold ones", target.id)
		}
		if target.usable && target.health.state <= StateUnknown && b.capacityFraction(target) == 1 {
			fresh += target.weight
		}
	}
	for _, target := range b.slowStart.warming {
		if b.endpoints.byAddr[target.id] != target {
			w.t.Fatalf("%v is cold and no longer listed", target.id)
		}
		known = known && b.capacityFraction(target) != 1
	}
	if known && b.slowStart.warm != fresh {
		w.t.Fatalf("warm weight %v, counted anew %v", b.slowStart.warm, fresh)
	}
}

// Where new settings give endpoints a longer slow start time, those that were warm warm up again.
func TestALongerSlowStartIsSeenInTheSets(t *testing.T) {
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

// The set stays in the endpoints' order, holds each once, and bears the removal of what it lacks.
func TestOrderedEndpointsStayInOrder(t *testing.T) {
	var set orderedEndpoints
	first, second, third := &endpoint{order: 1}, &endpoint{order: 2}, &endpoint{order: 3}
	for _, endpoint := range []*endpoint{third, first, second, first, third} {
		set.insert(endpoint)
	}
	if !slices.Equal(set, orderedEndpoints{first, second, third}) {
		t.Fatalf("%d endpoints, or out of order", len(set))
	}
	set.remove(second)
	set.remove(second)
	if !slices.Equal(set, orderedEndpoints{first, third}) {
		t.Errorf("%d endpoints are left, want the first and the third", len(set))
	}
}
