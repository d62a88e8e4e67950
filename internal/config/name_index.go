package config

import (
	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fielderror"
	"ploverreel/policy"
)

// NameIndex maps names that discovery and clients use to the numbers that the decision module uses.
// The number of a name is its index in its list in the settings. A NameIndex is immutable.
type NameIndex struct {
	zones, machineKinds, classes, tenants map[string]int
}

// Class returns the number of a class, and whether the settings have a class of that name.
func (n *NameIndex) Class(name string) (class int, known bool) {
	class, known = n.classes[name]
	return class, known
}

// Tenant returns the number of a tenant, and whether the settings have a tenant of that name.
func (n *NameIndex) Tenant(name string) (tenant int, known bool) {
	tenant, known = n.tenants[name]
	return tenant, known
}

// HasTenants reports whether the settings have any tenant.
func (n *NameIndex) HasTenants() bool { return len(n.tenants) > 0 }

// Entry converts a host of an endpoint list to an entry for the decision module. Its StartedMs is
// born_ms unchanged, a time of the host's wall clock. A zone or machine kind that the settings don't
// have becomes -1. No agent has that number, so the backend is in no agent's own zone.
func (n *NameIndex) Entry(host *endpointlist.Host) policy.Entry {
	return policy.Entry{
		Server:      endpointlist.AddressOf(host.Host),
		Zone:        indexOr(n.zones, host.Site, -1),
		Cell:        host.Block,
		MachineKind: indexOr(n.machineKinds, host.Class, -1),
		StartedMs:   host.BornMs,
		Health:      endpointlist.HealthOf(host),
		Weight:      host.Share,
	}
}

// CheckReload returns a *fielderror.Error if a zone or machine kind is missing from next or has
// another number there. The entries of the listed backends hold these numbers, so they can't change
// while the agent runs.
func (n *NameIndex) CheckReload(next *NameIndex) error {
	for _, list := range []struct {
		key           string
		current, next map[string]int
	}{{"failureDomains", n.zones, next.zones}, {"shapes", n.machineKinds, next.machineKinds}} {
		for name, index := range list.current {
			if at, ok := list.next[name]; !ok || at != index {
				return fielderror.Errorf("settings: "+list.key, "the place of %q can't change without a restart", name)
			}
		}
	}
	return nil
}

// indexNames maps each name to its index, or to its last index if it occurs more than once.
func indexNames(names []string) map[string]int {
	byName := make(map[string]int, len(names))
	for i, name := range names {
		byName[name] = i
	}
	return byName
}

// indexOr returns the index of a name, or fallback if it has none.
func indexOr(indexes map[string]int, name string, fallback int) int {
	if i, ok := indexes[name]; ok {
		return i
	}
	return fallback
}
