package agent

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// maxBodyBytes bounds the body of one request.
	maxBodyBytes = 64 << 10

	// bodyTimeout bounds the time in which a request's body arrives. A faulty client must get an
	// error or a close within 3 s of connecting. The sum of clientconn.HeadTimeout and bodyTimeout
	// is less than that by a margin.
	bodyTimeout = time.Second
	// minBodyTime is the least time in which a body may arrive, however short the request's
	// deadline is. A response after the deadline has no value, but a request must not be lost
	// because its body is slightly late.
	minBodyTime = 100 * time.Millisecond
)

// Reasons why a request is rejected because of its body.
var (
	errBodyOfGET   = &requestError{status: http.StatusBadRequest, reason: "body: none belongs to GET"}
	errBodyTooLong = &requestError{status: http.StatusBadRequest, reason: "body: longer than its Content-Length"}
)

// readBody reads the body, whose length is in the head. It rejects the request if all requests in
// memory together would exceed config.Limits.BodyMemory, and if the body is longer than that length.
func (a *Agent) readBody(r *http.Request, req *request) error {
	head := int64(len(req.Target) + len(req.IdempotencyKey) + len(req.ContentType))
	if r.ContentLength == 0 && head < minReservedBytes {
		return receiveBody(r, req)
	}
	reserved, ok := a.memory.reserve(r.ContentLength+head, req.config.Limits.BodyMemory())
	if !ok {
		return newUnavailableError("body: no memory left", req.config)
	}
	defer func() {
		if req.memory == nil { // also after a panic
			reserved.release()
		}
	}()
	if err := receiveBody(r, req); err != nil {
		return err
	}
	req.memory = reserved
	return nil
}

// receiveBody reads the body, if there is one, and checks that it is not longer than its length.
func receiveBody(r *http.Request, req *request) (err error) {
	conn := clientConnOf(r)
	if r.ContentLength > 0 {
		if req.Body, err = receiveBytes(r, req, conn); err != nil {
			return err
		}
	}
	if conn != nil && conn.IsBodyTooLong() {
		return errBodyTooLong
	}
	return nil
}

// receiveBytes reads the body with a timeout. The timeout is at most bodyTimeout, so that a body
// that stops arriving doesn't hold its connection forever. It is also at most the time left until
// the request's deadline, so that a slow body doesn't delay the response past it, but at least
// minBodyTime. The client connection table may end the wait earlier, for another connection.
func receiveBytes(r *http.Request, req *request, conn clientConn) ([]byte, error) {
	now := time.Now()
	timeout := min(bodyTimeout, max(req.Deadline.Sub(now), minBodyTime))
	if conn != nil {
		conn.BeginBody(r.ContentLength, now.Add(timeout))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	evicted := conn != nil && conn.EndBody(err == nil)
	switch {
	case err == nil:
		return body, nil
	case evicted:
		return nil, newUnavailableError("body: its connection was needed for another client", req.config)
	case timeout < bodyTimeout && errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newUnavailableError("body: came too late", req.config)
	}
	return nil, &requestError{status: http.StatusRequestTimeout, reason: "body: did not come whole"}
}
