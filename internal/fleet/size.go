// Package fleet holds the code that all subcommands of fleetbench share: the size of a fleet, the
// format of results, the page that is generated from results, fitted lines, and checks of the
// machine's resources. The packages below it implement the subcommands.
package fleet

import "fmt"

// Size is the size of a fleet. Subcommands embed it, so its tags define command-line flags.
type Size struct {
	Agents   int     `json:"agents" help:"Agents, one beside each server's application." default:"2000"`
	Servers  int     `json:"servers" help:"Bid servers, all services together." default:"2000"`
	Services int     `json:"services" help:"Services that the servers are divided among, unevenly." default:"160"`
	Regions  int     `json:"regions" help:"Regions." default:"3"`
	Zones    int     `json:"zones" help:"Zones, all regions together." default:"9"`
	Rate     float64 `json:"rate" help:"Calls a second, the whole fleet." default:"220000"`
	Depth    int     `json:"depth" help:"Hops of the deepest call." default:"10"`
	Seed     uint64  `json:"seed" help:"Seed of all random draws." default:"1"`
}

// MaxProcesses is the maximum number of processes that a run may start.
const MaxProcesses = 300

// Upper bounds of a size. They are far above the fleet that is planned for.
const (
	maxCount = 100_000 // agents and servers
	maxRate  = 1e8     // calls a second
	maxDepth = 100     // hops
)

// TargetSize returns the size of the fleet that the system has to support in two years. The
// defaults of the flags in Size are the same.
func TargetSize() Size {
	return Size{Agents: 2000, Servers: 2000, Services: 160, Regions: 3, Zones: 9, Rate: 220000, Depth: 10, Seed: 1}
}

// UsageError is an invalid command-line argument. For it fleetbench prints one line that names the
// argument and exits with code 2.
type UsageError struct {
	Arg    string // without the dashes
	Reason string
}

// Error returns the flag and the reason why its value is invalid.
func (e *UsageError) Error() string { return fmt.Sprintf("--%s: %s", e.Arg, e.Reason) }

// NewUsageError returns a *UsageError for arg, with the reason formatted from format and args.
func NewUsageError(arg, format string, args ...any) error {
	return &UsageError{Arg: arg, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns a *UsageError for the first field that is out of range, or nil if there is none.
func (s Size) Validate() error {
	for _, f := range []struct {
		arg   string
		value int
		most  int
	}{
		{"agents", s.Agents, maxCount}, {"servers", s.Servers, maxCount}, {"services", s.Services, s.Servers},
		{"zones", s.Zones, s.Servers}, {"regions", s.Regions, s.Zones}, {"depth", s.Depth, maxDepth},
	} {
		if f.value < 1 || f.value > f.most {
			return NewUsageError(f.arg, "must be from 1 to %d, is %d", f.most, f.value)
		}
	}
	if !(s.Rate > 0) || s.Rate > maxRate {
		return NewUsageError("rate", "must be above 0 and at most %g, is %v", maxRate, s.Rate)
	}
	return nil
}
