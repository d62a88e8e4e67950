package docs

import (
	"go/ast"
	"go/token"
	"go/types"
	"path"
	"reflect"
	"strconv"
	"strings"
)

// names are all names of a tree.
type names struct {
	paths   map[string]bool            // of files and folders
	files   map[string]bool            // names of files, without their folders
	endings map[string]bool            // of files
	imports map[string]bool            // paths of packages that are imported from elsewhere
	tests   []string                   // functions that 'go test' runs
	members map[string]map[string]bool // fields and methods of types, and what packages declare
	words   map[string]bool            // all that is declared
	texts   map[string]bool            // keys of JSON, and texts that stand in the code
}

// names collects the names of the tree.
func (repo *repository) names() *names {
	known := &names{paths: repo.paths, files: map[string]bool{}, endings: map[string]bool{}, imports: map[string]bool{},
		members: map[string]map[string]bool{}, words: map[string]bool{}, texts: map[string]bool{}}
	for _, name := range types.Universe.Names() {
		known.words[name] = true
	}
	for name := range repo.paths {
		known.files[path.Base(name)] = true
		known.endings[path.Ext(name)] = true
	}
	embedded := map[string][]string{}
	for name, file := range repo.goFiles {
		for _, imported := range importPaths(file) {
			if !strings.HasPrefix(imported, module+"/") {
				known.imports[imported] = true
			}
		}
		known.declare(file, isTest(name), embedded)
		if !isTest(name) {
			known.addTexts(file)
		}
	}
	for range embedded { // as often as embedding may be nested
		for owner, inner := range embedded {
			for _, part := range inner {
				for member := range known.members[part] {
					known.member(owner, member)
				}
			}
		}
	}
	return known
}

// member notes a name that a type or a package has.
func (n *names) member(owner, name string) {
	if n.members[owner] == nil {
		n.members[owner] = map[string]bool{}
	}
	n.members[owner][name] = true
}

// declare notes what a file declares. Of a test file these are its tests alone: helpers of tests are
// not what a page is about.
func (n *names) declare(file *ast.File, test bool, embedded map[string][]string) {
	declared := func(name string) {
		n.words[name] = true
		n.member(file.Name.Name, name)
	}
	if !test {
		n.words[file.Name.Name] = true
	}
	for _, declaration := range file.Decls {
		function, isFunction := declaration.(*ast.FuncDecl)
		switch {
		case test && isFunction && function.Recv == nil && isTestName(function.Name.Name):
			n.tests = append(n.tests, function.Name.Name)
		case test:
		case isFunction && function.Recv != nil:
			n.words[function.Name.Name] = true
			n.member(typeName(function.Recv.List[0].Type), function.Name.Name)
		case isFunction:
			declared(function.Name.Name)
		default:
			for _, spec := range declaration.(*ast.GenDecl).Specs {
				switch spec := spec.(type) {
				case *ast.ValueSpec:
					for _, name := range spec.Names {
						declared(name.Name)
					}
				case *ast.TypeSpec:
					declared(spec.Name.Name)
					n.declareMembers(spec, embedded)
				}
			}
		}
	}
}

// declareMembers notes the fields of a struct with their keys of JSON, or the methods of an interface.
func (n *names) declareMembers(spec *ast.TypeSpec, embedded map[string][]string) {
	ast.Inspect(spec.Type, func(node ast.Node) bool {
		field, ok := node.(*ast.Field)
		if !ok {
			return true
		}
		for _, name := range field.Names {
			n.words[name.Name] = true
			n.member(spec.Name.Name, name.Name)
		}
		if len(field.Names) == 0 {
			embedded[spec.Name.Name] = append(embedded[spec.Name.Name], typeName(field.Type))
		}
		if field.Tag != nil {
			tag, _ := strconv.Unquote(field.Tag.Value)
			key, _, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
			n.texts[key] = true
		}
		return true
	})
}

// addTexts notes the texts that stand in a file's code: keys, values of settings, flags, attributes.
func (n *names) addTexts(file *ast.File) {
	ast.Inspect(file, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				n.texts[text] = true
			}
		}
		return true
	})
}

// typeName is the name of a type, without its package, its pointer and its parameters.
func typeName(expr ast.Expr) string {
	switch expr := expr.(type) {
	case *ast.Ident:
		return expr.Name
	case *ast.StarExpr:
		return typeName(expr.X)
	case *ast.SelectorExpr:
		return expr.Sel.Name
	case *ast.IndexExpr:
		return typeName(expr.X)
	}
	return ""
}
