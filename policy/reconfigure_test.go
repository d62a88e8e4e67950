package policy

import (
	"strings"
	"testing"
)

// mustReconfigure applies new settings, which must be valid.
func (h *harness) mustReconfigure(set Settings) {
	h.t.Helper()
	if err := h.b.Reconfigure(set); err != nil {
		h.t.Fatal(err)
	}
}

// New settings apply as a whole or not at all. If one is invalid, or can't change without a restart,
// the error names it and the current settings stay.
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
			if h.b.settings.Limits.MaxRetryAfterMs == 88 || h.b.classes.all[0].LatencyObjectiveMs == 77 {
				t.Fatal("got a part of the settings in force, want none")
			}
		})
	}
}

// An open request keeps the class that it arrived with when the settings change: it is retried only if
// its old class allows that, whatever the new class of that name says. A request that arrives later
// uses the new settings, with the new indexes of the classes.
func TestReconfigureKeepsTheClassOfOpenRequests(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	repeatable, server := h.mustSend(idempotentClass, 1)
	nonRepeatable, other := h.mustSend(nonIdempotentClass, 2)
	set := testSettings()
	set.Limits.MaxAttempts = 1
	set.Classes[0], set.Classes[1] = set.Classes[1], set.Classes[0]
	set.Classes[0].Effect, set.Classes[1].Effect = EffectIdempotent, EffectNonIdempotent // effects swapped
	h.mustReconfigure(set)
	if send := findAction(h.endAttempt(repeatable, 0, server, StatusReset, 5), ActionSendAttempt); send == nil || send.Request != repeatable {
		t.Errorf("repeatable request: got %+v, want request %d sent again", send, repeatable)
	}
	actions := h.endAttempt(nonRepeatable, 0, other, StatusReset, 5)
	if findAction(actions, ActionSendAttempt) != nil || findAction(actions, ActionFailRequest) == nil {
		t.Errorf("non-repeatable request: got %+v, want a failure", actions)
	}
	next, server := h.mustSend(0, 3) // its class is repeatable now, but only one attempt is allowed
	actions = h.endAttempt(next, 0, server, StatusReset, 5)
	if findAction(actions, ActionSendAttempt) != nil || findAction(actions, ActionRejectRequest) == nil {
		t.Errorf("a new request: got %+v, want a rejection", actions)
	}
}

// newHarnessWithHistory returns a harness with two tenants whose agent has statistics of endpoints, of
// classes and of tenants. One endpoint is warming up and one has failed.
func newHarnessWithHistory(t *testing.T) *harness {
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

// withOtherNames returns the settings with other tenants and fewer classes, in another order.
func withOtherNames(set Settings) Settings {
	set.Tenants = []Tenant{{Name: "c", QuotaShare: 0.2}, {Name: "b", QuotaShare: 0.2}, {Name: "a", QuotaShare: 0.6}}
	set.Classes = []Class{set.Classes[keyedClass], set.Classes[idempotentClass]}
	set.Limits.KeepaliveMs *= 2
	return set
}

// Health states, ejections, slow start, the concurrency limit and the retry budget stay.
func TestReconfigureKeepsEndpointState(t *testing.T) {
	h := newHarnessWithHistory(t)
	before := map[Addr]endpoint{}
	for _, listed := range h.b.endpoints.all {
		before[listed.id] = *listed
	}
	limit, budget, rate := h.b.limiter.scale, h.b.retries.tokens, h.b.requestRate.perMs()
	h.mustReconfigure(withOtherNames(h.b.settings))
	for _, got := range h.b.endpoints.all {
		want := before[got.id]
		if got.health.state != want.health.state || got.health.ejectionCount != want.health.ejectionCount ||
			got.slowStart.allowance != want.slowStart.allowance || got.slowStart.startedAt != want.slowStart.startedAt ||
			got.window.size != want.window.size || got.latency.mean != want.latency.mean {
			t.Errorf("got endpoint %+v, want it as before: %+v", *got, want)
		}
	}
	if h.b.limiter.scale != limit || h.b.retries.tokens != budget || !near(h.b.requestRate.perMs(), rate) {
		t.Errorf("got a limit of %v, a budget of %v and a rate of %v, want %v, %v and %v", h.b.limiter.scale, h.b.retries.tokens,
			h.b.requestRate.perMs(), limit, budget, rate)
	}
}

// The statistics of classes and tenants stay with those of the same name.
func TestReconfigureKeepsStatisticsByName(t *testing.T) {
	h := newHarnessWithHistory(t)
	meanMs := h.b.classes.all[idempotentClass].meanMs
	h.mustReconfigure(withOtherNames(h.b.settings))
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
