package agent

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"ploverreel/internal/config"
	"ploverreel/policy"
)

// responseWriter notes whether a response was begun.
type responseWriter struct {
	http.ResponseWriter
	begun bool
}

func (w *responseWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController find the server's own writer, which sets a connection's
// deadlines.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// writeRequestError answers an invalid request, and closes its connection: what follows on it can't be
// trusted to be a request.
func (a *Agent) writeRequestError(w http.ResponseWriter, r *http.Request, err error) {
	invalid := &requestError{status: http.StatusBadRequest, reason: err.Error()}
	errors.As(err, &invalid)
	if client := clientConnOf(r); client != nil {
		client.MarkRejected()
	}
	// The server reads the rest of the body before it closes the connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	w.Header().Set("Connection", "close")
	setRetryAfter(w, invalid.retryAfter)
	a.write(w, invalid.status, "text/plain", []byte(invalid.reason+"\n"))
}

// writeLoopResponse writes the loop's response to a request.
func (a *Agent) writeLoopResponse(w http.ResponseWriter, r *http.Request, response response) {
	if response.status == statusDuplicateID {
		a.writeRequestError(w, r, &requestError{status: http.StatusConflict, reason: "Request-Id: came before"})
		return
	}
	a.writeResponse(w, response)
}

// writeClientGone answers a request whose client has disconnected. A client that only shut down its
// sending side looks the same and still reads. Without a response of the agent's the server would send
// it 200 with no body, which no backend gave; 502 claims nothing about the request.
func (a *Agent) writeClientGone(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	a.write(w, http.StatusBadGateway, "", nil)
}

// writeNotStarted answers a request that never ran, and says when the client may send it again.
func (a *Agent) writeNotStarted(w http.ResponseWriter, conf *config.Config) {
	a.writeResponse(w, response{status: policy.StatusRejected, retryAfter: maxRetryAfter(conf)})
}

// maxRetryAfter returns the longest Retry-After that a client may be sent.
func maxRetryAfter(conf *config.Config) time.Duration {
	return config.Milliseconds(conf.Settings.Limits.MaxRetryAfterMs)
}

// writeResponse writes a response, with its status as that of HTTP.
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

// setRetryAfter sets Retry-After, in seconds with a fraction, unless the time is 0.
func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
}

// write writes a complete response. During a graceful shutdown the connection closes with it.
func (a *Agent) write(w http.ResponseWriter, status int, contentType string, body []byte) {
	header := w.Header()
	header["Date"] = nil
	if a.shutdownAt.Load() != nil {
		header.Set("Connection", "close")
	}
	if contentType == "" {
		header["Content-Type"] = nil // keeps the server from guessing one
	} else {
		header.Set("Content-Type", contentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client has disconnected
}
