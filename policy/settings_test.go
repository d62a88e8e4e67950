package policy

import (
	"math"
	"strings"
	"testing"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for key, invalidate := range map[string]func(*Settings){
		"classes":             func(s *Settings) { s.Classes = nil },
		"classes[0].aimMs":    func(s *Settings) { s.Classes[0].LatencyObjectiveMs = math.NaN() },
		"classes[1].giveUpMs": func(s *Settings) { s.Classes[1].DeadlineMs = -1 },
		"classes[0].effect":   func(s *Settings) { s.Classes[0].Effect = "maybe" },
		"classes[2].group":    func(s *Settings) { s.Classes[2].Group = "moon" },
		"contract.coldMs":     func(s *Settings) { s.Contract.SlowStartMs = -5 },
		"prices.handshake":    func(s *Settings) { s.Prices.Handshake = math.NaN() },
		"limits.keepaliveMs":  func(s *Settings) { s.Limits.KeepaliveMs = math.Inf(1) },
		"membershipMode":      func(s *Settings) { s.Membership = "" },
		// Larger values overflow when they are converted to a duration, which is then negative.
		"classes[0].giveUpMs":     func(s *Settings) { s.Classes[0].DeadlineMs = 1e300 },
		"limits.connectTimeoutMs": func(s *Settings) { s.Limits.ConnectTimeoutMs = 1e18 },
		"classes[0].lateShare":    func(s *Settings) { s.Classes[0].LateShare = -1 },
		"classes[1].aimStretch":   func(s *Settings) { s.Classes[1].ObjectiveStretch = math.NaN() },
		"tenants[0].quotaPerS":    func(s *Settings) { s.Tenants = []Tenant{{QuotaPerS: -1}} },
		"tenants[1].portion":      func(s *Settings) { s.Tenants = []Tenant{{}, {QuotaShare: -0.5}} },
		"limits.maxAttempts":      func(s *Settings) { s.Limits.MaxAttempts = 0 }, // no request would ever be sent
	} {
		t.Run(key, func(t *testing.T) {
			set := testSettings()
			invalidate(&set)
			if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("got error %v, want one that names %s", err, key)
			}
		})
	}
}
