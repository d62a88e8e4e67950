package policy

import (
	"fmt"
	"math"
	"testing"
)

// The actions decided before a panic must still be available. Otherwise the Balancer would wait forever
// for the end of an attempt that was never made.
func TestBalancerActionsReturnsThoseDecidedBeforeAPanic(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.b.queue.enqueue(&request{id: 99, class: h.b.classes.all[idempotentClass],
		timing:   requestTiming{arrivedAt: -1e9, deadline: 1e9},
		attempts: requestAttempts{limit: 3, counted: []*attempt{nil}}}) // selecting an endpoint for it panics
	func() {
		defer func() {
			if recover() == nil {
				t.Fatal("got no panic, want one")
			}
		}()
		h.arrive(nonIdempotentClass, 0)
	}()
	action := findAction(h.b.Actions(), ActionSendAttempt)
	if action == nil || action.Request != h.id || h.b.limiter.inFlight != 1 {
		t.Fatalf("got %+v with %d in flight, want request %d sent", h.b.Actions(), h.b.limiter.inFlight, h.id)
	}
	h.b.queue.queued = nil
	h.endAttempt(action.Request, 0, action.Server, StatusOK, 20)
	if h.b.limiter.inFlight != 0 || len(h.b.queue.open) != 0 {
		t.Errorf("got %d attempts in flight and %d open requests, want none", h.b.limiter.inFlight, len(h.b.queue.open))
	}
}

