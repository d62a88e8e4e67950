package config_test

import (
	"strings"
	"testing"
	"time"

	"ploverreel/internal/config"
)

func TestParseTraceReadsIntervalOrNone(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "250ms": 250 * time.Millisecond, "2s": 2 * time.Second} {
		if got, err := config.ParseTrace(text); err != nil || got != want {
			t.Errorf("%q: got %v and error %v, want %v and none", text, got, err, want)
		}
	}
	for _, text := range []string{"often", "1ms", "-1s", "250"} {
		if _, err := config.ParseTrace(text); err == nil || !strings.HasPrefix(err.Error(), "EDGE_TRACE: ") {
			t.Errorf("%q: got error %v, want one of EDGE_TRACE", text, err)
		}
	}
}
