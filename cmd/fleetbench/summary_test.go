package main

import (
	"errors"
	"strings"
	"testing"

	"ploverreel/internal/fleet"
)

// Each case has a row, also if it lacks a figure. Figures are scaled and rounded.
func TestSummaryHasRowForEachCase(t *testing.T) {
	full, empty := fleet.Case{Name: "hops 1"}, fleet.Case{Name: "hops 3"}
	full.Add("served_share", "share", 0.998)
	full.Add("rss", "bytes", 3<<20)
	var out strings.Builder
	columns := []summaryColumn{{"served %", "served_share", 100, "%.1f"}, {"RSS MB", "rss", 1.0 / (1 << 20), "%.1f"}}
	if err := writeSummary(&out, []fleet.Case{full, empty}, columns); err != nil {
		t.Fatal(err)
	}
	want := "    case  served %  RSS MB\n  hops 1      99.8     3.0\n  hops 3         -       -\n"
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

// writeSummary returns the writer's error.
func TestSummaryReportsFailedWrite(t *testing.T) {
	cause := errors.New("broken pipe")
	if err := writeSummary(failingWriter{cause}, nil, pathSummaryColumns); !errors.Is(err, cause) {
		t.Errorf("got error %v, want %v", err, cause)
	}
}

// failingWriter returns an error for each write.
type failingWriter struct{ err error }

func (w failingWriter) Write([]byte) (int, error) { return 0, w.err }
