package policy

import "testing"

// A retry that is held up for 0.15 s between its decision and its first byte, or as long as it
// may begin and then so, still goes out within the window in which repeats are dropped. Where the
// window is shorter than that, none goes out.
func TestRepeatsLeaveRoomForAHoldUp(t *testing.T) {
	const heldUp = 150
	for _, ttl := range []float64{100, 150, 160, 200, 400, 4000} {
		repeated := false
		for after := 1.0; after < ttl+10; after++ {
			set := testSettings()
			set.Classes[2].IdempotencyWindowMs, set.Classes[2].LatencyObjectiveMs, set.Classes[2].DeadlineMs = ttl, 20000, 30000
			r := newRig(t, set, 6)
			r.id++
			first := find(r.do(&RequestArrived{Request: r.id, Class: 2, Key: 5, TimeLeftMs: 30000}), ActionSendAttempt)
			sent := r.now
			r.now += after
			action := find(r.outcome(r.id, 0, first.Server, StatusServerError, after), ActionSendAttempt)
			if action == nil {
				continue
			}
			repeated = true
			if action.BeginWithinMs <= 0 || r.now+action.BeginWithinMs+heldUp > sent+ttl {
				t.Fatalf("a window of %v ms: a repeat after %v ms may begin within %v ms", ttl, after, action.BeginWithinMs)
			}
		}
		if want := ttl > heldUp+2*testSettings().RoundMs+1; repeated != want {
			t.Errorf("a window of %v ms: repeated %v, want %v", ttl, repeated, want)
		}
	}
}

func TestSingleShotIsNotRepeated(t *testing.T) {
	for _, status := range []Status{StatusServerError, StatusTimeout, StatusReset, StatusCancelled} {
		r := newRig(t, testSettings(), 3)
		id, server := r.sent(1, 5)
		actions := r.outcome(id, 0, server, status, 50)
		if find(actions, ActionSendAttempt) != nil || find(actions, ActionRejectRequest) != nil || find(actions, ActionFailRequest) == nil {
			t.Errorf("ending %d: want a failure and nothing else, got %+v", status, actions)
		}
	}
	r := newRig(t, testSettings(), 3)
	id, server := r.sent(1, 5)
	if actions := r.outcome(id, 0, server, StatusConnectFailed, 50); find(actions, ActionSendAttempt) == nil {
		t.Errorf("an attempt that never ran was not repeated: %+v", actions)
	}
}

func TestGuardedStaysInItsGroupAndTime(t *testing.T) {
	r := newRig(t, testSettings(), 6)
	id, server := r.sent(2, 5)
	if first := find(r.b.actions, ActionSendAttempt); first == nil || first.BeginWithinMs != 0 {
		t.Fatalf("the first attempt may not begin at any time: %+v", first)
	}
	actions := r.outcome(id, 0, server, StatusServerError, 20)
	action := find(actions, ActionSendAttempt)
	if action == nil || r.b.endpoints.byAddr[action.Server].cell != r.b.endpoints.byAddr[server].cell {
		t.Fatalf("a guarded repeat did not stay in its cell: %+v", actions)
	}
	// A connection that comes up late must not carry it past that time.
	ttl := r.b.set.Classes[2].IdempotencyWindowMs
	if sent := r.b.queue.open[id].idempotency.earliestRunAt; action.BeginWithinMs <= 0 || r.now+action.BeginWithinMs > sent+ttl {
		t.Errorf("a repeat %v ms after the first may begin within %v ms of %v", r.now-sent, action.BeginWithinMs, ttl)
	}
	r.now += 496 // just inside the 500 ms less the margin
	actions = r.outcome(id, 1, action.Server, StatusServerError, 20)
	if find(actions, ActionSendAttempt) != nil || find(actions, ActionFailRequest) == nil && len(r.b.queue.queued) == 0 {
		t.Errorf("a guarded repeat went out after its time: %+v", actions)
	}
}

// A started stream belongs to the client: nothing more is sent or answered for it.
func TestStartedStreamIsLeftAlone(t *testing.T) {
	set := testSettings()
	set.Classes[0].Streamed = true
	r := newRig(t, set, 4)
	id, server := r.sent(0, 3)
	r.now += 30
	r.do(&ResponseStarted{Request: id, Attempt: 0, Server: server, LatencyMs: 30})
	for range 200 {
		for _, action := range r.tick(10) {
			if action.Request == id && action.Kind != ActionSetTimer {
				t.Fatalf("action %+v for a request whose answer streams", action)
			}
		}
	}
	actions := r.do(&AttemptEnded{Request: id, Attempt: 0, Server: server, Status: StatusReset, LatencyMs: 2000, Final: true})
	if find(actions, ActionSendAttempt) != nil || find(actions, ActionFailRequest) != nil || len(r.b.queue.open) != 0 {
		t.Errorf("a stream that broke: %+v, %d requests kept", actions, len(r.b.queue.open))
	}
}

