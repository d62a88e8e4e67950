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

// Arguments of 'control' that make no sense end the program with exit 2 and leave no result.
func TestControlArguments(t *testing.T) {
	out := filepath.Join(t.TempDir(), "r.json")
	for _, args := range [][]string{{"--agents", "0"}, {"--scope", "town"}, {"--membership", "?"}, {"--cut", "-1s"},
		{"--processes", "many"}, {"--agents", "100000"}, {"--agents", "31"}} {
		if code := run(append([]string{"control", "--out", out}, args...)); code != 2 {
			t.Errorf("%v: exit %d", args, code)
		}
	}
	if _, err := os.Stat(out); err == nil {
		t.Error("a result was written")
	}
}

// A run that fails leaves a result that is marked with the cause.
func TestControlMarksUnfinishedRuns(t *testing.T) {
	var cmd controlCmd
	out := filepath.Join(t.TempDir(), "r.json")
	parser, err := kong.New(&cmd)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parser.Parse([]string{"--agents", "32", "--out", out}); err != nil {
		t.Fatal(err)
	}
	cause := errors.New("no process to be had")
	spawn := func(context.Context, string) (*controlplane.Process, error) { return nil, cause }
	if err := cmd.play(t.Context(), slog.New(slog.DiscardHandler), spawn); !errors.Is(err, cause) {
		t.Fatal(err)
	}
	text, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), `"finished": false`) || !strings.Contains(string(text), cause.Error()) {
		t.Errorf("%s", text)
	}
}
