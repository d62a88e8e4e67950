// Package fleet is what the bench's parts share: the size of a fleet, the form of a result and of the
// page made of results, lines fitted through figures, and checks against the machine. The parts are the
// packages below it.
package fleet

import "fmt"

// Size is the size of a fleet; every subcommand of the bench takes it. Its tags are those of
// the command line.
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

// MaxProcesses is how many processes a run may start at most.
const MaxProcesses = 300

// Bounds of a size, far above the fleet that is planned for.
const (
	maxCount = 100_000
	maxRate  = 1e8
	maxDepth = 100
)

// TargetSize returns the size of the fleet that the system has to carry in two years.
func TargetSize() Size {
	return Size{Agents: 2000, Servers: 2000, Services: 160, Regions: 3, Zones: 9, Rate: 220000, Depth: 10, Seed: 1}
}

// UsageError is an invalid argument of the command line. The bench ends with one line that names it, and
// exit code 2.
type UsageError struct {
	Arg    string // without the dashes
	Reason string
}

// Error returns the argument and what is wrong with it.
func (e *UsageError) Error() string { return fmt.Sprintf("--%s: %s", e.Arg, e.Reason) }

// NewUsageError returns a *UsageError; format and args say what is wrong with arg.
func NewUsageError(arg, format string, args ...any) error {
	return &UsageError{Arg: arg, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns a *UsageError for the first figure that is out of range, else nil.
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
