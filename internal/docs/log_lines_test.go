package docs

import (
	"fmt"
	"go/ast"
	"go/token"
	"maps"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logLine is what is said of one message of the log, by the code or by the page.
type logLine struct {
	level      string
	attributes []string // sorted, each once; those of a group as "group.key"
	at         string   // place in the code, or on the page
}

// logLevels are the methods of a logger that write a line, with the levels of their lines.
var logLevels = map[string]string{"Debug": "DEBUG", "Info": "INFO", "Warn": "WARN", "Error": "ERROR"}

// otherLogMethods are the methods of a logger that write lines in forms that this test can't read.
var otherLogMethods = []string{"Log", "LogAttrs", "DebugContext", "InfoContext", "WarnContext", "ErrorContext"}

// The page for who is on call lists each line that the agent may log, with its level and its
// attributes, and no other.
func TestOperationsPageListsEveryLogLine(t *testing.T) {
	all := readTree(t)
	code, common, problems := all.logLines(all.packagesOf("cmd/ploverreel"))
	page := readLogPage(t, all.read(t, "docs/OPERATIONS.md"))
	for _, problem := range problems {
		t.Error(problem)
	}
	if len(code) == 0 {
		t.Error("no log line found in the code")
	}
	for _, message := range slices.Sorted(maps.Keys(code)) {
		want := code[message]
		got, listed := page.lines[message]
		switch {
		case !listed:
			t.Errorf("%s: log line %q is not on the page", want.at, message)
		case got.level != want.level:
			t.Errorf("%q: level on the page %s, in the code %s (%s)", message, got.level, want.level, want.at)
		case !slices.Equal(got.attributes, want.attributes):
			t.Errorf("%q: attributes on the page %q, in the code %q (%s)", message, got.attributes, want.attributes, want.at)
		}
	}
	for _, message := range slices.Sorted(maps.Keys(page.lines)) {
		if _, logged := code[message]; !logged {
			t.Errorf("%s: log line %q is not in the code", page.lines[message].at, message)
		}
	}
	for _, key := range common {
		if !slices.Contains(page.common, key) {
			t.Errorf("attribute %q of every line is not on the page, got %q", key, page.common)
		}
	}
}

// A log call that the test could not read, or that would log another text each time, is an error.
func TestLogCallsHaveConstantMessagesAndKeys(t *testing.T) {
	for _, c := range []struct{ name, call, problem string }{
		{"constant", `log.Info("begun", "err", err)`, ""},
		{"constant by name", `log.Warn(message)`, ""},
		{"message of a variable", `log.Info(text)`, "message is no constant"},
		{"message with a value", `log.Error("failed: " + text)`, "message is no constant"},
		{"formatted message", `log.Error(fmt.Sprint("failed", text))`, "message is no constant"},
		{"key of a variable", `log.Info("begun", text, 1)`, "key is no constant"},
		{"key without a value", `log.Info("begun", "err")`, "key without a value"},
		{"attributes of a variable", `log.Info("begun", many...)`, "attributes can't be read"},
		{"method for attributes", `log.LogAttrs(ctx, level, "begun")`, "use Debug, Info, Warn or Error"},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := treeOf(t, map[string]string{"p/p.go": "package p\nconst message = \"ended\"\n" +
				"func f(log logger, text string, err error, many []any) { " + c.call + " }\n"})
			lines, _, problems := all.logLines([]string{"p"})
			switch {
			case c.problem == "" && (len(problems) > 0 || len(lines) != 1):
				t.Errorf("got problems %q and %d lines, want none and 1", problems, len(lines))
			case c.problem != "" && (len(problems) != 1 || !strings.Contains(problems[0], c.problem)):
				t.Errorf("got problems %q, want one of %q", problems, c.problem)
			}
		})
	}
}

