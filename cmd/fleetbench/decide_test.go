package main

import (
	"path/filepath"
	"testing"

	"ploverreel/internal/fleet"
)

// A small run ends well and leaves a finished result; nonsense ends with 2 and leaves none.
func TestDecide(t *testing.T) {
	out := filepath.Join(t.TempDir(), "decide.json")
	args := []string{"decide", "--agents=8", "--servers=8", "--services=2", "--zones=2", "--regions=1", "--rate=800",
		"--requests=20", "--repeats=1", "--out=" + out}
	for _, bad := range []string{"--requests=0", "--repeats=-1", "--servers=none", "--seed=-1", "--rate=0"} {
		if code := run(append(args[:len(args):len(args)], bad)); code != 2 {
			t.Errorf("%s: exit %d, want 2", bad, code)
		}
		if _, err := fleet.LoadResult(out); err == nil {
			t.Fatalf("%s left a result", bad)
		}
	}
	if code := run(args); code != 0 {
		t.Fatalf("exit %d", code)
	}
	if r, err := fleet.LoadResult(out); err != nil || r.Bench != "decide" || r.Size.Servers != 8 {
		t.Errorf("%v: %+v", err, r)
	}
}
