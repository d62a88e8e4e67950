package docs

import (
	"maps"
	"slices"
	"strings"
	"testing"
)

// logLine describes the log lines with one message, as read from the code or from the page.
type logLine struct {
	level      string
	attributes []string // keys, sorted and without duplicates; of a group as "group.key"
	position   string   // position in the code, or name of the page
}

// logLevels maps each method of a logger that writes a line to the level of that line.
var logLevels = map[string]string{"Debug": "DEBUG", "Info": "INFO", "Warn": "WARN", "Error": "ERROR"}

// otherLogMethods lists the methods of a logger that write lines but that the test can't read.
var otherLogMethods = []string{"Log", "LogAttrs", "DebugContext", "InfoContext", "WarnContext", "ErrorContext"}

// The operations page lists each line that the agent can log, with its level and attributes, and no
// other line.
func TestOperationsPageListsEveryLogLine(t *testing.T) {
	repo := readRepository(t)
	code, commonKeys, problems := repo.logLines(repo.packageDirs("cmd/ploverreel"))
	page := readLogPage(t, repo.read(t, "docs/OPERATIONS.md"))
	for _, problem := range problems {
		t.Error(problem)
	}
	if len(code) == 0 {
		t.Error("no log lines found in the code")
	}
	for _, message := range slices.Sorted(maps.Keys(code)) {
		want := code[message]
		got, listed := page.lines[message]
		switch {
		case !listed:
			t.Errorf("%s: log line %q is not on the page", want.position, message)
		case got.level != want.level:
			t.Errorf("%q: level on the page %s, in the code %s (%s)", message, got.level, want.level, want.position)
		case !slices.Equal(got.attributes, want.attributes):
			t.Errorf("%q: attributes on the page %q, in the code %q (%s)", message, got.attributes, want.attributes, want.position)
		}
	}
	for _, message := range slices.Sorted(maps.Keys(page.lines)) {
		if _, logged := code[message]; !logged {
			t.Errorf("%s: log line %q is not in the code", page.lines[message].position, message)
		}
	}
	for _, key := range commonKeys {
		if !slices.Contains(page.commonKeys, key) {
			t.Errorf("attribute %q of every line is not on the page, got %q", key, page.commonKeys)
		}
	}
}

// A log call is reported if the test can't read it, or if its message or one of its keys can vary.
func TestLogCallsHaveConstantMessagesAndKeys(t *testing.T) {
	for _, c := range []struct{ name, call, problem string }{
		{"constant", `log.Info("begun", "err", err)`, ""},
		{"constant by name", `log.Warn(message)`, ""},
		{"message of a variable", `log.Info(text)`, "message isn't a constant"},
		{"message with a value", `log.Error("failed: " + text)`, "message isn't a constant"},
		{"formatted message", `log.Error(fmt.Sprint("failed", text))`, "message isn't a constant"},
		{"key of a variable", `log.Info("begun", text, 1)`, "key isn't a constant"},
		{"key without a value", `log.Info("begun", "err")`, "key without a value"},
		{"attributes of a variable", `log.Info("begun", many...)`, "attributes can't be read"},
		{"method for attributes", `log.LogAttrs(ctx, level, "begun")`, "use Debug, Info, Warn or Error"},
	} {
		t.Run(c.name, func(t *testing.T) {
			repo := repositoryOf(t, map[string]string{"p/p.go": "package p\nconst message = \"ended\"\n" +
				"func f(log logger, text string, err error, many []any) { " + c.call + " }\n"})
			lines, _, problems := repo.logLines([]string{"p"})
			switch {
			case c.problem == "" && (len(problems) > 0 || len(lines) != 1):
				t.Errorf("got problems %q and %d lines, want none and 1", problems, len(lines))
			case c.problem != "" && (len(problems) != 1 || !strings.Contains(problems[0], c.problem)):
				t.Errorf("got problems %q, want one of %q", problems, c.problem)
			}
		})
	}
}

// Levels, attributes, groups, and keys that a caller passes are read from the code.
func TestLogLinesAreReadFromTheCode(t *testing.T) {
	repo := repositoryOf(t, map[string]string{"p/p.go": `package p
import ("log/slog"; "net/http"; "fmt")
func (l *loop) f(w http.ResponseWriter, err error) {
	l.log = l.log.With("agent", l.name)
	http.Error(w, "text", 503)
	_ = err.Error()
	l.log.Warn("stopped", "err", err, slog.Int("lines", 3))
	l.log.Info("state", attributes(l)...)
}
func attributes(l *loop) []any {
	all := []any{"limit", l.limit, outcomes(l)}
	for rank, tier := range l.tiers {
		all = append(all, slog.Group(fmt.Sprint("tier", rank), "size", tier))
	}
	return append(all, slog.Group(class.Name, "served", 1))
}
func outcomes(l *loop) slog.Attr { return slog.Group("ended", "ok", 1, "full", 2) }
func (l *loop) recovered(key string) { l.log.Error("panic", key, 1) }
func (l *loop) g() { l.recovered("input"); l.recovered("action") }
`, "p/p_test.go": `package p
func h() { log.Info("in a test") }
`})
	got, commonKeys, problems := repo.logLines([]string{"p"})
	want := map[string]logLine{
		"stopped": {level: "WARN", attributes: []string{"err", "lines"}},
		"state":   {level: "INFO", attributes: []string{"CLASS.served", "ended.full", "ended.ok", "limit", "tierN.size"}},
		"panic":   {level: "ERROR", attributes: []string{"action", "input"}},
	}
	if len(problems) > 0 || len(got) != len(want) || !slices.Equal(commonKeys, []string{"agent"}) {
		t.Errorf("got %d lines, problems %q and common attributes %q, want %d, none and agent", len(got), problems, commonKeys, len(want))
	}
	for message, line := range want {
		if got[message].level != line.level || !slices.Equal(got[message].attributes, line.attributes) {
			t.Errorf("%s: got %v, want %v", message, got[message], line)
		}
	}
}
