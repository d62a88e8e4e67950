package policy

import (
	"fmt"
	"reflect"
	"testing"
)

// checkFinal checks that a final answer is the only one of its request and in time, and that a
// rejection is only sent if the client may safely repeat the request.
func (r *randomRun) checkFinal(request *simulatedRequest, action *Action) {
	r.t.Helper()
	if request.finals > 1 {
		r.t.Fatalf("request %d: got %d final answers, want 1", action.Request, request.finals)
	}
	if r.now > request.deadline+r.settings.Contract.AnswerSlackMs {
		r.t.Fatalf("request %d: got its answer %.1f ms after its deadline, want %v at most", action.Request,
			r.now-request.deadline, r.settings.Contract.AnswerSlackMs)
	}
	class := &r.settings.Classes[request.class]
	harmful := class.Effect == EffectNonIdempotent || class.Effect == EffectIdempotentWithKey && class.Group != GroupAll
	if action.Kind == ActionRejectRequest && harmful && request.mayHaveRun() {
		r.t.Fatalf("request %d of effect %s: got a rejection though it may have run, want a failure", action.Request, class.Effect)
	}
}

// checkSend checks an attempt against the limits and against the effect of its request's class.
func (r *randomRun) checkSend(request *simulatedRequest, action *Action) {
	r.t.Helper()
	if request.finals > 0 || r.now > request.deadline {
		r.t.Fatalf("request %d: got an attempt after its end, want none", action.Request)
	}
	counted := 0 // attempts that failed on the agent's own machine don't count against the limit
	for _, attempt := range request.attempts {
		if !attempt.ended || attempt.status != StatusLocalFailure && attempt.status != StatusUnreachable {
			counted++
		}
	}
	if counted >= r.settings.Limits.MaxAttempts {
		r.t.Fatalf("request %d: got attempt %d, want %d at most", action.Request, counted+1, r.settings.Limits.MaxAttempts)
	}
	if since, unusable := r.unusable[action.Server]; unusable && r.now-since > r.settings.Contract.DrainGraceMs {
		r.t.Fatalf("got an attempt at %v %.0f ms after it began to drain, want none", action.Server, r.now-since)
	}
	for _, earlier := range request.attempts {
		if !earlier.ended && !r.settings.Limits.HedgedRequests {
			r.t.Fatalf("request %d: got two attempts in flight, want one", action.Request)
		}
		if !earlier.ended || !earlier.status.NeverRan() {
			r.checkRepeat(request, earlier, action)
		}
	}
}

// checkRepeat checks an attempt against an earlier one that may have run.
func (r *randomRun) checkRepeat(request *simulatedRequest, earlier *simulatedAttempt, action *Action) {
	r.t.Helper()
	class := &r.settings.Classes[request.class]
	keyed := class.Effect == EffectIdempotentWithKey
	before, now := r.list[earlier.server], r.list[action.Server]
	switch {
	case class.Effect == EffectNonIdempotent:
		r.t.Fatalf("request %d: got an attempt though one may have run, want none", action.Request)
	case keyed && r.now-earlier.sentAt > class.IdempotencyWindowMs:
		r.t.Fatalf("request %d: got an attempt %.0f ms after one may have run, want %.0f at most", action.Request,
			r.now-earlier.sentAt, class.IdempotencyWindowMs)
	case keyed && (class.Group == GroupZone && before.Zone != now.Zone || class.Group == GroupCell && before.Cell != now.Cell):
		r.t.Fatalf("request %d: got an attempt outside its group, want it within", action.Request)
	}
}

// checkEnd checks that no request is left, and that the adaptive state is within its bounds.
func (r *randomRun) checkEnd() {
	r.t.Helper()
	if open, queued, inFlight := len(r.b.queue.open), len(r.b.queue.queued), r.b.limiter.inFlight; open != 0 || queued != 0 || inFlight != 0 {
		r.t.Errorf("got %d open requests, %d queued and %d attempts in flight at the end, want none", open, queued, inFlight)
	}
	for _, listed := range r.b.endpoints.all {
		if n := len(listed.traffic.inFlight); n != 0 {
			r.t.Errorf("endpoint %v: got %d attempts in flight at the end, want none", listed.id, n)
		}
	}
	limiter, tokens := &r.b.limiter, r.b.retries.tokens
	if limiter.scale < minAttemptsPerEndpoint/attemptsPerEndpoint || len(limiter.abandoned.all) > maxQueued ||
		tokens < 0 || tokens > retryBurst {
		r.t.Errorf("got a limit of %.1f times its floor, %d abandoned attempts and a retry budget of %.1f, want them in their bounds",
			limiter.scale, len(limiter.abandoned.all), tokens)
	}
	if n := len(r.b.queue.unserved); n > maxQueued {
		r.t.Errorf("got %d unserved requests remembered, want %d at most", n, maxQueued)
	}
}

// runRandomly simulates the run of a seed and returns all actions.
func runRandomly(t *testing.T, seed uint64) []Action {
	t.Helper()
	r := newRandomRun(t, seed)
	for i := range 1500 {
		r.step()
		for i < 1200 && r.rng.IntN(3) == 0 {
			r.arrive()
		}
		r.injectEvent()
	}
	r.checkEnd()
	return r.history
}

func TestBalancerKeepsItsGuarantees(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRandomly(t, seed) })
	}
}

func TestBalancerIsDeterministic(t *testing.T) {
	for seed := range uint64(5) {
		if !reflect.DeepEqual(runRandomly(t, seed), runRandomly(t, seed)) {
			t.Errorf("seed %d: got two runs that differ, want the same actions", seed)
		}
	}
}
