package docs

import (
	"fmt"
	"go/ast"
	"go/token"
	"maps"
	"path"
	"slices"
	"strconv"
	"strings"
)

// logReader collects the log lines of one package.
type logReader struct {
	repo      *repository
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
func (repo *repository) logLines(folders []string) (lines map[string]logLine, common, problems []string) {
	reader := &logReader{repo: repo, lines: map[string]logLine{}, common: map[string]bool{}}
	for _, folder := range folders {
		files := repo.folder(folder)
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
func (repo *repository) packagesOf(program string) []string {
	folders, seen := []string{program}, map[string]bool{program: true}
	for i := 0; i < len(folders); i++ {
		for _, file := range repo.folder(folders[i]) {
			for _, imported := range importPaths(file) {
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
func (repo *repository) folder(folder string) map[string]*ast.File {
	files := map[string]*ast.File{}
	for name, file := range repo.goFiles {
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
	for _, imported := range importPaths(file) {
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
		at: r.repo.fset.Position(call.Pos()).String()}
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
	r.problems = append(r.problems, fmt.Sprintf("%s: log call: %s", r.repo.fset.Position(at.Pos()), text))
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
