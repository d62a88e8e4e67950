package discovery

import (
	"bytes"
	"errors"
	"io"
)

var errListTooLong = errors.New("list: longer than any may be")

// listReader reads the text of a watch: lists, each of them over one line or many, and white space
// between them as a sign of life. A list that has begun must be complete within the time that a
// watch may be silent, and within maxListBytes.
type listReader struct {
	from  io.Reader
	heard func() // is called when something came that proves the watch alive
	begun int    // bytes of the list that is coming; 0: between two
}

// Read reads from the watch. Its error is errListTooLong in the midst of a list of over maxListBytes,
// else that of the connection.
func (r *listReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	between := r.begun == 0
	r.count(p[:n])
	if n > 0 && between {
		r.heard()
	}
	if r.begun > maxListBytes {
		return 0, errListTooLong
	}
	return n, err
}

// count adds text to the list that is coming, if it has begun or begins with it.
func (r *listReader) count(text []byte) {
	if r.begun > 0 || len(bytes.TrimSpace(text)) > 0 {
		r.begun += len(text)
	}
}

// next is called after a list; rest is what was read behind it.
func (r *listReader) next(rest io.Reader) {
	r.heard()
	r.begun = 0
	text, _ := io.ReadAll(rest) // of memory: it can't fail
	r.count(text)
}
