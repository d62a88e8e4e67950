package main

import (
	"errors"
	"log/slog"
	"path/filepath"
	"testing"

	"ploverreel/internal/fleet"
)

// tinyFleetCmd returns a command that runs for a second or two.
func tinyFleetCmd(t *testing.T) *fleetCmd {
	return &fleetCmd{Size: fleet.Size{Agents: 64, Servers: 144, Services: 4, Regions: 3, Zones: 9, Rate: 640, Depth: 1,
		Seed: 1}, output: output{Out: filepath.Join(t.TempDir(), "fleet.json")}, Scenarios: []string{"calm"},
		SettingsScope: []string{"fleet", "service"}, Seconds: 2, Cores: 1, Load: 0.5, Slope: true, Jobs: 2}
}

// A run writes one case for each scenario, settings scope and size, and the fitted lines.
func TestFleetWritesCaseForEachScenarioAndScope(t *testing.T) {
	f := tinyFleetCmd(t)
	if err := f.Run(t.Context(), slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	r, err := fleet.LoadResult(f.Out)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Cases) != 2*(1+4) || len(r.Fits) != 2*3 || r.Size != f.Size {
		t.Errorf("got %d cases, %d fits, size %+v, want 10, 6 and %+v", len(r.Cases), len(r.Fits), r.Size, f.Size)
	}
	for _, c := range r.Cases {
		if n, ok := c.Figure("requests"); !ok || n < 10 || c.Params["seconds"] != 2 {
			t.Errorf("%s: got %v requests and parameters %v, want 10 at least and 2 seconds", c.Name, n, c.Params)
		}
	}
}

// A run with mixed traffic reports the goodput of each class, effect and tenant, for the policy
// module and for the delayed-view baseline.
func TestFleetMixedReportsGoodputOfEachClass(t *testing.T) {
	f := tinyFleetCmd(t)
	f.Mixed, f.Slope, f.Scenarios, f.SettingsScope = true, false, []string{"half"}, []string{"service"}
	if err := f.Run(t.Context(), slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	r, err := fleet.LoadResult(f.Out)
	if err != nil {
		t.Fatal(err)
	}
	for _, of := range []string{"class short", "class once", "effect free", "effect single_shot", "tenant small"} {
		for _, by := range []string{"", ", seen late"} {
			if v, ok := r.Cases[0].Figure("served of " + of + by); !ok || v <= 0 || v > 1 {
				t.Errorf("served of %s%s: got %v, want a share above 0", of, by, v)
			}
		}
	}
}

// The error for an invalid argument names it, and no result is written.
func TestFleetRejectsInvalidArguments(t *testing.T) {
	for arg, change := range map[string]func(*fleetCmd){
		"scenarios": func(f *fleetCmd) { f.Scenarios = []string{"calm", "unknown"} },
		"seconds":   func(f *fleetCmd) { f.Seconds = 0 },
		"cores":     func(f *fleetCmd) { f.Cores = 0 },
		"load":      func(f *fleetCmd) { f.Load = -1 },
		"jobs":      func(f *fleetCmd) { f.Jobs = 0 },
		"slope":     func(f *fleetCmd) { f.Agents = 15 },
		"agents":    func(f *fleetCmd) { f.Agents = 3 },
		"rate":      func(f *fleetCmd) { f.Rate = 1e8 },
		"services":  func(f *fleetCmd) { f.Services = 0 },
	} {
		f := tinyFleetCmd(t)
		change(f)
		var usage *fleet.UsageError
		if err := f.Run(t.Context(), slog.New(slog.DiscardHandler)); !errors.As(err, &usage) || usage.Arg != arg {
			t.Errorf("got error %v, want a usage error of --%s", err, arg)
		}
		if _, err := fleet.LoadResult(f.Out); err == nil {
			t.Errorf("%s: got a result, want none", arg)
		}
	}
}

// An invalid argument, such as an unknown scenario or settings scope, ends the program with exit
// code 2.
func TestFleetExitsWithUsageCode(t *testing.T) {
	for _, args := range [][]string{{"fleet", "--scenarios", "unknown"}, {"fleet", "--settings-scope", "unknown"},
		{"fleet", "--days", "unknown"}, {"fleet", "--told", "unknown"}, {"fleet", "--load", "x"}} {
		if code := run(args); code != 2 {
			t.Errorf("%v: got exit code %d, want 2", args, code)
		}
	}
}
