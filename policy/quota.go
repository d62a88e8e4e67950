// This file holds the tenants' shares.

package policy

// quotaTracker holds the tenants' shares of this agent's requests.
type quotaTracker struct {
	usage []float64 // by tenant, of about the last 500 requests
}

// overShare tells whether a tenant sends more than its portion of what comes.
func (b *Balancer) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(b.quotas.usage) {
		return false
	}
	return b.quotas.usage[tenant] > 1.1*b.set.Tenants[tenant].QuotaShare
}

// count keeps the tenants' shares of this agent's requests.
func (b *Balancer) countTenant(tenant int) {
	if tenant < 0 || tenant >= len(b.quotas.usage) {
		return
	}
	for i := range b.quotas.usage {
		b.quotas.usage[i] *= shareDecay
	}
	b.quotas.usage[tenant] += 1 - shareDecay
}
