package backend

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"sync"
)

// Names of the header fields that say where the body of a response ends.
const (
	contentLengthField    = "Content-Length"
	transferEncodingField = "Transfer-Encoding"
)

// responseReader reads the responses on a connection. It reads each head as text before net/http
// parses it, because the parsed response does not tell whether its length is ambiguous. An attempt
// gets one from responseReaders while it reads.
type responseReader struct {
	source  *bufio.Reader // reads from the connection
	message *bufio.Reader // reads one head, and then what follows it in source
	head    []byte        // the head that was read last; its memory is reused
}

// responseReaders holds the readers. They are not part of the connections because only an attempt
// that reads a response needs one.
var responseReaders = sync.Pool{New: func() any {
	return &responseReader{source: bufio.NewReader(nil), message: bufio.NewReader(nil)}
}}

// newResponseReader returns a reader of the responses on the connection. The caller must release
// it.
func newResponseReader(conn io.Reader) *responseReader {
	reader := responseReaders.Get().(*responseReader)
	reader.source.Reset(conn)
	return reader
}

// release makes the reader available to other attempts.
func (r *responseReader) release() {
	r.source.Reset(nil)
	r.message.Reset(nil)
	responseReaders.Put(r)
}

// buffered returns the number of bytes that were read from the connection but belong to no response.
func (r *responseReader) buffered() int { return r.source.Buffered() + r.message.Buffered() }

// readHead reads the head of one response to a request. The body of the response that it returns is
// still unread. It returns errAmbiguousLength if the fields that delimit the body contradict each
// other or are not used by net/http.
func (r *responseReader) readHead(request *http.Request) (*http.Response, error) {
	if err := r.readHeadText(); err != nil {
		return nil, err
	}
	r.message.Reset(io.MultiReader(bytes.NewReader(r.head), r.source))
	response, err := http.ReadResponse(r.message, request)
	if err == nil && hasAmbiguousLength(response, r.head) {
		err = errAmbiguousLength
	}
	return response, err
}

// readHeadText reads the text of one head, up to and including the blank line that ends it. It
// returns errResponseTooLong if there are more than maxHeadLines before that line. The connection's
// read budget bounds the size of the text.
func (r *responseReader) readHeadText() error {
	r.head = r.head[:0]
	for range maxHeadLines + 1 {
		lineStart := len(r.head)
		err := r.readLine()
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(r.head[lineStart:], "\r\n")) == 0 {
			return nil
		}
	}
	return errResponseTooLong
}

// readLine appends the next line to the head, with its line feed.
func (r *responseReader) readLine() error {
	for {
		part, err := r.source.ReadSlice('\n')
		r.head = append(r.head, part...)
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// hasAmbiguousLength reports whether the head of a response has a field that delimits the body and
// that net/http has not used, so that another reader could find another end of the body. This is so
// with both fields, with a Transfer-Encoding in HTTP/1.0, which RFC 9112, section 6.1, declares
// invalid, and with white space behind the name of such a field.
func hasAmbiguousLength(response *http.Response, head []byte) bool {
	usedEncoding, usedLength := len(response.TransferEncoding) > 0, response.ContentLength >= 0
	return !usedEncoding && hasField(head, transferEncodingField) || !usedLength && hasField(head, contentLengthField)
}

// hasField reports whether a head contains a header field of the name, in any case and also with
// white space around it.
func hasField(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		field, _, found := bytes.Cut(line, []byte(":"))
		if found && bytes.EqualFold(bytes.TrimSpace(field), []byte(name)) {
			return true
		}
	}
	return false
}
