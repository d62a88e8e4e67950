// This file holds how settings change while an agent runs.

package policy

import "fmt"

// Reconfigure puts other settings in force between two events, or changes nothing and
// returns an error that names the setting that makes no sense or can't change without a
// restart. What is open goes on under the terms it was taken with: its class, its deadline
// and its attempts. What was learnt of endpoints stays, with their states, ejections and slow
// start, and so do the limit on attempts and the retry budget; what was learnt of classes and
// tenants stays with their names.
func (b *Balancer) Reconfigure(set Settings) error {
	if err := set.validate(); err != nil {
		return err
	}
	// The watch, the order of the endpoints and the zone weights depend on these.
	for _, fixed := range []struct {
		key      string
		old, new any
	}{
		{"membershipMode", b.set.Membership, set.Membership},
		{"index", b.set.Index, set.Index},
		{"zone", b.set.Zone, set.Zone},
	} {
		if fixed.old != fixed.new {
			return fmt.Errorf("settings: %s: can't change without a restart, is %v and would be %v",
				fixed.key, fixed.old, fixed.new)
		}
	}
	oldSpanMs, oldSlowStartMs := b.traffic.decayMs(), b.set.Contract.SlowStartMs
	b.moveTenants(set.Tenants)
	b.set = set
	b.queue.keepUnserved(b.classes.reload())
	for _, endpoint := range b.endpoints.all { // another slow start time may have begun anew for them
		b.slowStart.markWarming(endpoint)
	}
	// Counts that fade over a time stand for as much as before.
	b.traffic.rescale(oldSpanMs)
	b.slowStart.rescale(oldSlowStartMs)
	return nil
}

// moveTenants moves the tenants' shares, and the open requests, to the indexes that the names
// have in the new settings; -1 stands for who is named there no more.
func (b *Balancer) moveTenants(tenants []Tenant) {
	byName := map[string]int{}
	for i, tenant := range tenants {
		byName[tenant.Name] = i
	}
	index := func(old int) int {
		if old >= 0 && old < len(b.set.Tenants) {
			if i, ok := byName[b.set.Tenants[old].Name]; ok {
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
