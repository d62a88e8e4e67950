package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ploverreel/internal/fleet"
)

// 'report' writes the tables to the page, and running it again changes nothing. With --check it
// fails if the tables are out of date, and writes nothing.
func TestReportWritesTablesOnce(t *testing.T) {
	dir := t.TempDir()
	page := filepath.Join(dir, "page.md")
	args := []string{"report", "--page=" + page, "--results=" + dir}
	check := append(args[:len(args):len(args)], "--check")
	if code := run(args); code != 1 {
		t.Errorf("no page: got exit code %d, want 1", code)
	}
	const before = "# A\n\n<!-- fleetbench:play -->\n<!-- /fleetbench -->\n"
	if err := os.WriteFile(page, []byte(before), 0o644); err != nil {
		t.Fatal(err)
	}
	if code := run(args); code != 1 {
		t.Errorf("no result: got exit code %d, want 1", code)
	}
	r := fleet.NewResult("play", nil, fleet.TargetSize())
	r.Cases = []fleet.Case{{Name: "calm", Figures: []fleet.Figure{{Name: "call", Unit: "us", Value: 3}}}}
	if err := r.Save(filepath.Join(dir, "play.json"), nil); err != nil {
		t.Fatal(err)
	}
	if code := run(check); code != 1 {
		t.Errorf("--check of an old page: got exit code %d, want 1", code)
	}
	if text, _ := os.ReadFile(page); string(text) != before {
		t.Fatalf("got page %q after --check, want it unchanged", text)
	}
	for _, args := range [][]string{args, check, args} {
		if code := run(args); code != 0 {
			t.Errorf("%q: got exit code %d, want 0", args, code)
		}
	}
	if text, _ := os.ReadFile(page); !strings.Contains(string(text), "| calm | 3 |") {
		t.Errorf("got page %q, want the table in it", text)
	}
}
