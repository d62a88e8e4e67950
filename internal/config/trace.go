package config

import (
	"time"

	"ploverreel/internal/fielderror"
)

// minTracePeriod is the shortest valid time between two lines of the trace. The agent's event loop
// writes them, so a shorter period would slow it down.
const minTracePeriod = 10 * time.Millisecond

// ParseTrace parses the value of EDGE_TRACE, the time between two lines of the trace, such as "1s".
// It returns 0 for "", which means no trace. Its error is a *fielderror.Error of EDGE_TRACE.
func ParseTrace(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	period, err := time.ParseDuration(text)
	switch {
	case err != nil:
		return 0, fielderror.Errorf("EDGE_TRACE", "no duration: %q", text)
	case period < minTracePeriod:
		return 0, fielderror.Errorf("EDGE_TRACE", "must be at least %v, is %v", minTracePeriod, period)
	}
	return period, nil
}
