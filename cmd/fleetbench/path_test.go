package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ploverreel/internal/fleet"
)

// An invalid argument ends the program with exit code 2 and writes no result. An agent that does
// not start ends it with exit code 1 and an unfinished result that has the cause.
func TestPathReportsWhyItCannotRun(t *testing.T) {
	dir := t.TempDir()
	out, agent := filepath.Join(dir, "path.json"), filepath.Join(dir, "agent")
	if err := os.WriteFile(agent, []byte("#!/bin/sh\necho cannot start >&2\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"--open=0", "--seconds=NaN", "--depth=0", "--agent=" + dir, "--list=x"} {
		if code := run([]string{"path", "--agent=" + agent, "--out=" + out, bad}); code != 2 {
			t.Errorf("%s: got exit code %d, want 2", bad, code)
		}
	}
	if _, err := os.Stat(out); err == nil {
		t.Error("got a result of invalid arguments, want none")
	}
	if code := run([]string{"path", "--agent=" + agent, "--out=" + out, "--list=2"}); code != 1 {
		t.Errorf("agent that does not start: got exit code %d, want 1", code)
	}
	if _, err := fleet.LoadResult(out); err == nil || !strings.Contains(err.Error(), "unfinished") || !strings.Contains(err.Error(), "cannot start") {
		t.Errorf("got result with error %v, want it unfinished with the agent's log", err)
	}
}
