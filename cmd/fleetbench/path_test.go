package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ploverreel/internal/fleet"
)

// An argument that makes no sense is exit 2 and no result; an agent that does not start is
// exit 1 and a result that says why it is not finished.
func TestPathThatCannotRun(t *testing.T) {
	dir := t.TempDir()
	out, agent := filepath.Join(dir, "path.json"), filepath.Join(dir, "agent")
	if err := os.WriteFile(agent, []byte("#!/bin/sh\necho no luck >&2\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"--open=0", "--seconds=NaN", "--depth=0", "--agent=" + dir, "--list=x"} {
		if code := run([]string{"path", "--agent=" + agent, "--out=" + out, bad}); code != 2 {
			t.Errorf("%s: exit %d", bad, code)
		}
	}
	if _, err := os.Stat(out); err == nil {
		t.Error("a result of arguments that make no sense")
	}
	if code := run([]string{"path", "--agent=" + agent, "--out=" + out, "--list=2"}); code != 1 {
		t.Errorf("exit %d", code)
	}
	if _, err := fleet.LoadResult(out); err == nil || !strings.Contains(err.Error(), "unfinished") || !strings.Contains(err.Error(), "no luck") {
		t.Errorf("the result: %v", err)
	}
}
