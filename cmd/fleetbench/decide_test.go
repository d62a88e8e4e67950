package main

import (
	"path/filepath"
	"testing"

	"ploverreel/internal/fleet"
)

// A small run writes a finished result. Invalid arguments end the program with exit code 2 and
// write no result.
func TestDecideWritesResultOfValidArguments(t *testing.T) {
	out := filepath.Join(t.TempDir(), "decide.json")
	args := []string{"decide", "--agents=8", "--servers=8", "--services=2", "--zones=2", "--regions=1", "--rate=800",
		"--requests=20", "--repeats=1", "--out=" + out}
	for _, bad := range []string{"--requests=0", "--repeats=-1", "--servers=none", "--seed=-1", "--rate=0"} {
		if code := run(append(args[:len(args):len(args)], bad)); code != 2 {
			t.Errorf("%s: got exit code %d, want 2", bad, code)
		}
		if _, err := fleet.LoadResult(out); err == nil {
			t.Fatalf("%s: got a result, want none", bad)
		}
	}
	if code := run(args); code != 0 {
		t.Fatalf("got exit code %d, want 0", code)
	}
	if r, err := fleet.LoadResult(out); err != nil || r.Subcommand != "decide" || r.Size.Servers != 8 {
		t.Errorf("got error %v and result %+v, want one of decide with 8 servers", err, r)
	}
}
