package policy

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFilesStayReadable bounds the number of lines of every non-test file of the package, so that each
// file covers one concern, and the width of the lines.
func TestFilesStayReadable(t *testing.T) {
	const mostLines, mostColumns = 320, 110
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	read := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		read++
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for scanner := bufio.NewScanner(bytes.NewReader(text)); scanner.Scan(); {
			lines++
			if width := len(strings.ReplaceAll(scanner.Text(), "\t", "    ")); width > mostColumns {
				t.Errorf("%s:%d: got %d characters, want %d at most", name, lines, width, mostColumns)
			}
		}
		if lines > mostLines {
			t.Errorf("%s: got %d lines, want %d at most", name, lines, mostLines)
		}
	}
	if read == 0 {
		t.Error("got no file, want some")
	}
}
