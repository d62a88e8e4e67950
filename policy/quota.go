// This file holds the comparison of the tenants' shares of the requests with their quotas.

package policy

// quotaTolerance multiplies a tenant's quota: above the product the tenant is over its quota.
const quotaTolerance = 1.1

// quotaTracker tracks the tenants' shares of this agent's requests.
type quotaTracker struct {
	*environment
	shares []float64 // moving averages by tenant, over about the last 500 requests, see shareDecay
}

// newQuotaTracker returns a tracker of the tenants in the settings, without any request.
func newQuotaTracker(env *environment) quotaTracker {
	return quotaTracker{environment: env, shares: make([]float64, len(env.settings.Tenants))}
}

// over reports whether a tenant's share of the requests is above its quota by more than the
// tolerance. A tenant that is not in the settings has no quota and is never over.
func (q *quotaTracker) over(tenant int) bool {
	if tenant < 0 || tenant >= len(q.shares) {
		return false
	}
	return q.shares[tenant] > quotaTolerance*q.settings.Tenants[tenant].QuotaShare
}

// count counts a request of a tenant. Requests of tenants that are not in the settings are ignored.
func (q *quotaTracker) count(tenant int) {
	if tenant < 0 || tenant >= len(q.shares) {
		return
	}
	for i := range q.shares {
		q.shares[i] *= shareDecay
	}
	q.shares[tenant] += 1 - shareDecay
}

// totalQuotaPerMs returns the sum of the tenants' quotas, in requests per ms; 0 if none has one.
func totalQuotaPerMs(tenants []Tenant) float64 {
	rate := 0.0
	for _, tenant := range tenants {
		rate += tenant.QuotaPerS / 1000
	}
	return rate
}

// remap reorders the shares for a new list of tenants. index returns the new index of an old tenant,
// or -1 for one that is no longer in the settings.
func (q *quotaTracker) remap(tenants []Tenant, index func(old int) int) {
	shares := make([]float64, len(tenants))
	for old, share := range q.shares {
		if i := index(old); i >= 0 {
			shares[i] = share
		}
	}
	q.shares = shares
}