// Levels, attributes, groups and keys that a caller gives are read from the code.
func TestLogLinesAreReadFromTheCode(t *testing.T) {
	all := treeOf(t, map[string]string{"p/p.go": `package p
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
	got, common, problems := all.logLines([]string{"p"})
	want := map[string]logLine{
		"stopped": {level: "WARN", attributes: []string{"err", "lines"}},
		"state":   {level: "INFO", attributes: []string{"CLASS.served", "ended.full", "ended.ok", "limit", "tierN.size"}},
		"panic":   {level: "ERROR", attributes: []string{"action", "input"}},
	}
	if len(problems) > 0 || len(got) != len(want) || !slices.Equal(common, []string{"agent"}) {
		t.Errorf("got %d lines, problems %q and common attributes %q, want %d, none and agent", len(got), problems, common, len(want))
	}
	for message, line := range want {
		if got[message].level != line.level || !slices.Equal(got[message].attributes, line.attributes) {
			t.Errorf("%s: got %v, want %v", message, got[message], line)
		}
	}
}

// logReader collects the log lines of one package.
type logReader struct {
	all       *tree
	constants map[string]string          // of the package, by name
	functions map[string][]*ast.FuncDecl // of the package, methods too, by name
	imports   map[string]bool            // names of packages that the file imports, but for log/slog
	enclosing *ast.FuncDecl              // function whose body is read
	lines     map[string]logLine
	common    map[string]bool // keys that a logger adds to each line
	problems  []string
}

// logLines returns the lines that the packages in the folders may log, by message, the keys that are
// on every line, and what is wrong with calls.
func (all *tree) logLines(folders []string) (lines map[string]logLine, common, problems []string) {
	reader := &logReader{all: all, lines: map[string]logLine{}, common: map[string]bool{}}
	for _, folder := range folders {
		files := all.folder(folder)
		reader.constants, reader.functions = map[string]string{}, map[string][]*ast.FuncDecl{}
		for _, file := range files {
			reader.declare(file)
		}
		for _, name := range slices.Sorted(maps.Keys(files)) {
			reader.readFile(files[name])
		}
	}
	return reader.lines, slices.Sorted(maps.Keys(reader.common)), reader.problems
}

// packagesOf returns the folders of the module's packages that a program is made of, its own first.
func (all *tree) packagesOf(program string) []string {
	folders, seen := []string{program}, map[string]bool{program: true}
	for i := 0; i < len(folders); i++ {
		for _, file := range all.folder(folders[i]) {
			for _, imported := range importsOf(file) {
				folder, ours := strings.CutPrefix(imported, module+"/")
				if ours && !seen[folder] {
					seen[folder] = true
					folders = append(folders, folder)
				}
			}
		}
	}
	return folders
}

// folder returns the files of one folder that are no tests, by name.
func (all *tree) folder(folder string) map[string]*ast.File {
	files := map[string]*ast.File{}
	for name, file := range all.sources {
		if path.Dir(name) == folder && !isTest(name) {
			files[name] = file
		}
	}
	return files
}

// declare notes a file's functions and the constants that are texts.
func (r *logReader) declare(file *ast.File) {
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			r.functions[declaration.Name.Name] = append(r.functions[declaration.Name.Name], declaration)
		case *ast.GenDecl:
			if declaration.Tok != token.CONST {
				continue
			}
			for _, spec := range declaration.Specs {
				spec := spec.(*ast.ValueSpec)
				for i, value := range spec.Values {
					if text, ok := textOf(value); ok {
						r.constants[spec.Names[i].Name] = text
					}
				}
			}
		}
	}
}

// readFile reads the log calls of a file.
func (r *logReader) readFile(file *ast.File) {
	r.imports = map[string]bool{}
	for _, imported := range importsOf(file) {
		if imported != "log/slog" {
			r.imports[path.Base(imported)] = true
		}
	}
	for _, declaration := range file.Decls {
		r.enclosing, _ = declaration.(*ast.FuncDecl)
		ast.Inspect(declaration, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok {
				r.readCall(call)
			}
			return true
		})
	}
}

// readCall reads a call if it is one of a logger: a method of a logger's name that is given an
// argument, and no function of an imported package.
func (r *logReader) readCall(call *ast.CallExpr) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return
	}
	if owner, ok := method.X.(*ast.Ident); ok && r.imports[owner.Name] {
		return
	}
	level, writes := logLevels[method.Sel.Name]
	switch {
	case slices.Contains(otherLogMethods, method.Sel.Name):
		r.problem(call, "use Debug, Info, Warn or Error, not "+method.Sel.Name)
	case method.Sel.Name == "With":
		for _, key := range r.attributes(call.Args, false) {
			r.common[key] = true
		}
	case writes:
		r.readLine(call, level)
	}
}

// readLine reads a call that writes a line.
func (r *logReader) readLine(call *ast.CallExpr, level string) {
	message, ok := r.constant(call.Args[0])
	if !ok {
		r.problem(call, "message is no constant")
		return
	}
	line := logLine{level: level, attributes: r.attributes(call.Args[1:], call.Ellipsis.IsValid()),
		at: r.all.fset.Position(call.Pos()).String()}
	if other, again := r.lines[message]; again {
		if other.level != level {
			r.problem(call, fmt.Sprintf("%q has another level at %s", message, other.at))
		}
		line.attributes = append(line.attributes, other.attributes...)
	}
	slices.Sort(line.attributes)
	line.attributes = slices.Compact(line.attributes)
	r.lines[message] = line
}

// attributes returns the keys of a call's attributes; spread says that the last argument stands for
// many.
func (r *logReader) attributes(args []ast.Expr, spread bool) (keys []string) {
	for i := 0; i < len(args); i++ {
		call, isCall := args[i].(*ast.CallExpr)
		switch {
		case spread && i == len(args)-1:
			keys = append(keys, r.spreadOf(args[i])...)
		case isCall:
			keys = append(keys, r.attributeOf(call)...)
		default:
			names := r.key(args[i])
			if len(names) == 0 {
				r.problem(args[i], "key is no constant")
			}
			if i++; i == len(args) {
				r.problem(args[i-1], "key without a value")
			}
			keys = append(keys, names...)
		}
	}
	return keys
}

// key returns the constant that a key is, or, where it is a parameter of the function, the constants
// that the package's calls give for it.
func (r *logReader) key(expr ast.Expr) []string {
	if text, ok := r.constant(expr); ok {
		return []string{text}
	}
	name, ok := expr.(*ast.Ident)
	if !ok || r.enclosing == nil {
		return nil
	}
	index := 0
	for _, field := range r.enclosing.Type.Params.List {
		for _, parameter := range field.Names {
			if parameter.Name == name.Name {
				return r.argumentsOf(r.enclosing.Name.Name, index)
			}
			index++
		}
	}
	return nil
}

// argumentsOf returns the constants that the package gives a function for a parameter; none if one of
// them is no constant.
func (r *logReader) argumentsOf(function string, index int) (texts []string) {
	constant := true
	for _, declarations := range r.functions {
		for _, declaration := range declarations {
			ast.Inspect(declaration, func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok || calleeOf(call) != function || index >= len(call.Args) {
					return true
				}
				text, ok := r.constant(call.Args[index])
				constant = constant && ok
				texts = append(texts, text)
				return true
			})
		}
	}
	if !constant {
		return nil
	}
	return texts
}

// attributeOf returns the keys of an attribute that a call makes: of package slog, or a function of
// the package that returns one.
func (r *logReader) attributeOf(call *ast.CallExpr) (keys []string) {
	if owner, method, ok := selection(call.Fun); ok && owner == "slog" && len(call.Args) > 0 {
		if method != "Group" {
			return r.attributes([]ast.Expr{call.Args[0], call}, false)
		}
		for _, key := range r.attributes(call.Args[1:], call.Ellipsis.IsValid()) {
			keys = append(keys, r.groupName(call.Args[0])+"."+key)
		}
		return keys
	}
	for _, function := range r.functions[calleeOf(call)] {
		ast.Inspect(function, func(node ast.Node) bool {
			if result, ok := node.(*ast.ReturnStmt); ok && len(result.Results) == 1 {
				keys = append(keys, r.attributes(result.Results, false)...)
			}
			return true
		})
	}
	if len(keys) == 0 {
		r.problem(call, "attributes can't be read")
	}
	return keys
}

// spreadOf returns the keys of a list of attributes that a function of the package returns: those of
// all lists that it makes and of all that it appends.
func (r *logReader) spreadOf(expr ast.Expr) (keys []string) {
	if call, ok := expr.(*ast.CallExpr); ok {
		for _, function := range r.functions[calleeOf(call)] {
			ast.Inspect(function, func(node ast.Node) bool {
				switch node := node.(type) {
				case *ast.CompositeLit:
					if _, isList := node.Type.(*ast.ArrayType); isList {
						keys = append(keys, r.attributesIn(node)...)
					}
				case *ast.CallExpr:
					if calleeOf(node) == "append" && len(node.Args) > 1 {
						keys = append(keys, r.attributes(node.Args[1:], node.Ellipsis.IsValid())...)
					}
				}
				return true
			})
		}
	}
	if len(keys) == 0 {
		r.problem(expr, "attributes can't be read")
	}
	return keys
}

// attributesIn returns the keys of a literal list of attributes; lists of another type have none.
func (r *logReader) attributesIn(list *ast.CompositeLit) []string {
	if element, ok := list.Type.(*ast.ArrayType).Elt.(*ast.Ident); !ok || element.Name != "any" {
		return nil
	}
	return r.attributes(list.Elts, false)
}

// groupName is a group's name, or how a page writes one that is made: "tierN" for a number behind a
// constant, "CLASS" for the name of a class.
func (r *logReader) groupName(expr ast.Expr) string {
	if text, ok := r.constant(expr); ok {
		return text
	}
	if owner, _, ok := selection(expr); ok {
		return strings.ToUpper(owner)
	}
	if call, ok := expr.(*ast.CallExpr); ok && len(call.Args) == 2 {
		if text, ok := r.constant(call.Args[0]); ok {
			return strings.TrimSuffix(text, "%d") + "N"
		}
	}
	r.problem(expr, "name of a group can't be read")
	return ""
}

// constant returns the text of an expression if that is constant.
func (r *logReader) constant(expr ast.Expr) (text string, ok bool) {
	if name, isName := expr.(*ast.Ident); isName {
		text, ok = r.constants[name.Name]
		return text, ok
	}
	return textOf(expr)
}

// problem notes what is wrong at a place in the code.
func (r *logReader) problem(at ast.Node, text string) {
	r.problems = append(r.problems, fmt.Sprintf("%s: log call: %s", r.all.fset.Position(at.Pos()), text))
}

// textOf returns the text of a literal.
func textOf(expr ast.Expr) (text string, ok bool) {
	literal, ok := expr.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// selection returns the names of an expression of the form owner.name.
func selection(expr ast.Expr) (owner, name string, ok bool) {
	selector, ok := expr.(*ast.SelectorExpr)
	if !ok {
		return "", "", false
	}
	x, ok := selector.X.(*ast.Ident)
	if !ok {
		return "", "", false
	}
	return x.Name, selector.Sel.Name, true
}

// calleeOf returns the name of the function or method that is called.
func calleeOf(call *ast.CallExpr) string {
	switch function := call.Fun.(type) {
	case *ast.Ident:
		return function.Name
	case *ast.SelectorExpr:
		return function.Sel.Name
	}
	return ""
}

// logPage is what the operations page says of the log.
type logPage struct {
	lines  map[string]logLine
	common []string // keys of every line
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
		page.common = append(page.common, span[1])
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
		line := logLine{level: summary[1], at: "docs/OPERATIONS.md"}
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
