package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"

	"ploverreel/internal/fleet"
)

// reportCmd writes the generated tables of the capacity page.
type reportCmd struct {
	Page    string `help:"The page." default:"docs/CAPACITY.md"`
	Results string `help:"Folder of the results." default:"bench/results"`
	Check   bool   `help:"Write nothing; exit 1 if the page's tables are not those of the results."`
}

// Help returns the text that --help prints under the summary.
func (*reportCmd) Help() string {
	return `On the page, the tables of the result NAME.json are between the lines '<!-- fleetbench:NAME -->' and
'<!-- /fleetbench -->'. The text between these lines is generated again, the rest of the page stays. If a result is
unfinished or in another format, or if a section has no result, the command prints one line that names it and writes
nothing.

Run it from the root of the repository.`
}

// Run updates the page, or checks it if --check is given.
func (c *reportCmd) Run(_ context.Context, log *slog.Logger) error {
	results, err := fleet.LoadResults(c.Results)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.Page)
	if err != nil {
		return fmt.Errorf("page: %w", err)
	}
	page, sections, err := fleet.RenderPage(string(text), results)
	if err != nil {
		return fmt.Errorf("page %s: %w", c.Page, err)
	}
	for name := range results {
		if !slices.Contains(sections, name) {
			log.Warn("the page has no section for the result", "result", name)
		}
	}
	switch {
	case page == string(text):
		log.Info("the page is up to date", "page", c.Page, "sections", strings.Join(sections, " "))
	case c.Check:
		return fmt.Errorf("page %s: the tables do not match the results: run 'fleetbench report'", c.Page)
	default:
		if err := fleet.ReplaceFile(c.Page, []byte(page)); err != nil {
			return fmt.Errorf("page: %w", err)
		}
		log.Info("wrote the tables", "page", c.Page, "sections", strings.Join(sections, " "))
	}
	return nil
}
