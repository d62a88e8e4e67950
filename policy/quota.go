// This file holds the tenants' quotas.

package policy

// quotaTolerance is how far above its quota a tenant's share may be.
const quotaTolerance = 1.1

// quotaTracker holds the tenants' shares of this agent's requests.
type quotaTracker struct {
	*environment
	usage []float64 // by tenant, over about the last 500 requests
}

// newQuotaTracker returns a tracker of the tenants that the settings name, without any request.
func newQuotaTracker(env *environment) quotaTracker {
	return quotaTracker{environment: env, usage: make([]float64, len(env.settings.Tenants))}
}

// over reports whether a tenant sends more than its quota of what comes. A tenant that the settings
// don't name has no quota.
func (q *quotaTracker) over(tenant int) bool {
	if tenant < 0 || tenant >= len(q.usage) {
		return false
	}
	return q.usage[tenant] > quotaTolerance*q.settings.Tenants[tenant].QuotaShare
}

// count notes a request of a tenant.
func (q *quotaTracker) count(tenant int) {
	if tenant < 0 || tenant >= len(q.usage) {
		return
	}
	for i := range q.usage {
		q.usage[i] *= shareDecay
	}
	q.usage[tenant] += 1 - shareDecay
}

// foreseenPerMs returns the rate that the settings foresee for all tenants, in requests a ms; 0 if they
// foresee none.
func foreseenPerMs(tenants []Tenant) float64 {
	rate := 0.0
	for _, tenant := range tenants {
		rate += tenant.QuotaPerS / 1000
	}
	return rate
}

// move rearranges the shares for new tenants; index returns the new index of an old one, -1 for
// one that is named no more.
func (q *quotaTracker) move(tenants []Tenant, index func(old int) int) {
	usage := make([]float64, len(tenants))
	for old, share := range q.usage {
		if i := index(old); i >= 0 {
			usage[i] = share
		}
	}
	q.usage = usage
}
