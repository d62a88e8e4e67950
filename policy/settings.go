package policy

import (
	"fmt"
	"slices"
)

// The words that settings may hold.
var (
	effects     = []Effect{EffectIdempotent, EffectIdempotentWithKey, EffectNonIdempotent}
	groups      = []Group{GroupAll, GroupZone, GroupCell}
	memberships = []string{MembershipPushed, MembershipOnRequest, MembershipWatched}
)

// longestMs bounds times and other figures: what is longer than years overflows where it
// becomes a duration.
const longestMs = 1e11

// validate reports the first setting that makes no sense, by its key.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: none given")
	}
	for i, c := range s.Classes {
		at := func(key string) string { return fmt.Sprintf("settings: classes[%d].%s", i, key) }
		switch {
		case !(c.LatencyObjectiveMs > 0) || c.LatencyObjectiveMs > longestMs:
			return fmt.Errorf("%s: must be above 0 and at most %v, is %v",
				at("aimMs"), longestMs, c.LatencyObjectiveMs)
		case !(c.DeadlineMs > 0) || c.DeadlineMs > longestMs:
			return fmt.Errorf("%s: must be above 0 and at most %v, is %v", at("giveUpMs"),
				longestMs, c.DeadlineMs)
		case !(c.ObjectiveStretch >= 0):
			return fmt.Errorf("%s: must be 0 or above, is %v", at("aimStretch"), c.ObjectiveStretch)
		case !(c.LateWeight >= 0):
			return fmt.Errorf("%s: must be 0 or above, is %v", at("lateShare"), c.LateWeight)
		case !(c.PriorityWeight >= 0):
			return fmt.Errorf("%s: must be 0 or above, is %v", at("credit"), c.PriorityWeight)
		case !slices.Contains(effects, c.Effect):
			return fmt.Errorf("%s: unknown effect %q", at("effect"), c.Effect)
		case c.Effect == EffectIdempotentWithKey && !slices.Contains(groups, c.Group):
			return fmt.Errorf("%s: unknown group %q", at("group"), c.Group)
		case c.Effect == EffectIdempotentWithKey && !(c.IdempotencyWindowMs >= 0):
			return fmt.Errorf("%s: must be 0 or above, is %v", at("keyTtlMs"), c.IdempotencyWindowMs)
		}
	}
	for i, t := range s.Tenants {
		switch {
		case !(t.QuotaShare >= 0):
			return fmt.Errorf("settings: tenants[%d].portion: must be 0 or above, is %v", i, t.QuotaShare)
		case !(t.QuotaPerS >= 0):
			return fmt.Errorf("settings: tenants[%d].quotaPerS: must be 0 or above, is %v", i, t.QuotaPerS)
		}
	}
	if s.Limits.MaxAttempts < 1 {
		return fmt.Errorf("settings: limits.maxAttempts: must be 1 or above, is %d", s.Limits.MaxAttempts)
	}
	if !slices.Contains(memberships, s.Membership) {
		return fmt.Errorf("settings: membershipMode: unknown mode %q", s.Membership)
	}
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"contract.answerSlackMs", s.Contract.AnswerSlackMs},
		{"contract.askWithinMs", s.Contract.PollWithinMs},
		{"contract.coldFrom", s.Contract.SlowStartFrom},
		{"contract.coldMs", s.Contract.SlowStartMs},
		{"contract.drainGraceMs", s.Contract.DrainGraceMs},
		{"contract.fallMultiple", s.Contract.OverloadMultiple},
		{"contract.tipAfterMs", s.Contract.OverloadWindowMs},
		{"limits.keepaliveMs", s.Limits.KeepaliveMs},
		{"limits.connectTimeoutMs", s.Limits.ConnectTimeoutMs},
		{"limits.maxRetryAfterMs", s.Limits.MaxRetryAfterMs},
		{"prices.connection", s.Prices.Connection},
		{"prices.crossZone", s.Prices.CrossZone},
		{"prices.handshake", s.Prices.Handshake},
		{"replicasOfMe", float64(s.Replicas)},
		{"roundMs", s.RoundMs},
	} {
		if !(f.value >= 0) || f.value > longestMs {
			return fmt.Errorf("settings: %s: must be 0 or above and at most %v, is %v",
				f.key, longestMs, f.value)
		}
	}
	return nil
}
