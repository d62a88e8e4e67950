// Package config is the configuration of an agent: its JSON file, its validation, and what follows
// from it for the rest of the agent, such as how many descriptors are for whom and which numbers the
// decision module knows names by.
//
// Load and Parse return a validated Config, which is not changed afterwards and may be read from any
// goroutine. Their errors are one line that names the field and are or wrap a *fielderror.Error,
// unless the text is no JSON.
package config

import (
	"time"

	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// alwaysAcceptedTimeout is up to where any Request-Timeout is accepted, whatever the deadlines of
// the classes are.
const alwaysAcceptedTimeout = time.Minute

// Config is the configuration of an agent. It is not changed once it is parsed; agent.Agent.Reload
// puts another one in force.
type Config struct {
	Name      string
	Listen    string // address with a port for the clients
	Discovery string // address with a port of the service that lists the backends
	Seed      uint64 // of the module's random draws
	Limits    Limits
	Settings  policy.Settings
	Names     NameIndex
	Known     endpointlist.List // the list at the start; may be empty

	Clock MachineClock // nil: that of this machine; tests set another
}

// MaxDeadline returns the longest deadline that a request may bring.
func (c *Config) MaxDeadline() time.Duration {
	longest := alwaysAcceptedTimeout
	for i := range c.Settings.Classes {
		longest = max(longest, Milliseconds(c.Settings.Classes[i].DeadlineMs))
	}
	return longest
}

// ModuleSettings returns the settings as the decision module gets them on sockets. No more requests
// may be open than the table of client connections has slots for. A list that is pushed reaches only
// agents that watch, so that membership becomes a watched one: else an agent would learn of drains
// from the fetches that its own failures cause.
func (c *Config) ModuleSettings() policy.Settings {
	settings := c.Settings
	most := c.Limits.OpenRequests()
	if settings.Limits.MaxOpenRequests <= 0 || settings.Limits.MaxOpenRequests > most {
		settings.Limits.MaxOpenRequests = most
	}
	if settings.Membership == policy.MembershipPushed {
		settings.Membership = policy.MembershipWatched
	}
	return settings
}

// Milliseconds returns a number of ms, as the settings and the decision module have them, as a
// time.Duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
