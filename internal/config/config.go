// Package config reads and validates the configuration of an agent, a JSON file. It also derives
// values from the configuration: the division of the file descriptors between clients and backends,
// and the numbers that stand for names in the decision module.
//
// Load and Parse return a validated Config. It is immutable and may be read from any goroutine.
// Their errors are one line that names the field. They are or wrap a *fielderror.Error, unless the
// text is not JSON.
package config

import (
	"time"

	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// maxDeadlineFloor is the floor of MaxDeadline: any Request-Timeout up to it is accepted, even if
// the deadlines of all classes are shorter.
const maxDeadlineFloor = time.Minute

// Config is the configuration of an agent. It is immutable after Parse; agent.Agent.Reload replaces
// it by another.
type Config struct {
	Name      string
	Listen    string // address that clients connect to, host:port
	Discovery string // address of the discovery service, host:port
	Seed      uint64 // of the decision module's random number generator
	Limits    Limits
	Settings  policy.Settings
	Names     NameIndex
	// InitialList is used until discovery delivers a list. It may be empty.
	InitialList endpointlist.List

	Clock MachineClock // nil: the clock of this machine; replaced by tests
}

// MaxDeadline returns the longest deadline that a request may have: the longest deadline of any
// class, but at least maxDeadlineFloor.
func (c *Config) MaxDeadline() time.Duration {
	longest := maxDeadlineFloor
	for i := range c.Settings.Classes {
		longest = max(longest, Milliseconds(c.Settings.Classes[i].DeadlineMs))
	}
	return longest
}

// ModuleSettings returns the settings for the decision module of an agent on real connections. They
// differ from Settings in two ways:
//   - The limit of open requests is at most Limits.MaxOpenRequests, so that the table of client
//     connections has a slot for each request.
//   - Pushed membership becomes watched membership, because a pushed list reaches only agents that
//     watch. Without a watch, an agent would find out about drains only by the fetches that its
//     own failures cause.
func (c *Config) ModuleSettings() policy.Settings {
	settings := c.Settings
	limit := c.Limits.MaxOpenRequests()
	if settings.Limits.MaxOpenRequests <= 0 || settings.Limits.MaxOpenRequests > limit {
		settings.Limits.MaxOpenRequests = limit
	}
	if settings.Membership == policy.MembershipPushed {
		settings.Membership = policy.MembershipWatched
	}
	return settings
}

// Milliseconds converts a time in ms, the unit of the settings and of the decision module, to a
// time.Duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
