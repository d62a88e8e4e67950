package fleet

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// finishedResult returns a finished result with fits and with cases that have two different sets of
// figures.
func finishedResult() *Result {
	measured := 50.0
	r := &Result{Format: resultFormat, Subcommand: "play", Args: []string{"--x=1"}, Size: TargetSize(), Commit: "abc", DurationS: 2.345,
		Started: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), Finished: true, Notes: []string{"a | b"}}
	for _, n := range []float64{12, 2000, 2000} {
		c := Case{Name: "calm", Params: map[string]float64{"servers": n, "held": 0}}
		c.Add("call", "us", 12345.6*n)
		c.Add("work", "count", 0.012345)
		r.Cases = append(r.Cases, c)
	}
	c := Case{Name: "rack"}
	c.Add("worth", "share", 0.5)
	r.Cases = append(r.Cases, c)
	r.Fits = []Fit{{Figure: "call", Unit: "us", Param: "servers", Sizes: []float64{1, 2, 3, 4}, Slope: 2, Intercept: -1.5,
		Target: 20, PredictedAtTarget: 38.5, MeasuredAtTarget: &measured},
		{Figure: "work", Param: "servers", Target: 20, PredictedAtTarget: 7}}
	return r
}

// RenderPage replaces the old tables of a section with those of its result and keeps the rest of
// the page. Rendering the new page again changes nothing.
func TestRenderPageReplacesSectionTables(t *testing.T) {
	results := map[string]*Result{"play-ten": finishedResult(), "other": finishedResult()}
	page := "# A\n\n<!-- fleetbench:play-ten -->\nold\n<!-- /fleetbench -->\nrest\n"
	got, names, err := RenderPage(page, results)
	if err != nil || len(names) != 1 || names[0] != "play-ten" {
		t.Fatalf("got sections %q and error %v, want play-ten", names, err)
	}
	for _, want := range []string{
		"# A\n\n<!-- fleetbench:play-ten -->\n",
		"\n| case | at | call (us) | work |\n| --- | ---: | ---: | ---: |\n| calm | servers 12 | 148000 | 0.0123 |\n" +
			"| calm |  | 24691200 | 0.0123 |\n",
		"\nAt held 0, servers 2000 where the row says no other. Run: play-ten.json, commit abc, on ",
		"\nplay-ten.json: `fleetbench play --x=1` with 2000 agents, 2000 servers, ",
		"2026-01-02 03:04 UTC, 2.35 s.\n",
		"\n| case | worth (share) |\n| --- | ---: |\n| rack | 0.5 |\n",
		"| call (us) | servers | 4, 1 to 4 | 2 x servers - 1.5 | 0 | 20 | 38.5 | 50 | **1.3, differs** |\n",
		"| work | servers | none | 0 x servers + 0 | 0 | 20 | 7 | not run |  |\n",
		"\n- a / b\n\n<!-- /fleetbench -->\nrest\n",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("got a page without %q, want it:\n%s", want, got)
		}
	}
	if strings.Contains(got, "old") {
		t.Error("got a page with the old tables, want them replaced")
	}
	if again, _, err := RenderPage(got, results); err != nil || again != got {
		t.Errorf("got another page or error %v the second time, want the same page", err)
	}
}

// The error for an invalid section names its line or the section.
func TestRenderPageNamesInvalidSection(t *testing.T) {
	for page, want := range map[string]string{
		"a\n<!-- fleetbench:gone -->\n<!-- /fleetbench -->":  "line 2: gone: no such result",
		"<!-- fleetbench:play -->\nx":                        "play: the section has no end",
		"<!-- /fleetbench -->":                               "line 1: the end of no section",
		"<!-- fleetbench:play -->\n<!-- fleetbench:play -->": "line 2: play begins within play",
		"<!-- fleetbench:play -->\n<!-- /fleetbench -->\n<!-- fleetbench:play -->\n<!-- /fleetbench -->\n": "line 3: play has two sections",
		"<!-- fleetbench:../play -->": "line 1: no marker of a result",
	} {
		if _, _, err := RenderPage(page, map[string]*Result{"play": finishedResult()}); err == nil ||
			!strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: got error %v, want %q", page, err, want)
		}
	}
}

// LoadResults names the file of an invalid result in its error.
func TestLoadResultsNamesInvalidResult(t *testing.T) {
	dir := t.TempDir()
	if err := finishedResult().Save(filepath.Join(dir, "good.json"), nil); err != nil {
		t.Fatal(err)
	}
	if results, err := LoadResults(dir); err != nil || results["good"] == nil {
		t.Fatalf("got results %v and error %v, want the good one", results, err)
	}
	if err := finishedResult().Save(filepath.Join(dir, "half.json"), errors.New("interrupted")); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadResults(dir); err == nil || !strings.Contains(err.Error(), "half.json") {
		t.Errorf("got error %v, want one that names half.json", err)
	}
}

// The tables on the capacity page match the committed results.
func TestCapacityPageHasTablesOfCommittedResults(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	results, err := LoadResults(filepath.Join(root, "bench", "results"))
	if err != nil {
		t.Fatal(err)
	}
	want, _, err := RenderPage(string(page), results)
	if err != nil {
		t.Fatalf("docs/CAPACITY.md: %v", err)
	}
	if want != string(page) {
		t.Error("got other tables in docs/CAPACITY.md than those of the results: run 'fleetbench report'")
	}
}
