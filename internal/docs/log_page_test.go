package docs

import (
	"regexp"
	"slices"
	"strings"
	"testing"
)

// logPage holds the part of the operations page that is about the log.
type logPage struct {
	lines      map[string]logLine
	commonKeys []string // keys of every line
}

var (
	lineHeading  = regexp.MustCompile("^### `([^`]+)`$")
	lineSummary  = regexp.MustCompile(`^(DEBUG|INFO|WARN|ERROR), (no attributes|attributes: .+)$`)
	traceRow     = regexp.MustCompile("^\\| `([^`]+)` \\|")
	traceSection = "see [the trace](#the-trace)"
)

// readLogPage reads the section "Log lines" of the operations page. Under the heading of a message
// stand its level and attributes in one line, then its meaning, its impact and what to do.
func readLogPage(t *testing.T, text string) logPage {
	t.Helper()
	page := logPage{lines: map[string]logLine{}}
	entries := strings.Split(section(t, text, "Log lines"), "\n### ")
	for _, span := range codeSpan.FindAllStringSubmatch(entries[0], -1) {
		page.commonKeys = append(page.commonKeys, span[1])
	}
	for _, entry := range entries[1:] {
		rows := strings.Split("### "+strings.TrimSpace(entry), "\n")
		heading := lineHeading.FindStringSubmatch(rows[0])
		if heading == nil {
			continue // an entry of lines that are not the agent's own
		}
		message := heading[1]
		if _, again := page.lines[message]; again {
			t.Errorf("page: %q stands there twice", message)
		}
		if len(rows) < 3 || !lineSummary.MatchString(rows[2]) {
			t.Errorf("page: %q: no level and attributes under the heading", message)
			continue
		}
		summary := lineSummary.FindStringSubmatch(rows[2])
		line := logLine{level: summary[1], position: "docs/OPERATIONS.md"}
		if strings.HasSuffix(summary[2], traceSection) {
			line.attributes = traceAttributes(t, text)
		}
		for _, span := range codeSpan.FindAllStringSubmatch(summary[2], -1) {
			line.attributes = append(line.attributes, span[1])
		}
		slices.Sort(line.attributes)
		page.lines[message] = line
		for _, part := range []string{"\n- **Meaning**: ", "\n- **Impact**: ", "\n- **What to do**: "} {
			if strings.Count(entry, part) != 1 {
				t.Errorf("page: %q: got %d parts %q, want 1", message, strings.Count(entry, part), part)
			}
		}
	}
	return page
}

// traceAttributes returns the attributes in the table of the section "The trace".
func traceAttributes(t *testing.T, text string) (attributes []string) {
	t.Helper()
	for _, row := range strings.Split(section(t, text, "The trace"), "\n") {
		if match := traceRow.FindStringSubmatch(row); match != nil {
			attributes = append(attributes, match[1])
		}
	}
	return attributes
}

// section returns the text under a heading of the second level.
func section(t *testing.T, text, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(text, "\n## "+heading+"\n")
	if !found {
		t.Fatalf("page: no section %q", heading)
	}
	body, _, _ := strings.Cut(rest, "\n## ")
	return body
}
