package policy

import "fmt"

// Reconfigure puts other settings in force between two events, or leaves all as it is and
// returns an error that names the setting that makes no sense or can't change without a
// restart. What is open goes on under the terms it was taken with: its class, its deadline
// and its attempts. What was learnt of servers stays, with their states, ejections and slow
// start, and so do the limit on attempts and the retry budget; what was learnt of classes and
// tenants stays with their names.
func (b *Balancer) Reconfigure(set Settings) error {
	if err := set.validate(); err != nil {
		return err
	}
	// The watch, the order of the servers and what is near rest on these.
	for _, f := range []struct {
		key      string
		old, new any
	}{
		{"membershipMode", b.set.Membership, set.Membership},
		{"index", b.set.Index, set.Index},
		{"zone", b.set.Zone, set.Zone},
	} {
		if f.old != f.new {
			return fmt.Errorf("settings: %s: can't change without a restart, is %v and would be %v",
				f.key, f.old, f.new)
		}
	}
	span, coldMs := b.rateSpan(), b.set.Contract.SlowStartMs
	b.renameTenants(set.Tenants)
	b.set = set
	b.renameClasses()
	for _, s := range b.servers { // another cold time may have begun anew for them
		b.coolDown(s)
	}
	// Counts that fade over a time stand for as much as before.
	b.recent *= b.rateSpan() / span
	if coldMs > 0 {
		b.flow *= b.set.Contract.SlowStartMs / coldMs
	}
	return nil
}

// renameClasses makes the settings' classes those that come in from now on. Of a class by the
// same name all stays known; open requests keep the one that they hold.
func (b *Balancer) renameClasses() {
	byName := map[string]*class{}
	for _, c := range b.classes {
		byName[c.Name] = c
	}
	worst := b.worst
	b.takeClasses()
	renamed := map[*class]*class{}
	for _, c := range b.classes {
		old := byName[c.Name]
		if old == nil {
			continue
		}
		c.expect, c.expectAt, c.answers = old.expect, old.expectAt, old.answers
		c.asked, c.inTime, c.counts = old.asked, old.inTime, old.counts
		renamed[old] = c
		if old == worst {
			b.worst = c
		}
	}
	kept := b.unserved[:0]
	for _, p := range b.unserved {
		if p.class = renamed[p.class]; p.class != nil {
			kept = append(kept, p)
		}
	}
	b.unserved = kept
}

// renameTenants moves the tenants' shares, and the open requests, to the places that the
// names have in the new settings; who is named there no more is nobody's.
func (b *Balancer) renameTenants(tenants []Tenant) {
	at := map[string]int{}
	usage := make([]float64, len(tenants))
	for i, t := range tenants {
		at[t.Name] = i
	}
	place := func(old int) int {
		if old >= 0 && old < len(b.set.Tenants) {
			if i, ok := at[b.set.Tenants[old].Name]; ok {
				return i
			}
		}
		return -1
	}
	for old, share := range b.usage {
		if i := place(old); i >= 0 {
			usage[i] = share
		}
	}
	for _, r := range b.requests {
		r.tenant = place(r.tenant)
	}
	b.usage = usage
}
