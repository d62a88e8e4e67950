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

// logReader collects the log lines of packages, one package after the other.
type logReader struct {
	repo       *repository
	constants  map[string]string          // string constants of the package, by name
	functions  map[string][]*ast.FuncDecl // functions and methods of the package, by name
	imports    map[string]bool            // names of the packages that the file imports, except log/slog
	enclosing  *ast.FuncDecl              // function that is being read
	lines      map[string]logLine         // by message
	commonKeys map[string]bool            // keys that the logger adds to each line
	problems   []string
}

// logLines returns the lines that the packages in the directories can log, by message, the keys
// that every line has, and the problems with log calls.
func (repo *repository) logLines(dirs []string) (lines map[string]logLine, commonKeys, problems []string) {
	reader := &logReader{repo: repo, lines: map[string]logLine{}, commonKeys: map[string]bool{}}
	for _, dir := range dirs {
		files := repo.goFilesIn(dir)
		reader.constants, reader.functions = map[string]string{}, map[string][]*ast.FuncDecl{}
		for _, file := range files {
			reader.addDeclarations(file)
		}
		for _, name := range slices.Sorted(maps.Keys(files)) {
			reader.readFile(files[name])
		}
	}
	return reader.lines, slices.Sorted(maps.Keys(reader.commonKeys)), reader.problems
}

// packageDirs returns the directories of the module's packages that a program consists of, starting
// with the program's own.
func (repo *repository) packageDirs(program string) []string {
	dirs, seen := []string{program}, map[string]bool{program: true}
	for i := 0; i < len(dirs); i++ {
		for _, file := range repo.goFilesIn(dirs[i]) {
			for _, imported := range importPaths(file) {
				dir, inModule := strings.CutPrefix(imported, module+"/")
				if inModule && !seen[dir] {
					seen[dir] = true
					dirs = append(dirs, dir)
				}
			}
		}
	}
	return dirs
}

// goFilesIn returns the Go files of one directory except tests, by path.
func (repo *repository) goFilesIn(dir string) map[string]*ast.File {
	files := map[string]*ast.File{}
	for name, file := range repo.goFiles {
		if path.Dir(name) == dir && !isTest(name) {
			files[name] = file
		}
	}
	return files
}

// addDeclarations adds the functions and the string constants of a file.
func (r *logReader) addDeclarations(file *ast.File) {
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
					if text, ok := stringLiteral(value); ok {
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

// readCall reads a call of a logger and ignores any other call. A call is one of a logger if it has
// an argument and its method has the name of a logger's method. A function of an imported package
// isn't one.
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
		r.addProblem(call, "use Debug, Info, Warn or Error, not "+method.Sel.Name)
	case method.Sel.Name == "With":
		for _, key := range r.attributeKeys(call.Args, false) {
			r.commonKeys[key] = true
		}
	case writes:
		r.readLine(call, level)
	}
}

// readLine adds the line that a log call writes.
func (r *logReader) readLine(call *ast.CallExpr, level string) {
	message, ok := r.constantText(call.Args[0])
	if !ok {
		r.addProblem(call, "message isn't a constant")
		return
	}
	line := logLine{level: level, attributes: r.attributeKeys(call.Args[1:], call.Ellipsis.IsValid()),
		position: r.repo.fset.Position(call.Pos()).String()}
	if other, exists := r.lines[message]; exists {
		if other.level != level {
			r.addProblem(call, fmt.Sprintf("%q has another level at %s", message, other.position))
		}
		line.attributes = append(line.attributes, other.attributes...)
	}
	slices.Sort(line.attributes)
	line.attributes = slices.Compact(line.attributes)
	r.lines[message] = line
}

// constantText returns the value of an expression that is a string literal or constant.
func (r *logReader) constantText(expr ast.Expr) (text string, ok bool) {
	if name, isName := expr.(*ast.Ident); isName {
		text, ok = r.constants[name.Name]
		return text, ok
	}
	return stringLiteral(expr)
}

// addProblem adds a problem with the log call at a node.
func (r *logReader) addProblem(node ast.Node, text string) {
	r.problems = append(r.problems, fmt.Sprintf("%s: log call: %s", r.repo.fset.Position(node.Pos()), text))
}

// stringLiteral returns the value of a string literal.
func stringLiteral(expr ast.Expr) (text string, ok bool) {
	literal, ok := expr.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// selection returns the two names of an expression of the form owner.name.
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

// calleeOf returns the name of the function or method that a call calls.
func calleeOf(call *ast.CallExpr) string {
	switch function := call.Fun.(type) {
	case *ast.Ident:
		return function.Name
	case *ast.SelectorExpr:
		return function.Sel.Name
	}
	return ""
}
