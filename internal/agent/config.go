// Package agent is the agent on sockets around the decision module (package policy): it turns what
// happens on sockets into the module's events and carries out the module's actions. It decides
// nothing about where, when or whether a request is sent.
package agent

import (
	"time"

	"ploverreel/internal/fielderror"
	"ploverreel/policy"
)

// Limits is what the machine allows the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // open descriptors, connections and all else
}

// Config is the configuration of an agent. It is not changed once it is parsed; Agent.Reload puts
// another one in force.
type Config struct {
	Name      string
	Listen    string // address with a port for the clients
	Discovery string // address with a port of the service that lists the backends
	Seed      uint64 // of the module's random draws
	Limits    Limits
	Settings  policy.Settings
	Names     nameIndex
	Known     List // the list at the start; may be empty

	clock machineClock // nil: that of this machine
}

// nameIndex maps the names of discovery and of clients to the module's numbers: the place of each in
// the settings.
type nameIndex struct {
	sites, kinds, classes, tenants map[string]int
}

// maxDeadline is the longest deadline that a request may bring.
func (c *Config) maxDeadline() time.Duration {
	longest := leastTimeout
	for i := range c.Settings.Classes {
		longest = max(longest, millis(c.Settings.Classes[i].DeadlineMs))
	}
	return longest
}

// module is the settings as the module gets them on sockets. No more requests may be open than the
// connection table has room for, and a list that is pushed reaches only agents that watch: without
// the replacement an agent would learn of drains from the fetches that its own failures cause.
func (c *Config) module() policy.Settings {
	settings := c.Settings
	most := openRequests(c.Limits.Sockets)
	if settings.Limits.MaxOpenRequests <= 0 || settings.Limits.MaxOpenRequests > most {
		settings.Limits.MaxOpenRequests = most
	}
	if settings.Membership == policy.MembershipPushed {
		settings.Membership = policy.MembershipWatched
	}
	return settings
}

// keeps reports, as a fielderror.Error, the first name that doesn't have the same place in other: the zones
// and machine kinds of the listed servers are known by their places.
func (n *nameIndex) keeps(other *nameIndex) error {
	for _, list := range []struct {
		key      string
		old, new map[string]int
	}{{"failureDomains", n.sites, other.sites}, {"shapes", n.kinds, other.kinds}} {
		for name, place := range list.old {
			if at, ok := list.new[name]; !ok || at != place {
				return fielderror.Errorf("settings: "+list.key, "the place of %q can't change without a restart", name)
			}
		}
	}
	return nil
}
