package main

import (
	"errors"
	"log/slog"
	"path/filepath"
	"testing"

	"ploverreel/internal/fleet"
)

// tinyColdstartCmd returns a command that runs for a second or two.
func tinyColdstartCmd(t *testing.T) *coldstartCmd {
	return &coldstartCmd{Agents: []int{1, 40}, Loads: []float64{0.9, 1.5}, Variants: []string{"plain", "all"}, Servers: 6,
		WorkMs: 100, Seeds: 2, Seconds: 2, Jobs: 2, output: output{Out: filepath.Join(t.TempDir(), "coldstart.json")}}
}

// A run writes one case for each variant and number of agents, with figures for each load.
func TestColdstartWritesCaseForEachVariantAndSize(t *testing.T) {
	c := tinyColdstartCmd(t)
	if err := c.Run(t.Context(), slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	r, err := fleet.LoadResult(c.Out)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Cases) != 4 {
		t.Fatalf("got %d cases, want 4", len(r.Cases))
	}
	for _, at := range r.Cases {
		if v, ok := at.Figure("load 1.5: most of the budget"); !ok || v <= 0 || len(at.Figures) != 8 {
			t.Errorf("%s: got %v of the budget and %d figures, want some and 8", at.Name, v, len(at.Figures))
		}
		if v, ok := at.Figure("load 0.9: by agents that knew"); !ok || v != 0 {
			t.Errorf("%s: got %v servers that failed by notified agents, want none", at.Name, v)
		}
	}
}

// Invalid arguments are usage errors.
func TestColdstartRejectsInvalidArguments(t *testing.T) {
	for arg, change := range map[string]func(c *coldstartCmd){
		"agents":   func(c *coldstartCmd) { c.Agents = []int{0} },
		"loads":    func(c *coldstartCmd) { c.Loads = nil },
		"load":     func(c *coldstartCmd) { c.Loads = []float64{11} },
		"variants": func(c *coldstartCmd) { c.Variants = []string{"none"} },
		"servers":  func(c *coldstartCmd) { c.Servers = 0 },
		"work":     func(c *coldstartCmd) { c.WorkMs = 0 },
		"seeds":    func(c *coldstartCmd) { c.Seeds = 0 },
		"seconds":  func(c *coldstartCmd) { c.Seconds = 0 },
		"jobs":     func(c *coldstartCmd) { c.Jobs = 0 },
	} {
		c := tinyColdstartCmd(t)
		change(c)
		var usage *fleet.UsageError
		if err := c.Run(t.Context(), slog.New(slog.DiscardHandler)); !errors.As(err, &usage) {
			t.Errorf("%s: got error %v, want a usage error", arg, err)
		}
	}
}
