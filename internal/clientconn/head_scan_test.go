package clientconn

import (
	"strings"
	"testing"
)

// A scan finds the end of a head and counts its header lines, in whatever pieces the text arrives.
func TestHeadScanFindsTheEnd(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		lines  int
		ended  bool
		behind string
	}{
		"nothing":                        {text: ""},
		"request line":                   {text: "GET / HTTP/1.1\r\n"},
		"unfinished line":                {text: "GET / HTTP/1.1\r\nA: b\r\nC", lines: 1},
		"whole":                          {text: "GET / HTTP/1.1\r\nA: b\r\nC: d\r\n\r\n", lines: 2, ended: true},
		"line feeds alone":               {text: "GET / HTTP/1.1\nA: b\nC: d\n\nbody", lines: 2, ended: true, behind: "body"},
		"body":                           {text: "GET / HTTP/1.1\r\nA: b\r\n\r\n\n\n\n", lines: 1, ended: true, behind: "\n\n\n"},
		"blank lines ahead":              {text: "\r\n\r\nGET / HTTP/1.1\r\nA: b\r\n\r\n", lines: 1, ended: true},
		"folded line":                    {text: "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", lines: 2, ended: true},
		"white space alone is not blank": {text: "GET / HTTP/1.1\r\n \r\nA: b\r\n", lines: 2},
	} {
		t.Run(name, func(t *testing.T) {
			for pieceSize := 1; pieceSize <= max(len(test.text), 1); pieceSize++ {
				var scan headScan
				var behind strings.Builder
				for rest := test.text; rest != ""; rest = rest[min(pieceSize, len(rest)):] {
					behind.Write(scan.scan([]byte(rest[:min(pieceSize, len(rest))])))
				}
				if scan.headerLines() != test.lines || scan.ended != test.ended || behind.String() != test.behind {
					t.Errorf("pieces of %d: got %d lines, ended %v and %q behind the head, want %d, %v and %q",
						pieceSize, scan.headerLines(), scan.ended, behind.String(), test.lines, test.ended, test.behind)
				}
				if want := len(test.text) - len(test.behind); scan.size != want {
					t.Errorf("pieces of %d: got a head of %d bytes, want %d", pieceSize, scan.size, want)
				}
			}
		})
	}
}
