package endpointlist_test

import (
	"runtime"
	"strings"
	"testing"

	"ploverreel/internal/endpointlist"
)

// Regression test: a list of millions of invalid hosts was decoded whole before the first one was
// found to be invalid, and took many times as much memory as its text. Decoding it must allocate
// less than a list of its size that is valid may take.
func TestParseStopsAtTheFirstInvalidHost(t *testing.T) {
	text := []byte(`{"seq":1,"whole":true,"hosts":[` + strings.Repeat("{},", 1<<20) + `{}]}`)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := endpointlist.Parse(text)
	runtime.ReadMemStats(&after)
	if err == nil || !strings.Contains(err.Error(), "hosts[0].host") {
		t.Errorf("got error %v, want one of the field hosts[0].host", err)
	}
	if allocated, limit := after.TotalAlloc-before.TotalAlloc, uint64(4*len(text)); allocated > limit {
		t.Errorf("got %d bytes allocated, want at most %d, four times the text", allocated, limit)
	}
}
