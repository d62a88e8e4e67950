package main

import (
	"path/filepath"
	"reflect"
	"testing"

	"ploverreel/internal/fleet"
)

// parseArgs parses a command line.
func parseArgs(t *testing.T, args ...string) *commands {
	t.Helper()
	var cmd commands
	if _, err := newParser(&cmd).Parse(args); err != nil {
		t.Fatalf("%q: got error %v, want it read", args, err)
	}
	return &cmd
}

// Renamed flags are still accepted under their former names, with the same meaning.
func TestFlagsKeepTheirFormerNames(t *testing.T) {
	for _, c := range []struct {
		name        string
		former, now []string
	}{
		{"scenarios", []string{"fleet", "--days=calm,zone"}, []string{"fleet", "--scenarios=calm,zone"}},
		{"settings scope", []string{"fleet", "--told", "service"}, []string{"fleet", "--settings-scope", "service"}},
		{"objective", []string{"path", "--aim=300ms"}, []string{"path", "--objective=300ms"}},
		{"faults", []string{"control", "--troubles"}, []string{"control", "--faults"}},
		{"no faults, as a value", []string{"control", "--troubles=false"}, []string{"control", "--faults=false"}},
	} {
		if got, want := parseArgs(t, c.former...), parseArgs(t, c.now...); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %q got %+v, want %+v as by %q", c.name, c.former, got, want, c.now)
		}
	}
	for _, c := range []struct {
		args []string
		want bool
	}{
		{[]string{"control"}, true}, {[]string{"control", "--no-faults"}, false}, {[]string{"control", "--no-troubles"}, false},
	} {
		if got := parseArgs(t, c.args...).Control.faultsEnabled(); got != c.want {
			t.Errorf("%q: got faults enabled %v, want %v", c.args, got, c.want)
		}
	}
	cmd := parseArgs(t, "fleet", "--days=calm,zone", "--told=service")
	if got, want := cmd.Fleet.Scenarios, []string{"calm", "zone"}; !reflect.DeepEqual(got, want) {
		t.Errorf("--days: got scenarios %q, want %q", got, want)
	}
	if got, want := cmd.Fleet.SettingsScope, []string{"service"}; !reflect.DeepEqual(got, want) {
		t.Errorf("--told: got settings scope %q, want %q", got, want)
	}
}

// The arguments in committed results may use former flag names. They are parsed to the same values
// as the arguments that a result of the same run would have now.
func TestFlagsOfCommittedResultsAreRead(t *testing.T) {
	results, err := fleet.LoadResults(filepath.Join("..", "..", "bench", "results"))
	if err != nil {
		t.Fatal(err)
	}
	if len(results) == 0 {
		t.Fatal("got no results, want the committed ones")
	}
	for name, result := range results {
		stored := parseArgs(t, append([]string{result.Subcommand}, result.Args...)...)
		var args []string
		switch result.Subcommand {
		case "control":
			args = stored.Control.resultArgs()
		case "path":
			args = stored.Path.resultArgs()
		case "fleet":
			args = stored.Fleet.resultArgs()
		case "coldstart":
			args = stored.Coldstart.resultArgs()
		case "decide":
			continue // its flags were never renamed
		default:
			t.Errorf("%s: got subcommand %q, want one that is known", name, result.Subcommand)
			continue
		}
		if again := parseArgs(t, append([]string{result.Subcommand}, args...)...); !reflect.DeepEqual(again, stored) {
			t.Errorf("%s: %q is read as %+v, want %+v as %q", name, args, again, stored, result.Args)
		}
	}
}
