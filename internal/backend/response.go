package backend

import (
	"bufio"
	"io"
	"net/http"

	"ploverreel/policy"
)

// Limits of what is read from a backend.
const (
	maxResponseBody     = 64 << 10 // bytes of an answer's body
	maxResponseHead     = 16 << 10 // bytes of an answer's head, with the 1xx answers ahead of it
	maxInterimResponses = 8        // 1xx answers ahead of an answer
)

// readResponse reads the answer to a request and reports whether the connection can be used again.
// Nothing of an answer is used if any part of it is wrong: the request may have run. Its error is an
// *ResponseError.
func readResponse(conn *pooledConn, reader *bufio.Reader, request *http.Request) (result Result, reusable bool, err error) {
	response, err := readFinalHead(reader, request)
	if err != nil {
		return Result{}, false, &ResponseError{err}
	}
	// Without a length the answer lasts to the end of the connection. One that ends in order makes
	// it whole: a backend that fails or dies resets its connections, and a reset is an error here.
	chunked := len(response.TransferEncoding) > 0
	untilEnd := response.ContentLength < 0 && !chunked
	switch {
	case response.ContentLength > maxResponseBody:
		return Result{}, false, &ResponseError{errResponseTooLong}
	case untilEnd:
		conn.readBudget += maxResponseBody + 1 // the read behind the last byte finds the end
	case chunked:
		conn.readBudget += maxResponseBody + maxResponseHead // the frames of the chunks
	default:
		conn.readBudget += int(response.ContentLength)
	}
	body, err := readBody(response.Body, response.ContentLength)
	if err != nil {
		return Result{}, false, &ResponseError{err}
	}
	return resultOf(response, body), !response.Close && !untilEnd, nil
}

// readFinalHead reads the head of the answer to a request and skips the 1xx answers ahead of it.
func readFinalHead(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for i := 0; ; i++ {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols || i > maxInterimResponses || response.ProtoMajor != 1 {
			return nil, errNotAResponse
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// resultOf returns the result of a whole answer. With any status but 200 the request may have run,
// unless the backend says that it did not start it.
func resultOf(response *http.Response, body []byte) Result {
	result := Result{Status: policy.StatusServerError, LoadReport: response.Header.Get("Server-Load")}
	switch response.StatusCode {
	case http.StatusOK:
		result.Status, result.Body, result.ContentType = policy.StatusOK, body, response.Header.Get("Content-Type")
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if response.Header.Get("Not-Started") == "1" {
			result.Status = policy.StatusRejected
		}
	}
	return result
}

// readBody reads a whole body. A length below 0 is unknown. It returns errResponseTooLong if there are more
// than maxResponseBody bytes.
func readBody(reader io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(reader, maxResponseBody+1))
	if err == nil && len(body) > maxResponseBody {
		err = errResponseTooLong
	}
	return body, err
}
