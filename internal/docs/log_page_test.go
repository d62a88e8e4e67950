package docs

import (
	"regexp"
	"slices"
	"strings"
	"testing"
)

// logPage holds what the operations page says about the log.
type logPage struct {
	lines      map[string]logLine // by message
	commonKeys []string           // keys that every line has
}

var (
	// lineHeading matches the heading of a log line, which is its message.
	lineHeading = regexp.MustCompile("^### `([^`]+)`$")
	// lineSummary matches the level and the attributes of a log line.
	lineSummary = regexp.MustCompile(`^(DEBUG|INFO|WARN|ERROR), (no attributes|attributes: .+)$`)
	// traceRow matches a row of the table of the trace's attributes.
	traceRow = regexp.MustCompile("^\\| `([^`]+)` \\|")
	// traceLink ends the summary of a line that has the trace's attributes.
	traceLink = "see [the trace](#the-trace)"
)

// readLogPage reads the section "Log lines" of the operations page. Each message has a heading.
// Below it follow one line with the level and the attributes, the meaning, the impact and what to
// do.
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
			continue // this entry is about lines that the agent doesn't write itself
		}
		message := heading[1]
		if _, duplicate := page.lines[message]; duplicate {
			t.Errorf("page: %q is listed twice", message)
		}
		if len(rows) < 3 || !lineSummary.MatchString(rows[2]) {
			t.Errorf("page: %q: no line with level and attributes below the heading", message)
			continue
		}
		summary := lineSummary.FindStringSubmatch(rows[2])
		line := logLine{level: summary[1], position: "docs/OPERATIONS.md"}
		if strings.HasSuffix(summary[2], traceLink) {
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

// traceAttributes returns the keys in the table of the section "The trace".
func traceAttributes(t *testing.T, text string) (attributes []string) {
	t.Helper()
	for _, row := range strings.Split(section(t, text, "The trace"), "\n") {
		if match := traceRow.FindStringSubmatch(row); match != nil {
			attributes = append(attributes, match[1])
		}
	}
	return attributes
}

// section returns the text of the section with a second-level heading.
func section(t *testing.T, text, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(text, "\n## "+heading+"\n")
	if !found {
		t.Fatalf("page: no section %q", heading)
	}
	body, _, _ := strings.Cut(rest, "\n## ")
	return body
}
