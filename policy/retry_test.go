package policy

import (
	"fmt"
	"testing"
)

// A retry may be delayed for as long as it may begin, and then for 0.15 s until its first byte is
// written. It must still be written within the window in which servers drop repeats. If the window
// is shorter than that delay, there is no retry.
func TestRetryPolicyLeavesTimeForADelayedWrite(t *testing.T) {
	const delayMs = 150
	for _, windowMs := range []float64{100, 150, 160, 200, 400, 4000} {
		t.Run(fmt.Sprintf("window of %v ms", windowMs), func(t *testing.T) {
			repeated := false
			for afterMs := 1.0; afterMs < windowMs+10; afterMs++ {
				set := testSettings()
				class := &set.Classes[keyedClass]
				class.IdempotencyWindowMs, class.LatencyObjectiveMs, class.DeadlineMs = windowMs, 20000, 30000
				h := newHarness(t, set, 6)
				h.id++
				first := findAction(h.handle(&RequestArrived{Request: h.id, Class: keyedClass, Key: 5, TimeLeftMs: 30000}),
					ActionSendAttempt)
				sentAt := h.now
				h.now += afterMs
				retry := findAction(h.endAttempt(h.id, 0, first.Server, StatusServerError, afterMs), ActionSendAttempt)
				if retry == nil {
					continue
				}
				repeated = true
				if retry.BeginWithinMs <= 0 || h.now+retry.BeginWithinMs+delayMs > sentAt+windowMs {
					t.Fatalf("retry after %v ms: got %v ms to begin within, want it %v ms before the window ends", afterMs,
						retry.BeginWithinMs, delayMs)
				}
			}
			if want := windowMs > delayMs+2*testSettings().RoundMs+1; repeated != want {
				t.Errorf("got repeated %v, want %v", repeated, want)
			}
		})
	}
}

func TestRetryPolicyNeverRepeatsNonIdempotentRequests(t *testing.T) {
	for _, status := range []Status{StatusServerError, StatusTimeout, StatusReset, StatusCancelled} {
		h := newHarness(t, testSettings(), 3)
		id, server := h.mustSend(nonIdempotentClass, 5)
		actions := h.endAttempt(id, 0, server, status, 50)
		if findAction(actions, ActionSendAttempt) != nil || findAction(actions, ActionRejectRequest) != nil ||
			findAction(actions, ActionFailRequest) == nil {
			t.Errorf("status %d: got %+v, want a failure alone", status, actions)
		}
	}
}

func TestRetryPolicyRetriesRequestsThatNeverRan(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	id, server := h.mustSend(nonIdempotentClass, 5)
	if actions := h.endAttempt(id, 0, server, StatusConnectFailed, 50); findAction(actions, ActionSendAttempt) == nil {
		t.Errorf("got %+v, want another attempt", actions)
	}
}

func TestRetryPolicyKeepsKeyedRetriesInGroupAndWindow(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	id, server := h.mustSend(keyedClass, 5)
	if first := findAction(h.b.Actions(), ActionSendAttempt); first == nil || first.BeginWithinMs != 0 {
		t.Fatalf("got %+v, want a first attempt that may begin at any time", first)
	}
	actions := h.endAttempt(id, 0, server, StatusServerError, 20)
	retry := findAction(actions, ActionSendAttempt)
	if retry == nil || h.endpointAt(retry.Server).cell != h.endpointAt(server).cell {
		t.Fatalf("got %+v, want a retry in the cell of the first attempt", actions)
	}
	// A connection that is established late must not delay the retry past the end of the window.
	windowEnd := h.b.queue.open[id].idempotency.earliestRunAt + h.b.settings.Classes[keyedClass].IdempotencyWindowMs
	if retry.BeginWithinMs <= 0 || h.now+retry.BeginWithinMs > windowEnd {
		t.Errorf("got %v ms to begin within, want some, and %v at most", retry.BeginWithinMs, windowEnd-h.now)
	}
	h.now += 496 // inside the window of 500 ms, but within the margin before its end
	actions = h.endAttempt(id, 1, retry.Server, StatusServerError, 20)
	if findAction(actions, ActionSendAttempt) != nil || findAction(actions, ActionFailRequest) == nil && len(h.b.queue.queued) == 0 {
		t.Errorf("past the window got %+v, want no attempt", actions)
	}
}

