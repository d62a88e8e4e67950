package backend

import (
	"bufio"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"ploverreel/policy"
)

// Bounds of what is read from a backend.
const (
	maxAnswerBody = 64 << 10 // bytes of an answer's body
	maxAnswerHead = 16 << 10 // bytes of an answer's head, with the 1xx answers ahead of it
	maxInterim    = 8        // 1xx answers ahead of an answer
)

// answer reads the answer to the request and reports whether the connection can be used again. Of an answer that
// is spoilt in any way nothing is believed: the request may have run.
// Its error is an *AnswerError.
func answer(conn *pooledConn, reader *bufio.Reader, outgoing *http.Request) (res Result, reusable bool, err error) {
	response, err := finalHead(reader, outgoing)
	if err != nil {
		return Result{}, false, &AnswerError{err}
	}
	// Without a length the answer lasts to the end of the connection. One that ends in order makes
	// it whole: a backend that fails or dies resets its connections, and a reset is an error here.
	chunked := len(response.TransferEncoding) > 0
	untilEnd := response.ContentLength < 0 && !chunked
	switch {
	case response.ContentLength > maxAnswerBody:
		return Result{}, false, &AnswerError{errTooLong}
	case untilEnd:
		conn.readBudget += maxAnswerBody + 1 // a read behind the last byte, which finds the end
	case chunked:
		conn.readBudget += maxAnswerBody + maxAnswerHead // the frames of the chunks
	default:
		conn.readBudget += int(response.ContentLength)
	}
	body, err := readBody(response.Body, response.ContentLength)
	if err != nil {
		return Result{}, false, &AnswerError{err}
	}
	return resultOf(response, body), !response.Close && !untilEnd, nil
}

// finalHead reads the head of the answer to the request and skips the 1xx answers ahead of it.
func finalHead(reader *bufio.Reader, outgoing *http.Request) (*http.Response, error) {
	for i := 0; ; i++ {
		response, err := http.ReadResponse(reader, outgoing)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols || i > maxInterim || response.ProtoMajor != 1 {
			return nil, errNoAnswer
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// resultOf is what a whole answer means. Any status but 200 may have run, unless the backend says
// that it did not start the request.
func resultOf(response *http.Response, body []byte) Result {
	res := Result{Status: policy.StatusServerError, LoadReport: response.Header.Get("Server-Load")}
	switch response.StatusCode {
	case http.StatusOK:
		res.Status, res.Body, res.ContentType = policy.StatusOK, body, response.Header.Get("Content-Type")
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if response.Header.Get("Not-Started") == "1" {
			res.Status = policy.StatusRejected
		}
	}
	return res
}

// readBody reads a body whole; a length below 0 is not known. It returns errTooLong for more than
// maxAnswerBody bytes.
func readBody(reader io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(reader, maxAnswerBody+1))
	if err == nil && len(body) > maxAnswerBody {
		err = errTooLong
	}
	return body, err
}

// ParseLoadReport reads the values that the settings name from a load report of the form
// 'TEXT name=value, name=value'. It is taken whole or not at all: a value that is
// missing or makes no sense would look like an idle backend. It returns nil where there is none.
func ParseLoadReport(text string, names []string) []float32 {
	text, found := strings.CutPrefix(text, "TEXT ")
	if !found || len(names) == 0 {
		return nil
	}
	values := make([]float32, len(names))
	seen := make([]bool, len(names))
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i := range names {
			if names[i] == name {
				number, err := strconv.ParseFloat(value, 32)
				if err != nil || !(number >= 0) || math.IsInf(number, 0) || seen[i] {
					return nil
				}
				values[i], seen[i] = float32(number), true
			}
		}
	}
	for _, ok := range seen {
		if !ok {
			return nil
		}
	}
	return values
}
