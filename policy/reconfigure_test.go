package policy

import (
	"strings"
	"testing"
)

// mustReconfigure puts other settings in force.
func (h *harness) mustReconfigure(set Settings) {
	h.t.Helper()
	if err := h.b.Reconfigure(set); err != nil {
		h.t.Fatal(err)
	}
}

// Other settings take all or nothing: what makes no sense, or can't change without a
// restart, is named, and the settings in force stay.
func TestReconfigureAppliesAllOrNothing(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	for key, spoil := range map[string]func(*Settings){
		"membershipMode":     func(s *Settings) { s.Membership = MembershipWatched },
		"index":              func(s *Settings) { s.Index = 2 },
		"zone":               func(s *Settings) { s.Zone = 1 },
		"classes[1].aimMs":   func(s *Settings) { s.Classes[1].LatencyObjectiveMs = 0 },
		"limits.maxAttempts": func(s *Settings) { s.Limits.MaxAttempts = 0 },
	} {
		t.Run(key, func(t *testing.T) {
			set := testSettings()
			set.Classes[0].LatencyObjectiveMs, set.Limits.MaxRetryAfterMs = 77, 88
			spoil(&set)
			if err := h.b.Reconfigure(set); err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("got error %v, want one that names %s", err, key)
			}
			if h.b.set.Limits.MaxRetryAfterMs == 88 || h.b.classes.all[0].LatencyObjectiveMs == 77 {
				t.Fatal("got a part of the settings in force, want none")
			}
		})
	}
}

// What is open when other settings come goes on under its own terms: a request that could be
// repeated still is, though its class may not any more, and one that could not is not, though
// its class now may. What comes after goes by the new ones, under the classes' new numbers.
func TestReconfigureKeepsTheTermsOfOpenRequests(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	repeatable, server := h.mustSend(idempotentClass, 1)
	nonRepeatable, other := h.mustSend(nonIdempotentClass, 2)
	set := testSettings()
	set.Limits.MaxAttempts = 1
	set.Classes[0], set.Classes[1] = set.Classes[1], set.Classes[0]
	set.Classes[0].Effect, set.Classes[1].Effect = EffectIdempotent, EffectNonIdempotent // each by the other's name
	h.mustReconfigure(set)
	if send := findAction(h.endAttempt(repeatable, 0, server, StatusReset, 5), ActionSendAttempt); send == nil || send.Request != repeatable {
		t.Errorf("what could be repeated: got %+v, want request %d sent again", send, repeatable)
	}
	actions := h.endAttempt(nonRepeatable, 0, other, StatusReset, 5)
	if findAction(actions, ActionSendAttempt) != nil || findAction(actions, ActionFailRequest) == nil {
		t.Errorf("what could not be repeated: got %+v, want a failure", actions)
	}
	next, server := h.mustSend(0, 3) // may be repeated now, but for its one attempt
	actions = h.endAttempt(next, 0, server, StatusReset, 5)
	if findAction(actions, ActionSendAttempt) != nil || findAction(actions, ActionRejectRequest) == nil {
		t.Errorf("a new request: got %+v, want a rejection", actions)
	}
}

// newLearntHarness returns a harness of two tenants whose agent has learnt of endpoints, among them a
// warming and a failed one, of classes and of tenants.
func newLearntHarness(t *testing.T) *harness {
	t.Helper()
	set := testSettings()
	set.Tenants = []Tenant{{Name: "a", QuotaShare: 0.5}, {Name: "b", QuotaShare: 0.5}}
	h := newHarness(t, set, 4)
	h.updateEndpoints(ListDelta, startedAt(ready(3), h.now))
	for range 30 {
		h.serve(idempotentClass, h.randomKey(), 10)
	}
	id, server := h.mustSend(keyedClass, 7)
	h.endAttempt(id, 0, server, StatusServerError, 10)
	h.b.quotas.shares[0], h.b.quotas.shares[1] = 0.9, 0.1
	return h
}

// otherNames are the settings with other tenants and fewer classes, in another order.
func otherNames(set Settings) Settings {
	set.Tenants = []Tenant{{Name: "c", QuotaShare: 0.2}, {Name: "b", QuotaShare: 0.2}, {Name: "a", QuotaShare: 0.6}}
	set.Classes = []Class{set.Classes[keyedClass], set.Classes[idempotentClass]}
	set.Limits.KeepaliveMs *= 2
	return set
}

// States, ejections, slow start, the limit and the retry budget stay.
func TestReconfigureKeepsWhatWasLearntOfEndpoints(t *testing.T) {
	h := newLearntHarness(t)
	before := map[Addr]endpoint{}
	for _, listed := range h.b.endpoints.all {
		before[listed.id] = *listed
	}
	limit, budget, rate := h.b.limiter.scale, h.b.retries.tokens, h.b.traffic.perMs()
	h.mustReconfigure(otherNames(h.b.set))
	for _, got := range h.b.endpoints.all {
		want := before[got.id]
		if got.health.state != want.health.state || got.health.consecutiveEjections != want.health.consecutiveEjections ||
			got.slowStart.allowance != want.slowStart.allowance || got.slowStart.startedAt != want.slowStart.startedAt ||
			got.window.size != want.window.size || got.latency.mean != want.latency.mean {
			t.Errorf("got endpoint %+v, want it as before: %+v", *got, want)
		}
	}
	if h.b.limiter.scale != limit || h.b.retries.tokens != budget || !near(h.b.traffic.perMs(), rate) {
		t.Errorf("got a limit of %v, a budget of %v and a rate of %v, want %v, %v and %v", h.b.limiter.scale, h.b.retries.tokens,
			h.b.traffic.perMs(), limit, budget, rate)
	}
}

// What was learnt of classes and tenants stays with their names.
func TestReconfigureKeepsWhatWasLearntByName(t *testing.T) {
	h := newLearntHarness(t)
	meanMs := h.b.classes.all[idempotentClass].meanMs
	h.mustReconfigure(otherNames(h.b.set))
	if got := h.b.classes.all[1].meanMs; got != meanMs {
		t.Errorf("got a mean answer time of %v ms for the class, want %v as before", got, meanMs)
	}
	if usage := h.b.quotas.shares; usage[2] != 0.9 || usage[1] != 0.1 || usage[0] != 0 {
		t.Errorf("got the tenants' shares %v, want 0, 0.1 and 0.9", usage)
	}
	if !h.b.quotas.over(2) || h.b.quotas.over(1) {
		t.Errorf("got over their quotas %v and %v, want the quotas of the new settings", h.b.quotas.over(2), h.b.quotas.over(1))
	}
}