// Guards against a request that runs twice because a process was replaced by one in another cell or
// zone, and the new one was taken for the old one: a retry stays in the group of the first attempt,
// whose servers drop repeats.
func TestRetryPolicyKeepsRetriesInGroupAfterARestart(t *testing.T) {
	for _, group := range []Group{GroupCell, GroupZone} {
		t.Run(string(group), func(t *testing.T) {
			settings := testSettings()
			settings.Classes[keyedClass].Group = group
			h := newHarness(t, settings, 6)
			id, server := h.mustSend(keyedClass, 5)
			old := h.endpointAt(server).cell
			restarted := startedAt(Entry{Server: server, Health: HealthReady, Weight: 1, Cell: 1 - old, Zone: 1 - old}, h.now)
			h.updateEndpoints(ListDelta, restarted)
			h.now += 20
			retry := findAction(h.endAttempt(id, 0, server, StatusReset, 20), ActionSendAttempt)
			if retry == nil {
				t.Fatal("got no retry, want one in the group of the first attempt")
			}
			if got := h.endpointAt(retry.Server); got.cell != old || got.zone != old {
				t.Errorf("got a retry in zone %d, cell %d; want %d, %d, where the first attempt ran", got.zone, got.cell, old, old)
			}
		})
	}
}

// If each of many agents sent every rejected attempt to the next endpoint, together they would keep all
// endpoints overloaded. So the retry budget bounds retries by the number of answers in time. A retry
// after an attempt that reached no endpoint is free.
func TestRetryPolicyBoundsRetriesByItsBudget(t *testing.T) {
	const any = -1
	for _, test := range []struct {
		name                   string
		status                 Status
		wantFirst, wantRetries int
	}{
		{"served", StatusOK, 200, any},
		{"rejected", StatusRejected, any, retryBurst},
		{"connect failed", StatusConnectFailed, any, 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			first, retries := countAttempts(t, test.status)
			if first != test.wantFirst && test.wantFirst != any {
				t.Errorf("got %d first attempts, want %d", first, test.wantFirst)
			}
			if retries != test.wantRetries && test.wantRetries != any {
				t.Errorf("got %d retries, want %d", retries, test.wantRetries)
			}
		})
	}
}

// countAttempts simulates 200 requests over 4 s, all attempts of which end with the status. It returns
// the number of first attempts and of retries.
func countAttempts(t *testing.T, status Status) (first, retries int) {
	t.Helper()
	h := newHarness(t, testSettings(), 20)
	for range 200 {
		h.now += 20
		id, actions := h.arrive(idempotentClass, h.randomKey())
		for attempt := 0; ; attempt++ {
			send := findAction(actions, ActionSendAttempt)
			if send == nil || send.Request != id {
				break
			}
			if attempt == 0 {
				first++
			} else {
				retries++
			}
			actions = h.endAttempt(id, attempt, send.Server, status, 5)
		}
	}
	return first, retries
}

// A request that may have run is sent again only to endpoints that the effect of its class allows.
func TestRetryPolicyFollowsTheEffect(t *testing.T) {
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
		afterMs    float64 // since the first attempt
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
			retries := newRetryPolicy(&environment{now: 10000 + test.afterMs}, &endpointSet{})
			request := &request{class: &class{Class: test.class},
				timing: requestTiming{deadline: 1e6}, attempts: requestAttempts{limit: 2},
				idempotency: requestIdempotency{mayHaveRun: test.mayHaveRun, earliestRunAt: 10000,
					firstZone: first.zone, firstCell: first.cell}}
			for i, endpoint := range []*endpoint{sameCell, sameZone, elsewhere} {
				if got := retries.maySend(request, endpoint); got != test.want[i] {
					t.Errorf("endpoint %d: got %v, want %v", i, got, test.want[i])
				}
			}
		})
	}
}

// The retry budget bounds retries to the tokens that answers have added, up to retryBurst. A retry
// after an attempt that reached no endpoint is free.
func TestRetryPolicyChargesItsBudget(t *testing.T) {
	retries := newRetryPolicy(&environment{}, nil)
	retries.tokens = 1
	request := &request{class: &class{Class: Class{Effect: EffectIdempotent}},
		timing: requestTiming{deadline: 1000}, attempts: requestAttempts{limit: 3}}
	if !retries.tryCharge(request, StatusServerError) || retries.tokens != 0 {
		t.Fatalf("got %v tokens after a retry with the last one, want it allowed and 0", retries.tokens)
	}
	if retries.tryCharge(request, StatusServerError) {
		t.Error("got a retry without a token, want none")
	}
	if !retries.tryCharge(request, StatusConnectFailed) || retries.tokens != 0 {
		t.Errorf("got %v tokens after an attempt that reached no endpoint, want a retry allowed and 0", retries.tokens)
	}
	for range 100 {
		retries.refill()
	}
	if retries.tokens != retryBurst {
		t.Errorf("got %v tokens saved up, want %v", retries.tokens, retryBurst)
	}
}
