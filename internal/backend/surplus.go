package backend

import (
	"bytes"
	"io"
	"net/http"

	"ploverreel/internal/socket"
)

// maxSurplus bounds, in bytes, how much surplus is read to compare it with the response. No valid
// response is longer.
const maxSurplus = maxResponseHead + maxResponseBody

// checkSurplus returns errSurplus if more bytes have arrived on the connection than the response has
// by its own length. That length may then be wrong, and the body only a part of what the backend
// sent. The one surplus that leaves the response intact is a second copy of it. On a reused
// connection, another second response shows that the first one may belong to an earlier request.
//
// Bytes that arrive later are not awaited. They keep the connection from being reused.
func checkSurplus(conn *pooledConn, reader *responseReader, request *http.Request, result *Result) (surplus bool, err error) {
	if reader.buffered() == 0 && socket.Peek(conn.Conn) != socket.PeekUnread {
		return false, nil
	}
	if isSecondCopy(readSurplus(conn, reader), request, result) {
		return true, nil
	}
	return true, errSurplus
}

// readSurplus returns the bytes behind the response that have arrived, up to maxSurplus. It does not
// wait for more.
func readSurplus(conn *pooledConn, reader *responseReader) []byte {
	surplus := reader.takeBuffered()
	conn.readBudget = max(maxSurplus-len(surplus), 0)
	for conn.readBudget > 0 && socket.Peek(conn.Conn) == socket.PeekUnread {
		chunk := make([]byte, conn.readBudget)
		n, err := conn.Read(chunk)
		surplus = append(surplus, chunk[:n]...)
		if err != nil {
			break
		}
	}
	return surplus
}

// isSecondCopy reports whether the surplus behind a response begins with a whole response that says
// the same as the first.
func isSecondCopy(surplus []byte, request *http.Request, result *Result) bool {
	reader := newResponseReader(bytes.NewReader(surplus))
	defer reader.release()
	response, err := readFinalHead(reader, request)
	if err != nil || response.ContentLength > maxResponseBody || lastsUntilEnd(response) {
		return false
	}
	body, err := readBody(response.Body, response.ContentLength)
	if err != nil {
		return false
	}
	second := resultOf(response, body)
	return second.Status == result.Status && bytes.Equal(second.Body, result.Body)
}

// takeBuffered returns the bytes that were read from the connection but belong to no response, and
// removes them from the reader.
func (r *responseReader) takeBuffered() []byte {
	taken := make([]byte, r.buffered())
	fromMessage := r.message.Buffered()
	_, _ = io.ReadFull(r.message, taken[:fromMessage])
	_, _ = io.ReadFull(r.source, taken[fromMessage:])
	return taken
}
