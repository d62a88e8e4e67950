package backend

import (
	"io"
	"net/http"

	"ploverreel/policy"
)

// Limits of the responses that are read from backends.
const (
	maxResponseBody     = 64 << 10 // bytes of a response's body
	maxResponseHead     = 16 << 10 // bytes of a response head, with the interim (1xx) responses before it
	maxHeadLines        = 100      // lines of one response head, as its parsed form takes memory for each
	maxInterimResponses = 8        // number of interim (1xx) responses before the final response
)

// readResponse reads the response to a request and reports whether the connection can be reused. If
// any part of the response is wrong, all of it is discarded, and the request may have run. The
// error is a *ResponseError.
func readResponse(conn *pooledConn, reader *responseReader, request *http.Request) (result Result, reusable bool, err error) {
	response, err := readFinalHead(reader, request)
	if err != nil {
		return Result{}, false, &ResponseError{err}
	}
	// A response without a length lasts until the connection ends. It is complete if the connection
	// ends with an orderly close. A backend that fails or dies resets its connections instead, and
	// a reset is returned as a read error.
	untilEnd := lastsUntilEnd(response)
	switch {
	case response.ContentLength > maxResponseBody:
		return Result{}, false, &ResponseError{errResponseTooLong}
	case untilEnd:
		conn.readBudget += maxResponseBody + 1 // the read after the last byte detects the end
	case isChunked(response):
		conn.readBudget += maxResponseBody + maxResponseHead // the second is for the chunk framing
	default:
		conn.readBudget += int(response.ContentLength)
	}
	body, err := readBody(response.Body, response.ContentLength)
	if err != nil {
		return Result{}, false, &ResponseError{err}
	}
	return resultOf(response, body), !response.Close && !untilEnd, nil
}

// isChunked reports whether the body of a response is sent in chunks.
func isChunked(response *http.Response) bool { return len(response.TransferEncoding) > 0 }

// lastsUntilEnd reports whether the body of a response lasts until its connection ends.
func lastsUntilEnd(response *http.Response) bool {
	return response.ContentLength < 0 && !isChunked(response)
}

// readFinalHead reads the head of the response to a request and skips the interim (1xx) responses
// before it.
func readFinalHead(reader *responseReader, request *http.Request) (*http.Response, error) {
	for i := 0; ; i++ {
		response, err := reader.readHead(request)
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

// resultOf returns the Result of a complete response. With any status other than 200 the request
// may have run, unless the backend says that it did not start the request.
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

// readBody reads the whole body. A negative length means that the length is unknown. readBody
// returns errResponseTooLong if a body of unknown length has more than maxResponseBody bytes.
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
