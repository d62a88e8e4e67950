package policy

import (
	"fmt"
	"math"
	"testing"
)

// What was decided before a panic can still be carried out: an attempt that nobody makes would
// be waited for without end.
func TestBalancerDecidedReturnsActionsBeforeAPanic(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.b.queue.push(&request{id: 99, class: h.b.classes.all[idempotentClass],
		timing: requestTiming{arrived: -1e9, deadline: 1e9},
		tries:  requestTries{limit: 3, counted: []*attempt{nil}}}) // looking for an endpoint for it panics
	func() {
		defer func() {
			if recover() == nil {
				t.Fatal("got no panic, want one")
			}
		}()
		h.arrive(nonIdempotentClass, 0)
	}()
	action := findAction(h.b.Decided(), ActionSendAttempt)
	if action == nil || action.Request != h.id || h.b.limiter.inFlight != 1 {
		t.Fatalf("got %+v with %d in flight, want request %d sent", h.b.Decided(), h.b.limiter.inFlight, h.id)
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

// oddValuesPlay hands in events of legal but odd values, and counts the final answers of the requests.
type oddValuesPlay struct {
	*harness
	finals map[RequestID]int
}

func (p *oddValuesPlay) count(actions []Action) {
	for _, action := range actions {
		if action.Kind == ActionRejectRequest || action.Kind == ActionFailRequest {
			p.finals[action.Request]++
		}
	}
}

// arriveAndEnd hands in a request, and the end of its attempt, if any, three times over, with the
// value x wherever one fits.
func (p *oddValuesPlay) arriveAndEnd(class, tenant int, x float64, status Status) {
	p.id++
	actions := p.handle(&RequestArrived{Request: p.id, Class: class, Tenant: tenant, Key: 5, TimeLeftMs: x,
		WorkHintMs: x, HasWorkHint: true})
	p.count(actions)
	if action := findAction(actions, ActionSendAttempt); action != nil {
		p.now++
		if status == StatusOK {
			p.finals[p.id]++
		}
		for _, attempt := range []int{0, 0, -1} {
			p.count(p.endAttempt(p.id, attempt, action.Server, status, x))
		}
	}
}

// settle ends what is in flight, again and again, until nothing is.
func (p *oddValuesPlay) settle() {
	for range 300 {
		p.count(p.tick(10))
		for id := RequestID(1); id <= p.id; id++ {
			if open := p.b.queue.open[id]; open != nil && open.tries.inFlight > 0 {
				last := open.tries.counted[len(open.tries.counted)-1]
				p.count(p.endAttempt(id, last.index, last.endpoint.id, StatusTimeout, 10))
			}
		}
	}
}

// Legal but odd values must not poison what is learnt, and each request is answered once.
func TestBalancerSurvivesOddValues(t *testing.T) {
	p := oddValuesPlay{newHarness(t, testSettings(), 3), map[RequestID]int{}}
	p.updateEndpoints(ListDelta, Entry{Server: addr(9), Health: HealthGone}, Entry{Server: addr(1), Health: HealthDraining})
	for i, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300} {
		p.updateEndpoints(ListDelta, Entry{Server: addr(2), Health: HealthReady, Weight: x, StartedMs: x})
		status := []Status{StatusOK, StatusServerError, StatusTimeout}[i%3]
		for _, class := range []int{-1, 0, 1, 2, 3, 1 << 16} {
			p.arriveAndEnd(class, -i, x, status)
		}
	}
	p.settle()
	for id := RequestID(1); id <= p.id; id++ {
		if n := p.finals[id]; n > 1 || n == 0 && p.b.queue.open[id] == nil {
			t.Errorf("request %d: got %d final answers, want 1", id, n)
		}
	}
	latency := &p.b.latency
	if sum := latency.fleetMean + latency.hints.meanHint + latency.hints.meanAnsweredHint + latency.uncontended +
		p.b.classes.all[idempotentClass].meanMs; math.IsNaN(sum) || math.IsInf(sum, 0) {
		t.Errorf("got means that add up to %v, want a number", sum)
	}
}

// The clock may start anywhere, and a request may come with no time left: it is still
// answered, once, and ordinary ones are served as ever.
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

// answersOfRequest hands in a request, serves its attempt, which it must have if time is left, and
// returns the number of its final answers within 30 ms more.
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

// Callers hand in events without an allocation, so Handle must not let them escape.
func TestBalancerHandleKeepsNoEvent(t *testing.T) {
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
