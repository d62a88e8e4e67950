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

// module is the path of the Go module, the first part of its import paths.
const module = "ploverreel"

// repository holds the paths of the repository's files, relative to its root and with slashes, and
// its parsed Go files.
type repository struct {
	root    string
	paths   map[string]bool      // of files and directories
	goFiles map[string]*ast.File // by path
	fset    *token.FileSet
}

// readRepository reads the repository that this package is part of.
func readRepository(t *testing.T) *repository {
	t.Helper()
	repo := &repository{root: filepath.Join("..", ".."), paths: map[string]bool{}, goFiles: map[string]*ast.File{}, fset: token.NewFileSet()}
	err := filepath.WalkDir(repo.root, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(repo.root, file)
		if err != nil {
			return err
		}
		name = filepath.ToSlash(name)
		if entry.IsDir() && (name == ".git" || name == "bin") {
			return filepath.SkipDir
		}
		repo.paths[name] = true
		if path.Ext(name) != ".go" {
			return nil
		}
		source, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		return repo.add(name, source)
	})
	if err != nil {
		t.Fatal(err)
	}
	return repo
}

// repositoryOf returns a repository of Go files that exist only in a test.
func repositoryOf(t *testing.T, sources map[string]string) *repository {
	t.Helper()
	repo := &repository{paths: map[string]bool{}, goFiles: map[string]*ast.File{}, fset: token.NewFileSet()}
	for name, source := range sources {
		repo.paths[name] = true
		if err := repo.add(name, []byte(source)); err != nil {
			t.Fatal(err)
		}
	}
	return repo
}

// add parses a Go file and adds it.
func (repo *repository) add(name string, source []byte) error {
	parsed, err := parser.ParseFile(repo.fset, name, source, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	repo.goFiles[name] = parsed
	return nil
}

// isTest reports whether the name is that of a Go test file.
func isTest(name string) bool { return strings.HasSuffix(name, "_test.go") }

// importPaths returns the import paths of a file.
func importPaths(file *ast.File) []string {
	var paths []string
	for _, spec := range file.Imports {
		if imported, err := strconv.Unquote(spec.Path.Value); err == nil {
			paths = append(paths, imported)
		}
	}
	return paths
}

// pages returns the paths of README.md and of the pages under docs.
func (repo *repository) pages(t *testing.T) []string {
	t.Helper()
	pages := []string{"README.md"}
	for name := range repo.paths {
		if path.Dir(name) == "docs" && path.Ext(name) == ".md" {
			pages = append(pages, name)
		}
	}
	if len(pages) < 2 {
		t.Fatal("no pages found under docs")
	}
	return pages
}

// read returns the text of a file of the repository.
func (repo *repository) read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repo.root, filepath.FromSlash(name)))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
