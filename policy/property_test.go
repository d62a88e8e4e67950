package policy

import (
	"fmt"
	"reflect"
	"testing"
)

// checkFinal checks a final answer: it is the only one, in time, and a rejection only of what a client
// may repeat.
func (p *randomPlay) checkFinal(request *playedRequest, action *Action) {
	p.t.Helper()
	if request.finals > 1 {
		p.t.Fatalf("request %d: got %d final answers, want 1", action.Request, request.finals)
	}
	if p.now > request.deadline+p.set.Contract.AnswerSlackMs {
		p.t.Fatalf("request %d: got its answer %.1f ms after its deadline, want %v at most", action.Request,
			p.now-request.deadline, p.set.Contract.AnswerSlackMs)
	}
	class := &p.set.Classes[request.class]
	harmful := class.Effect == EffectNonIdempotent || class.Effect == EffectIdempotentWithKey && class.Group != GroupAll
	if action.Kind == ActionRejectRequest && harmful && request.mayHaveRun() {
		p.t.Fatalf("request %d of effect %s: got a rejection though it may have run, want a failure", action.Request, class.Effect)
	}
}

// checkSend checks an attempt against the limits and the effect of its class.
func (p *randomPlay) checkSend(request *playedRequest, action *Action) {
	p.t.Helper()
	if request.finals > 0 || p.now > request.deadline {
		p.t.Fatalf("request %d: got an attempt after its end, want none", action.Request)
	}
	counted := 0 // what this machine could not make costs no attempt
	for _, attempt := range request.attempts {
		if !attempt.ended || attempt.status != StatusLocalFailure && attempt.status != StatusUnreachable {
			counted++
		}
	}
	if counted >= p.set.Limits.MaxAttempts {
		p.t.Fatalf("request %d: got attempt %d, want %d at most", action.Request, counted+1, p.set.Limits.MaxAttempts)
	}
	if since, unusable := p.unusable[action.Server]; unusable && p.now-since > p.set.Contract.DrainGraceMs {
		p.t.Fatalf("got an attempt at %v %.0f ms after it began to drain, want none", action.Server, p.now-since)
	}
	for _, former := range request.attempts {
		if !former.ended && !p.set.Limits.HedgedRequests {
			p.t.Fatalf("request %d: got two attempts in flight, want one", action.Request)
		}
		if !former.ended || !former.status.NeverRan() {
			p.checkRepeat(request, former, action)
		}
	}
}

// checkRepeat checks an attempt against a former one that may have run.
func (p *randomPlay) checkRepeat(request *playedRequest, former *playedAttempt, action *Action) {
	p.t.Helper()
	class := &p.set.Classes[request.class]
	keyed := class.Effect == EffectIdempotentWithKey
	before, now := p.list[former.server], p.list[action.Server]
	switch {
	case class.Effect == EffectNonIdempotent:
		p.t.Fatalf("request %d: got an attempt though one may have run, want none", action.Request)
	case keyed && p.now-former.sentAt > class.IdempotencyWindowMs:
		p.t.Fatalf("request %d: got an attempt %.0f ms after one may have run, want %.0f at most", action.Request,
			p.now-former.sentAt, class.IdempotencyWindowMs)
	case keyed && (class.Group == GroupZone && before.Zone != now.Zone || class.Group == GroupCell && before.Cell != now.Cell):
		p.t.Fatalf("request %d: got an attempt outside its group, want it within", action.Request)
	}
}

// checkEnd checks that nothing is left of the requests, and that what is learnt keeps its bounds.
func (p *randomPlay) checkEnd() {
	p.t.Helper()
	if open, queued, inFlight := len(p.b.queue.open), len(p.b.queue.queued), p.b.limiter.inFlight; open != 0 || queued != 0 || inFlight != 0 {
		p.t.Errorf("got %d open requests, %d queued and %d attempts in flight at the end, want none", open, queued, inFlight)
	}
	for _, listed := range p.b.endpoints.all {
		if n := len(listed.traffic.inFlight); n != 0 {
			p.t.Errorf("endpoint %v: got %d attempts in flight at the end, want none", listed.id, n)
		}
	}
	limiter, tokens := &p.b.limiter, p.b.retries.tokens
	if limiter.scale < minAttemptsPerEndpoint/attemptsPerEndpoint || len(limiter.abandoned.all) > maxQueued ||
		tokens < 0 || tokens > retryBurst {
		p.t.Errorf("got a limit of %.1f times its floor, %d abandoned attempts and a retry budget of %.1f, want them in their bounds",
			limiter.scale, len(limiter.abandoned.all), tokens)
	}
	if n := len(p.b.queue.unserved); n > maxQueued {
		p.t.Errorf("got %d unserved requests remembered, want %d at most", n, maxQueued)
	}
}

// playRandomly plays the seed and returns all actions.
func playRandomly(t *testing.T, seed uint64) []Action {
	t.Helper()
	p := newRandomPlay(t, seed)
	for i := range 1500 {
		p.step()
		for i < 1200 && p.rng.IntN(3) == 0 {
			p.arrive()
		}
		p.disturb()
	}
	p.checkEnd()
	return p.history
}

func TestBalancerKeepsItsGuarantees(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playRandomly(t, seed) })
	}
}

func TestBalancerIsDeterministic(t *testing.T) {
	for seed := range uint64(5) {
		if !reflect.DeepEqual(playRandomly(t, seed), playRandomly(t, seed)) {
			t.Errorf("seed %d: got two plays that differ, want the same actions", seed)
		}
	}
}