// Where each of many agents sends every rejected attempt on to the next endpoint, all together keep
// the endpoints too full to serve any. So attempts after the first are paid for by answers in time,
// but for those after one that reached no endpoint.
func TestResendsHaveABudget(t *testing.T) {
	for _, status := range []Status{StatusOK, StatusRejected, StatusConnectFailed} {
		r := newRig(t, testSettings(), 20)
		first, more := 0, 0
		for range 200 {
			r.now += 20
			id, actions := r.ask(0, r.b.rng.Uint64())
			for try := 0; ; try++ {
				action := find(actions, ActionSendAttempt)
				if action == nil || action.Request != id {
					break
				}
				if try == 0 {
					first++
				} else {
					more++
				}
				actions = r.outcome(id, try, action.Server, status, 5)
			}
		}
		if status == StatusOK && first != 200 || status == StatusRejected && more != retryBurst || status == StatusConnectFailed && more != 400 {
			t.Errorf("ending %d: 200 requests over 4 s became %d first and %d further attempts", status, first, more)
		}
	}
}

// What may have run is sent again only where its class allows it.
func TestRetryPolicyKeepsToTheEffect(t *testing.T) {
	first := &endpoint{zone: 1, cell: 1, usable: true}
	sameCell, sameZone := &endpoint{zone: 1, cell: 1, usable: true}, &endpoint{zone: 1, cell: 2, usable: true}
	elsewhere := &endpoint{zone: 2, cell: 3, usable: true}
	keyed := func(group Group) Class {
		return Class{Effect: EffectIdempotentWithKey, Group: group, IdempotencyWindowMs: 1000}
	}
	cases := []struct {
		name       string
		class      Class
		mayHaveRun int
		after      float64 // ms since the first attempt
		want       [3]bool // at sameCell, sameZone, elsewhere
	}{
		{"idempotent", Class{Effect: EffectIdempotent}, 1, 5000, [3]bool{true, true, true}},
		{"non-idempotent", Class{Effect: EffectNonIdempotent}, 1, 0, [3]bool{}},
		{"non-idempotent that never ran", Class{Effect: EffectNonIdempotent}, 0, 0, [3]bool{true, true, true}},
		{"key known to all", keyed(GroupAll), 1, 500, [3]bool{true, true, true}},
		{"key known in the zone", keyed(GroupZone), 1, 500, [3]bool{true, true, false}},
		{"key known in the cell", keyed(GroupCell), 1, 500, [3]bool{true, false, false}},
		{"key at the end of its window", keyed(GroupAll), 1, 1000 - writeDelayMarginMs, [3]bool{}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			env := &environment{now: 10000 + test.after}
			retries := retryPolicy{environment: env, endpoints: &endpointSet{}}
			request := &request{class: &class{Class: test.class},
				timing: requestTiming{deadline: 1e6}, tries: requestTries{limit: 2},
				idempotency: requestIdempotency{mayHaveRun: test.mayHaveRun, earliestRunAt: 10000, firstEndpoint: first}}
			for i, endpoint := range []*endpoint{sameCell, sameZone, elsewhere} {
				if got := retries.maySend(request, endpoint); got != test.want[i] {
					t.Errorf("endpoint %d: %v, want %v", i, got, test.want[i])
				}
			}
		})
	}
}

// The budget bounds retries to what answers have earned, up to retryBurst; an attempt that reached
// nobody is free.
func TestRetryBudgetIsCharged(t *testing.T) {
	retries := retryPolicy{environment: &environment{}, tokens: 1}
	request := &request{class: &class{Class: Class{Effect: EffectIdempotent}},
		timing: requestTiming{deadline: 1000}, tries: requestTries{limit: 3}}
	if !retries.charge(request, StatusServerError) || retries.tokens != 0 {
		t.Fatalf("the last token pays no retry; %v left", retries.tokens)
	}
	if retries.charge(request, StatusServerError) {
		t.Error("a retry without a token")
	}
	if !retries.charge(request, StatusConnectFailed) || retries.tokens != 0 {
		t.Errorf("an attempt that reached nobody is not free; %v left", retries.tokens)
	}
	for range 100 {
		retries.earn()
	}
	if retries.tokens != retryBurst {
		t.Errorf("%v tokens saved up, want %v", retries.tokens, retryBurst)
	}
}
