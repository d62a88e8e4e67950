package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"ploverreel/internal/fleet/controlplane"
)

// Invalid arguments of 'control' end the program with exit code 2 and leave no result.
func TestControlRejectsInvalidArguments(t *testing.T) {
	out := filepath.Join(t.TempDir(), "r.json")
	for _, args := range [][]string{{"--agents", "0"}, {"--scope", "unknown"}, {"--membership", "?"}, {"--cut", "-1s"},
		{"--processes", "many"}, {"--agents", "100000"}, {"--agents", "31"}} {
		if code := run(append([]string{"control", "--out", out}, args...)); code != 2 {
			t.Errorf("%v: got exit code %d, want 2", args, code)
		}
	}
	if _, err := os.Stat(out); err == nil {
		t.Error("got a result, want none")
	}
}

// A run that fails writes a result that is marked as unfinished and has the cause.
func TestControlMarksFailedRunUnfinished(t *testing.T) {
	var cmd controlCmd
	out := filepath.Join(t.TempDir(), "r.json")
	parser, err := kong.New(&cmd)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parser.Parse([]string{"--agents", "32", "--out", out}); err != nil {
		t.Fatal(err)
	}
	cause := errors.New("no process can be started")
	spawn := func(context.Context, string) (*controlplane.Process, error) { return nil, cause }
	if err := cmd.runPlan(t.Context(), slog.New(slog.DiscardHandler), spawn); !errors.Is(err, cause) {
		t.Fatalf("got error %v, want %v", err, cause)
	}
	text, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), `"finished": false`) || !strings.Contains(string(text), cause.Error()) {
		t.Errorf("got result %s, want it unfinished with the cause %v", text, cause)
	}
}
