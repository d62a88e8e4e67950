package discovery

import (
	"bytes"
	"errors"
	"io"
)

var errListTooLong = errors.New("list: exceeds the size limit")

// listReader reads the response to a watch. The response consists of lists, each of one or more
// lines, and of white space between them, which serves as a heartbeat. White space within a list is
// no heartbeat, so a list must be complete within the idle timeout. Its size is at most
// maxListBytes.
type listReader struct {
	source     io.Reader
	onActivity func() // called on data that resets the idle timeout
	listBytes  int    // bytes read of an incomplete list; 0 between lists
}

// Read reads from the response. It returns errListTooLong if the current list exceeds maxListBytes,
// and otherwise the error of the connection.
func (r *listReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	betweenLists := r.listBytes == 0
	r.addBytes(p[:n])
	if n > 0 && betweenLists {
		r.onActivity()
	}
	if r.listBytes > maxListBytes {
		return 0, errListTooLong
	}
	return n, err
}

// addBytes adds text to the size of the current list. White space between lists is not added.
func (r *listReader) addBytes(text []byte) {
	if r.listBytes > 0 || len(bytes.TrimSpace(text)) > 0 {
		r.listBytes += len(text)
	}
}

// listDecoded is called after each complete list; rest holds the bytes that were read after it.
func (r *listReader) listDecoded(rest io.Reader) {
	r.onActivity()
	r.listBytes = 0
	text, _ := io.ReadAll(rest) // can't fail: rest is in memory
	r.addBytes(text)
}
