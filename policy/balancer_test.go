package policy

import (
	"fmt"
	"math"
	"testing"
)

// What was decided before a panic can still be carried out: an attempt that nobody makes would
// be waited for without end.
func TestDecisionsBeforeAPanic(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	r.b.queue.queued = append(r.b.queue.queued, &request{id: 99, class: r.b.classes.all[0], timing: requestTiming{arrived: -1e9, deadline: 1e9},
		tries: requestTries{limit: 3, counted: []*attempt{nil}}}) // looking for an endpoint for it panics
	func() {
		defer func() {
			if recover() == nil {
				t.Fatal("no panic was forced")
			}
		}()
		r.ask(1, 0)
	}()
	action := find(r.b.Decided(), ActionSendAttempt)
	if action == nil || action.Request != r.id || r.b.limiter.inFlight != 1 {
		t.Fatalf("decided %+v with %d in flight", r.b.Decided(), r.b.limiter.inFlight)
	}
	r.b.queue.queued = nil
	r.outcome(action.Request, 0, action.Server, StatusOK, 20)
	if r.b.limiter.inFlight != 0 || len(r.b.queue.open) != 0 {
		t.Errorf("%d in flight, %d requests left", r.b.limiter.inFlight, len(r.b.queue.open))
	}
}

func ExampleBalancer() {
	settings := Settings{
		Classes:    []Class{{Name: "read", LatencyObjectiveMs: 200, DeadlineMs: 800, Effect: EffectIdempotent, PriorityWeight: 1}},
		Limits:     Limits{MaxAttempts: 3},
		Membership: "pushed",
		RoundMs:    5,
	}
	b, err := New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000.0
	b.Start(now, nil)
	list := []Entry{{Server: Addr{10, 0, 0, 1, 0x1f, 0x90}, Health: HealthReady, Weight: 1}}
	b.Handle(now, &EndpointsUpdated{Kind: ListFull, Entries: list}, nil)
	for _, action := range b.Handle(now, &RequestArrived{Request: 1, Key: 7, TimeLeftMs: 800}, nil) {
		if action.Kind == ActionSendAttempt {
			fmt.Println("send request", action.Request, "to", action.Server)
		}
	}
	// Output: send request 1 to [10 0 0 1 31 144]
}

// Legal but odd values must not poison what is learned, and each request is answered once.
func TestOddValuesAreSurvived(t *testing.T) {
	odd := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300}
	r := newRig(t, testSettings(), 3)
	r.list(ListDelta, Entry{Server: addr(9), Health: HealthGone}, Entry{Server: addr(1), Health: HealthDraining})
	final := map[RequestID]int{}
	count := func(actions []Action) {
		for _, action := range actions {
			if action.Kind == ActionRejectRequest || action.Kind == ActionFailRequest {
				final[action.Request]++
			}
		}
	}
	for i, x := range odd {
		r.list(ListDelta, Entry{Server: addr(2), Health: HealthReady, Weight: x, StartedMs: x})
		for _, class := range []int{-1, 0, 1, 2, 3, 1 << 16} {
			r.id++
			actions := r.do(&RequestArrived{Request: r.id, Class: class, Tenant: -i, Key: 5, TimeLeftMs: x, WorkHintMs: x, HasWorkHint: true})
			count(actions)
			if action := find(actions, ActionSendAttempt); action != nil {
				r.now++
				status := []Status{StatusOK, StatusServerError, StatusTimeout}[i%3]
				final[r.id] += map[Status]int{StatusOK: 1}[status]
				count(r.outcome(r.id, 0, action.Server, status, x))
				count(r.outcome(r.id, 0, action.Server, status, x))
				count(r.outcome(r.id, -1, action.Server, status, x))
			}
		}
	}
	for range 300 {
		r.now += 10
		count(r.do(&TimerFired{Token: timerTick}))
		for id := RequestID(1); id <= r.id; id++ { // what went out again ends too
			if q := r.b.queue.open[id]; q != nil && q.tries.inFlight > 0 {
				a := q.tries.counted[len(q.tries.counted)-1]
				count(r.outcome(id, a.index, a.endpoint.id, StatusTimeout, 10))
			}
		}
	}
	for id := RequestID(1); id <= r.id; id++ {
		if final[id] > 1 || final[id] == 0 && r.b.queue.open[id] == nil {
			t.Errorf("request %d has %d final answers", id, final[id])
		}
	}
	if x := r.b.latency.fleet + r.b.latency.hints.mean + r.b.latency.hints.answeredMean + r.b.latency.uncontended + r.b.classes.all[0].meanMs; math.IsNaN(x) || math.IsInf(x, 0) {
		t.Errorf("odd values poisoned the means: %v", x)
	}
}

// The clock may start anywhere, and a request may come with no time left: it is still
// answered, once, and ordinary ones are served as ever.
func TestClockStartsAnywhereAndNoTimeLeft(t *testing.T) {
	for _, start := range []float64{-1e7, 0, 1e13} {
		b, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, b: b, now: start}
		b.Start(start, nil)
		r.list(ListCached, Entry{Server: addr(0), Health: HealthReady, Weight: 1}, Entry{Server: addr(1), Health: HealthReady, Weight: 1})
		for _, left := range []float64{0, -5, 600} {
			r.id++
			finals, actions := 0, r.do(&RequestArrived{Request: r.id, Class: 0, Key: 3, TimeLeftMs: left})
			action := find(actions, ActionSendAttempt)
			if (action != nil) != (left > 0) {
				t.Fatalf("clock %v, %v ms left: sent %v", start, left, action != nil)
			}
			if action != nil {
				r.now += 20
				r.outcome(r.id, 0, action.Server, StatusOK, 20)
				finals++
			}
			for range 3 {
				for _, action := range append(actions, r.tick(10)...) {
					if action.Request == r.id && (action.Kind == ActionRejectRequest || action.Kind == ActionFailRequest) {
						finals++
					}
				}
				actions = nil
			}
			if finals != 1 || r.b.queue.open[r.id] != nil {
				t.Errorf("clock %v, %v ms left: %d final answers", start, left, finals)
			}
		}
	}
}

func TestHandleKeepsNoEvent(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	out := make([]Action, 0, 8)
	for name, handle := range map[string]func() []Action{
		"timer":             func() []Action { return r.b.Handle(r.now, &TimerFired{Token: 99}, out) },
		"unknown attempt":   func() []Action { return r.b.Handle(r.now, &AttemptEnded{Request: 9, Status: StatusOK}, out) },
		"unknown request":   func() []Action { return r.b.Handle(r.now, &ClientDisconnected{Request: 9}, out) },
		"unknown response":  func() []Action { return r.b.Handle(r.now, &ResponseStarted{Request: 9}, out) },
		"unasked check":     func() []Action { return r.b.Handle(r.now, &HealthCheckEnded{Server: addr(9)}, out) },
		"message of a peer": func() []Action { return r.b.Handle(r.now, &PeerMessageReceived{}, out) },
	} {
		var actions []Action
		if allocs := testing.AllocsPerRun(100, func() { actions = handle() }); allocs != 0 || len(actions) != 0 {
			t.Errorf("%s: got %v allocations and %d actions, want none", name, allocs, len(actions))
		}
	}
}
