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

// nameIndex holds the names that a page may use for parts of a repository.
type nameIndex struct {
	paths      map[string]bool            // of files and directories
	files      map[string]bool            // names of files, without their directories
	extensions map[string]bool            // of file names, such as ".go"
	imports    map[string]bool            // paths of imported packages outside the module
	tests      []string                   // names of the functions that 'go test' runs
	members    map[string]map[string]bool // by type: its fields and methods; by package: its declarations
	declared   map[string]bool            // all declared names
	literals   map[string]bool            // JSON keys of struct fields, and string literals
}

// nameIndex collects the names of the repository.
func (repo *repository) nameIndex() *nameIndex {
	index := &nameIndex{paths: repo.paths, files: map[string]bool{}, extensions: map[string]bool{}, imports: map[string]bool{},
		members: map[string]map[string]bool{}, declared: map[string]bool{}, literals: map[string]bool{}}
	for _, name := range types.Universe.Names() {
		index.declared[name] = true
	}
	for name := range repo.paths {
		index.files[path.Base(name)] = true
		index.extensions[path.Ext(name)] = true
	}
	embedded := map[string][]string{}
	for name, file := range repo.goFiles {
		for _, imported := range importPaths(file) {
			if !strings.HasPrefix(imported, module+"/") {
				index.imports[imported] = true
			}
		}
		index.addDeclarations(file, isTest(name), embedded)
		if !isTest(name) {
			index.addLiterals(file)
		}
	}
	for range embedded { // one pass for each type that embeds others, as embedding can be nested
		for owner, parts := range embedded {
			for _, part := range parts {
				for member := range index.members[part] {
					index.addMember(owner, member)
				}
			}
		}
	}
	return index
}

// addMember adds a name that a type or a package has.
func (n *nameIndex) addMember(owner, name string) {
	if n.members[owner] == nil {
		n.members[owner] = map[string]bool{}
	}
	n.members[owner][name] = true
}

// addDeclarations adds the names that a file declares. Of a test file it adds only the tests, since
// pages don't describe test helpers.
func (n *nameIndex) addDeclarations(file *ast.File, test bool, embedded map[string][]string) {
	addTopLevel := func(name string) {
		n.declared[name] = true
		n.addMember(file.Name.Name, name)
	}
	if !test {
		n.declared[file.Name.Name] = true
	}
	for _, declaration := range file.Decls {
		function, isFunction := declaration.(*ast.FuncDecl)
		switch {
		case test && isFunction && function.Recv == nil && isTestName(function.Name.Name):
			n.tests = append(n.tests, function.Name.Name)
		case test:
		case isFunction && function.Recv != nil:
			n.declared[function.Name.Name] = true
			n.addMember(typeName(function.Recv.List[0].Type), function.Name.Name)
		case isFunction:
			addTopLevel(function.Name.Name)
		default:
			for _, spec := range declaration.(*ast.GenDecl).Specs {
				switch spec := spec.(type) {
				case *ast.ValueSpec:
					for _, name := range spec.Names {
						addTopLevel(name.Name)
					}
				case *ast.TypeSpec:
					addTopLevel(spec.Name.Name)
					n.addMembers(spec, embedded)
				}
			}
		}
	}
}

// addMembers adds the fields of a struct and their JSON keys, or the methods of an interface.
func (n *nameIndex) addMembers(spec *ast.TypeSpec, embedded map[string][]string) {
	ast.Inspect(spec.Type, func(node ast.Node) bool {
		field, ok := node.(*ast.Field)
		if !ok {
			return true
		}
		for _, name := range field.Names {
			n.declared[name.Name] = true
			n.addMember(spec.Name.Name, name.Name)
		}
		if len(field.Names) == 0 {
			embedded[spec.Name.Name] = append(embedded[spec.Name.Name], typeName(field.Type))
		}
		if field.Tag != nil {
			tag, _ := strconv.Unquote(field.Tag.Value)
			key, _, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
			n.literals[key] = true
		}
		return true
	})
}

// addLiterals adds the string literals of a file, such as keys, values of settings, flags and
// attributes.
func (n *nameIndex) addLiterals(file *ast.File) {
	ast.Inspect(file, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				n.literals[text] = true
			}
		}
		return true
	})
}

// typeName returns the name of a type without its package, pointer and type parameters. It returns
// "" for a type without a name.
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
