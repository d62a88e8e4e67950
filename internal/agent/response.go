package agent

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"ploverreel/internal/clientconn"
	"ploverreel/internal/config"
	"ploverreel/policy"
)

// responseWriter records whether a response was begun.
type responseWriter struct {
	http.ResponseWriter
	begun bool
}

func (w *responseWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the server's writer, through which http.ResponseController sets the deadlines of
// the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// writeRequestError responds to an invalid request and closes its connection, because the bytes that
// follow may not be a request.
func (a *Agent) writeRequestError(w http.ResponseWriter, r *http.Request, err error) {
	invalid := &requestError{status: http.StatusBadRequest, reason: err.Error()}
	errors.As(err, &invalid)
	if conn := clientConnOf(r); conn != nil {
		conn.MarkRejected()
	}
	a.delayAnswer(w, r)
	// The server reads the rest of the body before it closes the connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	w.Header().Set("Connection", "close")
	setRetryAfter(w, invalid.retryAfter)
	a.write(w, invalid.status, "text/plain", []byte(invalid.reason+"\n"))
}

// delayAnswer delays an answer that is given without a backend, if the agent has given many of them.
// During a graceful shutdown no answer is delayed.
func (a *Agent) delayAnswer(w http.ResponseWriter, r *http.Request) {
	conn := clientConnOf(r)
	if conn == nil || a.shutdownAt.Load() != nil {
		return
	}
	if evicted := conn.DelayAnswer(r.Context().Done()); evicted {
		conn.MarkRejected()
		w.Header().Set("Connection", "close")
	}
}

// writeLoopResponse writes the loop's response to a request.
func (a *Agent) writeLoopResponse(w http.ResponseWriter, r *http.Request, response response) {
	if response.status == statusDuplicateID {
		a.writeRequestError(w, r, &requestError{status: http.StatusConflict, reason: "Request-Id: came before"})
		return
	}
	a.writeResponse(w, response)
}

// writeClientGone responds to a request whose client has disconnected. A client that only shut down
// its sending side can't be distinguished from that, and it still reads the response. If the handler
// wrote none, the HTTP server would send 200 with no body, although no backend sent a response. 502
// does not say whether the request ran.
func (a *Agent) writeClientGone(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	a.write(w, http.StatusBadGateway, "", nil)
}

// writeNotStarted responds to a request that never ran, with the time after which the client may
// retry it.
func (a *Agent) writeNotStarted(w http.ResponseWriter, conf *config.Config) {
	a.writeResponse(w, response{status: policy.StatusRejected, retryAfter: maxRetryAfter(conf)})
}

// maxRetryAfter returns the longest Retry-After that may be sent to a client.
func maxRetryAfter(conf *config.Config) time.Duration {
	return config.Milliseconds(conf.Settings.Limits.MaxRetryAfterMs)
}

// writeResponse writes a response and maps its status to an HTTP status.
func (a *Agent) writeResponse(w http.ResponseWriter, response response) {
	if !a.clients.MayKeepAlive() {
		w.Header().Set("Connection", "close")
	}
	switch response.status {
	case policy.StatusOK:
		a.write(w, http.StatusOK, response.contentType, response.body)
	case policy.StatusRejected:
		setRetryAfter(w, response.retryAfter)
		a.write(w, http.StatusServiceUnavailable, "", nil)
	default:
		a.write(w, http.StatusBadGateway, "", nil)
	}
}

// setRetryAfter sets Retry-After, in seconds with a fraction, unless after is 0.
func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", clientconn.FormatRetryAfter(after))
	}
}

// write writes a complete response. During a graceful shutdown the response closes its connection.
func (a *Agent) write(w http.ResponseWriter, status int, contentType string, body []byte) {
	header := w.Header()
	header["Date"] = nil
	if a.shutdownAt.Load() != nil {
		header.Set("Connection", "close")
	}
	if contentType == "" {
		header["Content-Type"] = nil // disables the server's content sniffing
	} else {
		header.Set("Content-Type", contentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client has disconnected
}
