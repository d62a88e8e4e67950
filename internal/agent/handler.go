package agent

import (
	"errors"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"ploverreel/internal/config"
	"ploverreel/policy"
)

// responseWriter notes that a response was begun.
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

// ServeHTTP reads one request, forwards it to the loop and writes its one response.
func (a *Agent) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := &responseWriter{ResponseWriter: rw}
	var req *request // set once it is read
	// A panic must leave neither the request without a response nor the loop with the request.
	defer func() {
		if reason := recover(); reason != nil {
			a.onHandlerPanic(w, req, reason)
		}
	}()
	client := clientConnOf(r)
	receivedAt := a.beginRequest(w, client)
	if r.Method == http.MethodGet && r.RequestURI == "/ready" {
		a.serveReady(w)
		return
	}
	conf := a.config.Load()
	if longest := conf.MaxDeadline(); longest > a.startDeadline {
		_ = http.NewResponseController(w).SetWriteDeadline(receivedAt.Add(longest + responseWriteTimeout))
	}
	req, err := a.readRequest(conf, w, r, receivedAt)
	if err != nil {
		a.reject(w, r, err)
		return
	}
	defer a.bodyBytes.Add(-int64(len(req.Body)))
	if client != nil {
		req.client.conn = client.NetConn()
	}
	if !a.hasTimeFor(req) {
		a.writeNotRun(w, conf)
		return
	}
	a.forward(w, r, req)
}

// beginRequest takes the request of a client's connection, which is nil in tests that call the
// handler alone. It returns when the request was received: when its head was read, if that is
// known, and not when the handler came to run, as the client's deadline doesn't wait for that.
func (a *Agent) beginRequest(w http.ResponseWriter, client clientConn) time.Time {
	now := time.Now()
	if client == nil {
		return now
	}
	receivedAt, last := client.BeginRequest()
	if last {
		w.Header().Set("Connection", "close")
	}
	if receivedAt.IsZero() {
		return now
	}
	return receivedAt
}

// onHandlerPanic logs a panic of the handler, abandons its request, if that was read, and answers
// with 500 unless a response was begun.
func (a *Agent) onHandlerPanic(w *responseWriter, req *request, reason any) {
	a.log.Error("panic in request handler", "panic", reason, "stack", string(debug.Stack()))
	if req != nil {
		a.abandon(req)
	}
	if !w.begun {
		a.write(w, http.StatusInternalServerError, "", nil)
	}
}

// hasTimeFor limits a request's deadline to the last response of a graceful shutdown, if one is in
// progress, and reports whether the request can be answered in time. One that can't never ran.
func (a *Agent) hasTimeFor(req *request) bool {
	if began := a.shutdownAt.Load(); began != nil {
		if last := began.Add(a.lastAnswerAfter()); last.Before(req.Deadline) {
			req.Deadline = last
		}
		if time.Since(*began) >= shutdownRejectAfter {
			return false
		}
	}
	return time.Until(req.Deadline) > guardMargin
}

// forward posts a request to the loop and writes its response. It waits no longer than the client
// does, as the loop may be busy, its queue full, or its decision lost in a panic.
func (a *Agent) forward(w http.ResponseWriter, r *http.Request, req *request) {
	guard := time.NewTimer(time.Until(req.Deadline) - guardMargin)
	defer guard.Stop()
	queue := a.loop.inputs // nil once the request is posted, so that it is posted once
	for {
		select {
		case queue <- requestArrived{request: req}:
			queue = nil
		case response := <-req.answers:
			a.respond(w, r, response)
			return
		case <-r.Context().Done():
			if queue == nil {
				a.abandon(req)
			}
			a.writeClientGone(w)
			return
		case <-guard.C:
			a.giveUp(w, req, queue == nil)
			return
		case <-a.lastCall:
			a.giveUp(w, req, queue == nil)
			return
		}
	}
}

// giveUp answers a request to which the loop has given no response in time. One that was not
// posted never ran, and the client may send it again.
func (a *Agent) giveUp(w http.ResponseWriter, req *request, posted bool) {
	if !posted {
		a.writeNotRun(w, req.config)
		return
	}
	a.abandon(req)
	a.write(w, http.StatusGatewayTimeout, "", nil)
}

// abandon tells the loop that nobody waits for a request any more. It doesn't block: where the
// loop's queue is full, a goroutine waits to post. But for a panic, only posted requests are
// abandoned, so these goroutines are no more than the requests that the loop and its queue hold.
func (a *Agent) abandon(req *request) {
	req.client.gone.Store(true) // seen at once, however long the loop's queue is
	gone := clientDisconnected{request: req}
	select {
	case a.loop.inputs <- gone:
	default:
		go a.loop.post(gone)
	}
}

// serveReady answers whether the agent can serve requests: it knows an endpoint to send to, and
// isn't shutting down.
func (a *Agent) serveReady(w http.ResponseWriter) {
	if a.shutdownAt.Load() != nil || !a.loop.ready.hasEndpoint.Load() {
		http.Error(w, "no backend to send to", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// reject answers a request that readRequest has refused, and closes its connection: what follows
// on it can't be trusted to be a request.
func (a *Agent) reject(w http.ResponseWriter, r *http.Request, err error) {
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

// respond writes the loop's response to a request.
func (a *Agent) respond(w http.ResponseWriter, r *http.Request, response response) {
	if response.status == statusDuplicateID {
		a.reject(w, r, &requestError{status: http.StatusConflict, reason: "Request-Id: came before"})
		return
	}
	a.writeResponse(w, response)
}

// writeClientGone answers a request whose client has disconnected. A client that only shut down
// its sending side looks the same and still reads: without a response of the agent's the server
// would send it 200 with no body, which no backend said. 502 claims nothing of the request.
func (a *Agent) writeClientGone(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	a.write(w, http.StatusBadGateway, "", nil)
}

// writeNotRun tells a client that its request never ran, and when to send it again.
func (a *Agent) writeNotRun(w http.ResponseWriter, conf *config.Config) {
	a.writeResponse(w, response{status: policy.StatusRejected, retryAfter: maxRetryAfter(conf)})
}

// maxRetryAfter is the longest Retry-After that a client may be sent.
func maxRetryAfter(conf *config.Config) time.Duration {
	return config.Milliseconds(conf.Settings.Limits.MaxRetryAfterMs)
}

// writeResponse writes a final response as its HTTP status.
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

// setRetryAfter sets Retry-After, in seconds with a fraction, unless it is 0.
func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
}

// write writes a response whole. During a graceful shutdown the connection closes with it.
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
