package fleet

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// fileMode is the mode of the files that fleetbench writes.
const fileMode = 0o644

// ReplaceFile atomically replaces the file at path. It writes data to a temporary file in the same
// directory, syncs that file, renames it to path and syncs the directory. After an error path has
// its old content, unchanged. If only the sync of the directory failed, it has the new content,
// complete. A process that is killed meanwhile may leave the temporary file, PATH.tmp-N, behind. A
// path that is not a regular file, such as a device, is written to directly.
func ReplaceFile(path string, data []byte) error {
	if info, err := os.Stat(path); err == nil {
		if !info.Mode().IsRegular() {
			return os.WriteFile(path, data, fileMode)
		}
		if path, err = filepath.EvalSymlinks(path); err != nil { // replace the link's target, not the link
			return fmt.Errorf("replace file: %w", err)
		}
	}
	return replaceFile(osFileSystem{}, path, data)
}

// fileSystem has the file system operations that replaceFile uses. Tests replace it to make them
// fail.
type fileSystem interface {
	CreateTemp(dir, pattern string) (temporaryFile, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
}

// temporaryFile is the temporary file that replaceFile writes to.
type temporaryFile interface {
	io.WriteCloser
	Name() string
	Chmod(mode fs.FileMode) error
	Sync() error
}

// osFileSystem is the fileSystem of the operating system.
type osFileSystem struct{}

func (osFileSystem) CreateTemp(dir, pattern string) (temporaryFile, error) {
	return os.CreateTemp(dir, pattern)
}

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (osFileSystem) Remove(path string) error { return os.Remove(path) }

func (osFileSystem) SyncDir(dir string) error {
	opened, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(opened.Sync(), opened.Close())
}

// replaceFile does the work of ReplaceFile for a regular or a new file, on the given file system.
func replaceFile(files fileSystem, path string, data []byte) error {
	dir := filepath.Dir(path)
	temporary, err := files.CreateTemp(dir, filepath.Base(path)+".tmp-*")
	if err != nil {
		return fmt.Errorf("replace file: %w", err)
	}
	err = errors.Join(writeAndSync(temporary, data), temporary.Close())
	if err == nil {
		err = files.Rename(temporary.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("replace file: %w", errors.Join(err, files.Remove(temporary.Name())))
	}
	if err := files.SyncDir(dir); err != nil {
		return fmt.Errorf("replace file: %w", err)
	}
	return nil
}

// writeAndSync writes the data, sets the mode to fileMode and syncs the file.
func writeAndSync(file temporaryFile, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Chmod(fileMode); err != nil {
		return err
	}
	return file.Sync()
}
