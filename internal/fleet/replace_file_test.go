package fleet

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// failingFileSystem is the file system of the operating system, except that one of its calls fails.
// A failing write writes half of the data; a failing close closes the file.
type failingFileSystem struct {
	osFileSystem
	failingCall string
	err         error
}

func (f failingFileSystem) CreateTemp(dir, pattern string) (temporaryFile, error) {
	if f.failingCall == "create" {
		return nil, f.err
	}
	file, err := f.osFileSystem.CreateTemp(dir, pattern)
	return failingFile{file, f}, err
}

func (f failingFileSystem) Rename(from, to string) error {
	if f.failingCall == "rename" {
		return f.err
	}
	return f.osFileSystem.Rename(from, to)
}

func (f failingFileSystem) SyncDir(dir string) error {
	if f.failingCall == "sync folder" {
		return f.err
	}
	return f.osFileSystem.SyncDir(dir)
}

type failingFile struct {
	temporaryFile
	fileSystem failingFileSystem
}

func (f failingFile) Write(data []byte) (int, error) {
	if f.fileSystem.failingCall == "write" { // the disk has space for half of the data
		n, err := f.temporaryFile.Write(data[:len(data)/2])
		return n, errors.Join(err, f.fileSystem.err)
	}
	return f.temporaryFile.Write(data)
}

func (f failingFile) Sync() error {
	if f.fileSystem.failingCall == "sync" {
		return f.fileSystem.err
	}
	return f.temporaryFile.Sync()
}

func (f failingFile) Close() error {
	err := f.temporaryFile.Close()
	if f.fileSystem.failingCall == "close" {
		return f.fileSystem.err
	}
	return err
}

// Whichever call fails, the file has its complete old or new content, and no temporary file is
// left.
func TestReplaceFileKeepsOldFileWhenWriteFails(t *testing.T) {
	const before, after = "the old text", "the new text, longer"
	for _, call := range []string{"create", "write", "sync", "close", "rename", "sync folder"} {
		for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
			path := filepath.Join(t.TempDir(), "result.json")
			if err := os.WriteFile(path, []byte(before), fileMode); err != nil {
				t.Fatal(err)
			}
			if err := replaceFile(failingFileSystem{failingCall: call, err: cause}, path, []byte(after)); !errors.Is(err, cause) {
				t.Errorf("%s fails: got error %v, want %v", call, err, cause)
			}
			want := before
			if call == "sync folder" { // the file has been renamed already
				want = after
			}
			text, err := os.ReadFile(path)
			if err != nil || string(text) != want {
				t.Errorf("%s fails with %v: got text %q (%v), want %q", call, cause, text, err, want)
			}
			files, err := os.ReadDir(filepath.Dir(path))
			if err != nil || len(files) != 1 {
				t.Errorf("%s fails with %v: got %d files (%v), want 1", call, cause, len(files), err)
			}
		}
	}
}

// ReplaceFile writes the new content with the right mode, follows a symbolic link and keeps it, and
// writes directly to a device.
func TestReplaceFileKeepsLinksAndDevices(t *testing.T) {
	dir := t.TempDir()
	path, link := filepath.Join(dir, "result.json"), filepath.Join(dir, "link")
	if err := os.Symlink(path, link); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{path, link, os.DevNull} {
		if err := ReplaceFile(name, []byte("of "+name)); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil || string(text) != "of "+link {
		t.Errorf("got text %q (%v), want %q", text, err, "of "+link)
	}
	for name, want := range map[string]os.FileMode{path: fileMode, link: os.ModeSymlink, os.DevNull: os.ModeDevice} {
		info, err := os.Lstat(name)
		if err != nil || info.Mode()&want != want {
			t.Errorf("%s: got mode %v (%v), want %v", name, info.Mode(), err, want)
		}
	}
}

// Save returns the error of a failed write.
func TestSaveReportsFailedWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "folder")
	if err := os.Mkdir(path, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := NewResult("decide", nil, TargetSize()).Save(path, nil); !errors.Is(err, syscall.EISDIR) {
		t.Errorf("got error %v, want %v", err, syscall.EISDIR)
	}
}
