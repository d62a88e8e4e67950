// This file applies changed settings to a running agent.

package policy

import "fmt"

// Reconfigure applies new settings between two events. If a setting is invalid, or can't change
// without a restart, it changes nothing and returns an error that names the setting.
//
// Open requests keep the class, the deadline and the limit on attempts that they arrived with.
// Endpoints keep their health, their ejections and their slow start. The concurrency limit and the
// retry budget are kept too. Classes and tenants take over the statistics of those of the same name.
func (b *Balancer) Reconfigure(settings Settings) error {
	if err := settings.validate(); err != nil {
		return err
	}
	// The endpoint list watch, the order of the endpoints and the zone weights depend on these.
	for _, fixed := range []struct {
		key      string
		old, new any
	}{
		{"membershipMode", b.settings.Membership, settings.Membership},
		{"index", b.settings.Index, settings.Index},
		{"zone", b.settings.Zone, settings.Zone},
	} {
		if fixed.old != fixed.new {
			return fmt.Errorf("settings: %s: can't change without a restart, is %v and would be %v",
				fixed.key, fixed.old, fixed.new)
		}
	}
	oldDecayMs, oldSlowStartMs := b.requestRate.decayMs(), b.settings.Contract.SlowStartMs
	b.remapTenants(settings.Tenants)
	b.settings = settings
	b.queue.remapUnserved(b.classes.reload())
	for _, endpoint := range b.endpoints.all {
		b.slowStart.markWarming(endpoint) // with a longer SlowStartMs it may be warming up again
	}
	// The time constants of these decaying counts may have changed. Rescaling keeps the measured rates.
	b.requestRate.rescale(oldDecayMs)
	b.slowStart.rescale(oldSlowStartMs)
	return nil
}

// remapTenants moves the tenants' shares and the open requests to the tenants of the same name in the
// new settings. The index of a tenant that no longer exists becomes -1.
func (b *Balancer) remapTenants(tenants []Tenant) {
	byName := map[string]int{}
	for i, tenant := range tenants {
		byName[tenant.Name] = i
	}
	index := func(old int) int {
		if old >= 0 && old < len(b.settings.Tenants) {
			if i, ok := byName[b.settings.Tenants[old].Name]; ok {
				return i
			}
		}
		return -1
	}
	b.quotas.remap(tenants, index)
	for _, request := range b.queue.open {
		request.tenant = index(request.tenant)
	}
}