func ExampleBalancer() {
	settings := Settings{
		Classes:    []Class{{Name: "read", LatencyObjectiveMs: 200, DeadlineMs: 800, Effect: EffectIdempotent, PriorityWeight: 1}},
		Limits:     Limits{MaxAttempts: 3},
		Membership: MembershipPushed,
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

// oddValuesRun sends events with legal but unusual values, and counts the final answers of each request.
type oddValuesRun struct {
	*harness
	finals map[RequestID]int
}

func (r *oddValuesRun) count(actions []Action) {
	for _, action := range actions {
		if action.Kind == ActionRejectRequest || action.Kind == ActionFailRequest {
			r.finals[action.Request]++
		}
	}
}

// arriveAndEnd sends a request, and the end of its attempt, if any, three times. All times and hints
// have the value x.
func (r *oddValuesRun) arriveAndEnd(class, tenant int, x float64, status Status) {
	r.id++
	actions := r.handle(&RequestArrived{Request: r.id, Class: class, Tenant: tenant, Key: 5, TimeLeftMs: x,
		WorkHintMs: x, HasWorkHint: true})
	r.count(actions)
	if action := findAction(actions, ActionSendAttempt); action != nil {
		r.now++
		if status == StatusOK {
			r.finals[r.id]++
		}
		for _, attempt := range []int{0, 0, -1} {
			r.count(r.endAttempt(r.id, attempt, action.Server, status, x))
		}
	}
}

// endAll ends attempts in flight, and those that follow from that, until none is left.
func (r *oddValuesRun) endAll() {
	for range 300 {
		r.count(r.tick(10))
		for id := RequestID(1); id <= r.id; id++ {
			if open := r.b.queue.open[id]; open != nil && open.attempts.inFlight > 0 {
				last := open.attempts.counted[len(open.attempts.counted)-1]
				r.count(r.endAttempt(id, last.index, last.endpoint.id, StatusTimeout, 10))
			}
		}
	}
}

// Legal but unusual values must not make the averages NaN or infinite, and each request is answered
// once.
func TestBalancerHandlesOddValues(t *testing.T) {
	r := oddValuesRun{newHarness(t, testSettings(), 3), map[RequestID]int{}}
	r.updateEndpoints(ListDelta, Entry{Server: addr(9), Health: HealthGone}, Entry{Server: addr(1), Health: HealthDraining})
	for i, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300} {
		r.updateEndpoints(ListDelta, Entry{Server: addr(2), Health: HealthReady, Weight: x, StartedMs: x})
		status := []Status{StatusOK, StatusServerError, StatusTimeout}[i%3]
		for _, class := range []int{-1, 0, 1, 2, 3, 1 << 16} {
			r.arriveAndEnd(class, -i, x, status)
		}
	}
	r.endAll()
	for id := RequestID(1); id <= r.id; id++ {
		if n := r.finals[id]; n > 1 || n == 0 && r.b.queue.open[id] == nil {
			t.Errorf("request %d: got %d final answers, want 1", id, n)
		}
	}
	latency := &r.b.latency
	if sum := latency.fleetMean + latency.hints.meanHint + latency.hints.meanAnsweredHint + latency.uncontended +
		r.b.classes.all[idempotentClass].meanMs; math.IsNaN(sum) || math.IsInf(sum, 0) {
		t.Errorf("got means that add up to %v, want a number", sum)
	}
}

// The clock may start at any time. A request that arrives with no time left is still answered, once,
// and other requests are served as usual.
func TestBalancerAnswersOnceAtAnyClockAndTimeLeft(t *testing.T) {
	for _, start := range []float64{-1e7, 0, 1e13} {
		h := &harness{t: t, b: newBalancer(t, testSettings(), 1), now: start}
		h.b.Start(start, nil)
		h.updateEndpoints(ListCached, ready(0), ready(1))
		for _, leftMs := range []float64{0, -5, 600} {
			t.Run(fmt.Sprintf("clock %v, %v ms left", start, leftMs), func(t *testing.T) {
				if finals := answersOfRequest(t, h, leftMs); finals != 1 || h.b.queue.open[h.id] != nil {
					t.Errorf("got %d final answers, still open: %v; want 1 and closed", finals, h.b.queue.open[h.id] != nil)
				}
			})
		}
	}
}

// answersOfRequest sends a request, which must be sent to an endpoint if it has time left, and answers
// its attempt. It returns the number of its final answers until 30 ms later.
func answersOfRequest(t *testing.T, h *harness, leftMs float64) (finals int) {
	t.Helper()
	h.id++
	actions := h.handle(&RequestArrived{Request: h.id, Class: idempotentClass, Key: 3, TimeLeftMs: leftMs})
	action := findAction(actions, ActionSendAttempt)
	if sent := action != nil; sent != (leftMs > 0) {
		t.Fatalf("got sent %v, want %v", sent, leftMs > 0)
	}
	if action != nil {
		h.now += 20
		h.endAttempt(h.id, 0, action.Server, StatusOK, 20)
		finals++
	}
	for range 3 {
		for _, action := range append(actions, h.tick(10)...) {
			if action.Request == h.id && (action.Kind == ActionRejectRequest || action.Kind == ActionFailRequest) {
				finals++
			}
		}
		actions = nil
	}
	return finals
}

// Callers rely on passing events without an allocation, so Handle must not let events escape to the
// heap.
func TestBalancerHandleLetsNoEventEscape(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	out := make([]Action, 0, 8)
	for name, handle := range map[string]func() []Action{
		"timer":            func() []Action { return h.b.Handle(h.now, &TimerFired{Token: 99}, out) },
		"unknown attempt":  func() []Action { return h.b.Handle(h.now, &AttemptEnded{Request: 9, Status: StatusOK}, out) },
		"unknown request":  func() []Action { return h.b.Handle(h.now, &ClientDisconnected{Request: 9}, out) },
		"unknown response": func() []Action { return h.b.Handle(h.now, &ResponseStarted{Request: 9}, out) },
		"unknown check":    func() []Action { return h.b.Handle(h.now, &HealthCheckEnded{Server: addr(9)}, out) },
		"peer message":     func() []Action { return h.b.Handle(h.now, &PeerMessageReceived{}, out) },
	} {
		t.Run(name, func(t *testing.T) {
			var actions []Action
			if allocs := testing.AllocsPerRun(100, func() { actions = handle() }); allocs != 0 || len(actions) != 0 {
				t.Errorf("got %v allocations and %d actions, want none", allocs, len(actions))
			}
		})
	}
}
