package config

import (
	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fielderror"
	"ploverreel/policy"
)

// NameIndex maps the names that discovery and clients use to the decision module's numbers: the
// index of each in the lists of the settings. It is read-only.
type NameIndex struct {
	zones, machineKinds, classes, tenants map[string]int
}

// Class returns the number of a class, and whether the settings name it.
func (n *NameIndex) Class(name string) (class int, known bool) {
	class, known = n.classes[name]
	return class, known
}

// Tenant returns the number of a tenant, and whether the settings name it.
func (n *NameIndex) Tenant(name string) (tenant int, known bool) {
	tenant, known = n.tenants[name]
	return tenant, known
}

// HasTenants reports whether the settings name any tenant.
func (n *NameIndex) HasTenants() bool { return len(n.tenants) > 0 }

// Entry translates a host of an endpoint list for the decision module. StartedMs is still born_ms,
// by the wall clock of the host. A zone or machine kind that the settings don't name gets a number
// that no settings give, so that it is nobody's own.
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

// CheckReload returns, as a *fielderror.Error, the first zone or machine kind that doesn't have the
// same number in next: those of the listed backends are known by it, so that it can't change while
// the agent runs.
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

// indexNames maps each name to its index; of one that stands twice, the last.
func indexNames(names []string) map[string]int {
	byName := make(map[string]int, len(names))
	for i, name := range names {
		byName[name] = i
	}
	return byName
}

// indexOr returns the index of a name, or otherwise for one that has none.
func indexOr(indexes map[string]int, name string, otherwise int) int {
	if i, ok := indexes[name]; ok {
		return i
	}
	return otherwise
}
