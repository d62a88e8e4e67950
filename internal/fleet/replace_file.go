package fleet

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// fileMode is the mode of the files that the bench writes.
const fileMode = 0o644

// ReplaceFile writes data to path whole or not at all: to a temporary file in the same folder,
// which is synced and then renamed to path. After an error the file that was at path before is
// still there as it was, or, where only the last sync of the folder failed, the new one, whole.
// A process that is killed meanwhile may leave the temporary file, PATH.tmp-N. What is no
// regular file, such as a device, is written to directly.
func ReplaceFile(path string, data []byte) error {
	if info, err := os.Stat(path); err == nil {
		if !info.Mode().IsRegular() {
			return os.WriteFile(path, data, fileMode)
		}
		if path, err = filepath.EvalSymlinks(path); err != nil { // the link stays
			return fmt.Errorf("replace file: %w", err)
		}
	}
	return replaceFile(osFileSystem{}, path, data)
}

// fileSystem holds the calls of the operating system that replaceFile makes; tests make its calls fail.
type fileSystem interface {
	CreateTemp(dir, pattern string) (temporaryFile, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
}

// temporaryFile is an open file that is being written.
type temporaryFile interface {
	io.WriteCloser
	Name() string
	Chmod(mode fs.FileMode) error
	Sync() error
}

// osFileSystem is the real one.
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

// replaceFile is ReplaceFile on any file system.
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

// writeAndSync leaves the data and the mode on the disk, or returns why it could not.
func writeAndSync(file temporaryFile, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Chmod(fileMode); err != nil {
		return err
	}
	return file.Sync()
}
