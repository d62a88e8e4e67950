package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// module is the path of the module in imports.
const module = "ploverreel"

// tree is the repository: the paths of its files, with slashes and from its root, and its Go files.
type tree struct {
	root    string
	paths   map[string]bool // of files and folders
	sources map[string]*ast.File
	fset    *token.FileSet
}

// readTree reads the repository that this package is part of.
func readTree(t *testing.T) *tree {
	t.Helper()
	all := &tree{root: filepath.Join("..", ".."), paths: map[string]bool{}, sources: map[string]*ast.File{}, fset: token.NewFileSet()}
	err := filepath.WalkDir(all.root, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(all.root, file)
		if err != nil {
			return err
		}
		name = filepath.ToSlash(name)
		if entry.IsDir() && (name == ".git" || name == "bin") {
			return filepath.SkipDir
		}
		all.paths[name] = true
		if path.Ext(name) != ".go" {
			return nil
		}
		source, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		return all.add(name, source)
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// treeOf returns a tree of Go files that exist in a test alone.
func treeOf(t *testing.T, sources map[string]string) *tree {
	t.Helper()
	all := &tree{paths: map[string]bool{}, sources: map[string]*ast.File{}, fset: token.NewFileSet()}
	for name, source := range sources {
		all.paths[name] = true
		if err := all.add(name, []byte(source)); err != nil {
			t.Fatal(err)
		}
	}
	return all
}

// add parses a Go file.
func (all *tree) add(name string, source []byte) error {
	parsed, err := parser.ParseFile(all.fset, name, source, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	all.sources[name] = parsed
	return nil
}

// isTest reports whether a Go file is a test file.
func isTest(name string) bool { return strings.HasSuffix(name, "_test.go") }

// importsOf returns the import paths of a file.
func importsOf(file *ast.File) []string {
	var paths []string
	for _, spec := range file.Imports {
		if imported, err := strconv.Unquote(spec.Path.Value); err == nil {
			paths = append(paths, imported)
		}
	}
	return paths
}

// pages returns the README's and the pages' names.
func (all *tree) pages(t *testing.T) []string {
	t.Helper()
	pages := []string{"README.md"}
	for name := range all.paths {
		if path.Dir(name) == "docs" && path.Ext(name) == ".md" {
			pages = append(pages, name)
		}
	}
	if len(pages) < 2 {
		t.Fatal("no pages under docs")
	}
	return pages
}

// read returns the text of a file of the repository.
func (all *tree) read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(all.root, filepath.FromSlash(name)))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
