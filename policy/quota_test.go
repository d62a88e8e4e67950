package policy

import "testing"

// A tenant is over its quota when its share of the requests is above quotaTolerance times the quota.
func TestQuotaTrackerComparesSharesWithQuotas(t *testing.T) {
	cases := []struct {
		name     string
		quota    float64
		requests int // of ten, from tenant 0
		over     bool
	}{
		{"all of it within a quota of all", 1, 10, false},
		{"half of it within a quota of half", 0.5, 5, false},
		{"within the tolerance", 0.47, 5, false},
		{"beyond the tolerance", 0.4, 5, true},
		{"all of it beyond a quota of half", 0.5, 10, true},
		{"nothing beyond a quota of nothing", 0, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			env := &environment{settings: Settings{Tenants: []Tenant{{QuotaShare: test.quota}, {QuotaShare: 1}}}}
			quotas := newQuotaTracker(env)
			for i := range 10000 {
				tenant := 1
				if i%10 < test.requests {
					tenant = 0
				}
				quotas.count(tenant)
			}
			if got := quotas.over(0); got != test.over {
				t.Errorf("share of %.3f: got over its quota %v, want %v", quotas.shares[0], got, test.over)
			}
		})
	}
}

// Requests of a tenant that is not in the settings change nothing, and it is never over a quota.
func TestQuotaTrackerIgnoresUnknownTenants(t *testing.T) {
	quotas := newQuotaTracker(&environment{settings: Settings{Tenants: []Tenant{{QuotaShare: 0.5}}}})
	quotas.count(0)
	before := quotas.shares[0]
	for _, tenant := range []int{-1, 1, 1 << 30} {
		quotas.count(tenant)
		if quotas.over(tenant) {
			t.Errorf("tenant %d: got it over a quota, want it never over", tenant)
		}
	}
	if quotas.shares[0] != before {
		t.Errorf("got a share of %v, want %v as before", quotas.shares[0], before)
	}
}

// A reload moves each tenant's share to the tenant's new index.
func TestQuotaTrackerRemapsShares(t *testing.T) {
	quotas := quotaTracker{environment: &environment{}, shares: []float64{0.1, 0.2, 0.7}}
	quotas.remap(make([]Tenant, 2), func(old int) int { return []int{1, -1, 0}[old] })
	if len(quotas.shares) != 2 || quotas.shares[0] != 0.7 || quotas.shares[1] != 0.1 {
		t.Errorf("got shares %v, want 0.7 and 0.1", quotas.shares)
	}
}
