package policy

import (
	"strings"
	"testing"
)

// Other settings take all or nothing: what makes no sense, or can't change without a
// restart, is named, and the settings at hand stay.
func TestReconfigureTakesAllOrNothing(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	for key, spoil := range map[string]func(*Settings){
		"membershipMode":     func(s *Settings) { s.Membership = MembershipWatched },
		"index":              func(s *Settings) { s.Index = 2 },
		"zone":               func(s *Settings) { s.Zone = 1 },
		"classes[1].aimMs":   func(s *Settings) { s.Classes[1].LatencyObjectiveMs = 0 },
		"limits.maxAttempts": func(s *Settings) { s.Limits.MaxAttempts = 0 },
	} {
		set := testSettings()
		set.Classes[0].LatencyObjectiveMs, set.Limits.MaxRetryAfterMs = 77, 88
		spoil(&set)
		if err := r.b.Reconfigure(set); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
		if r.b.set.Limits.MaxRetryAfterMs == 88 || r.b.classes.all[0].LatencyObjectiveMs == 77 {
			t.Fatalf("%s: a part is in force", key)
		}
	}
}

// What is open when other settings come goes on under its own terms: a request that could be
// repeated still is, though its class may not any more, and one that could not is not, though
// its class now may. What comes after goes by the new ones, under the classes' new numbers.
func TestOpenRequestsKeepTheirTerms(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	free, server := r.sent(0, 1)
	once, o := r.sent(1, 2)
	set := testSettings()
	set.Limits.MaxAttempts = 1
	set.Classes[0], set.Classes[1] = set.Classes[1], set.Classes[0]
	set.Classes[0].Effect, set.Classes[1].Effect = EffectIdempotent, EffectNonIdempotent // by name: "once" is now free
	if err := r.b.Reconfigure(set); err != nil {
		t.Fatal(err)
	}
	if action := find(r.outcome(free, 0, server, StatusReset, 5), ActionSendAttempt); action == nil || action.Request != free {
		t.Errorf("what could be repeated is not: %+v", action)
	}
	if actions := r.outcome(once, 0, o, StatusReset, 5); find(actions, ActionSendAttempt) != nil || find(actions, ActionFailRequest) == nil {
		t.Errorf("what could not be repeated: %+v", actions)
	}
	next, server := r.sent(0, 3) // class "once" of the new settings: free, and one attempt
	if actions := r.outcome(next, 0, server, StatusReset, 5); find(actions, ActionSendAttempt) != nil || find(actions, ActionRejectRequest) == nil {
		t.Errorf("a new request: %+v", actions)
	}
}

// States, ejections, slow start, the limit and the retry budget stay, and what was learnt of
// classes and tenants stays with their names.
func TestReconfigureKeepsWhatWasLearnt(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{Name: "a", QuotaShare: 0.5}, {Name: "b", QuotaShare: 0.5}}
	r := newRig(t, set, 4)
	r.list(ListDelta, Entry{Server: addr(3), Health: HealthReady, Weight: 1, StartedMs: r.now}) // cold
	for range 30 {
		id, server := r.sent(0, r.b.rng.Uint64())
		r.now += 10
		r.outcome(id, 0, server, StatusOK, 10)
	}
	id, server := r.sent(2, 7)
	r.outcome(id, 0, server, StatusServerError, 10)
	r.b.quotas.usage[0], r.b.quotas.usage[1] = 0.9, 0.1
	before := map[Addr]endpoint{}
	for _, target := range r.b.endpoints.all {
		before[target.id] = *target
	}
	limit, budget, rate, expect := r.b.limiter.scale, r.b.retries.tokens, r.b.traffic.perMs(), r.b.classes.all[0].meanMs
	set.Tenants = []Tenant{{Name: "c", QuotaShare: 0.2}, {Name: "b", QuotaShare: 0.2}, {Name: "a", QuotaShare: 0.6}}
	set.Classes = []Class{set.Classes[2], set.Classes[0]}
	set.Limits.KeepaliveMs *= 2
	if err := r.b.Reconfigure(set); err != nil {
		t.Fatal(err)
	}
	for _, target := range r.b.endpoints.all {
		b := before[target.id]
		if target.health.state != b.health.state || target.health.consecutiveEjections != b.health.consecutiveEjections || target.slowStart.allowance != b.slowStart.allowance || target.slowStart.startedAt != b.slowStart.startedAt ||
			target.window.size != b.window.size || target.latency.mean != b.latency.mean {
			t.Errorf("of server %v something was forgotten", target.id)
		}
	}
	if r.b.limiter.scale != limit || r.b.retries.tokens != budget || !near(r.b.traffic.perMs(), rate) {
		t.Errorf("limit %v, budget %v, rate %v; before %v, %v, %v", r.b.limiter.scale, r.b.retries.tokens, r.b.traffic.perMs(), limit, budget, rate)
	}
	if r.b.classes.all[1].meanMs != expect || r.b.quotas.usage[2] != 0.9 || r.b.quotas.usage[1] != 0.1 || r.b.quotas.usage[0] != 0 {
		t.Errorf("class %+v, tenants %v", r.b.classes.all[1], r.b.quotas.usage)
	}
	if !r.b.quotas.over(2) || r.b.quotas.over(1) {
		t.Error("the tenants' portions are not those of the new settings")
	}
}
