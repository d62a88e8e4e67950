package config

import (
	"time"

	"ploverreel/internal/fielderror"
)

// minTraceInterval is the shortest valid time between two lines of the trace. The agent's event loop
// writes them, so a shorter interval would slow it down.
const minTraceInterval = 10 * time.Millisecond

// ParseTrace parses the value of EDGE_TRACE, the time between two lines of the trace, such as "1s".
// It returns 0 for "", which means no trace. Its error is a *fielderror.Error of EDGE_TRACE.
func ParseTrace(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	interval, err := time.ParseDuration(text)
	switch {
	case err != nil:
		return 0, fielderror.Errorf("EDGE_TRACE", "no duration: %q", text)
	case interval < minTraceInterval:
		return 0, fielderror.Errorf("EDGE_TRACE", "must be at least %v, is %v", minTraceInterval, interval)
	}
	return interval, nil
}
