package agent

import (
	"net/http"
	"runtime/debug"
	"time"
)

const (
	// fallbackMargin is subtracted from a request's deadline. If the loop has sent no response by
	// then, the handler answers without it.
	fallbackMargin = 2 * time.Millisecond
	// decisionMargin and fallbackMargin are both subtracted from the deadline that the decision
	// module is given. The module's last response, which carries a Retry-After, then always comes
	// before the handler's own, whatever the interval of the module's ticks is.
	decisionMargin = 3 * time.Millisecond
	// marginDivisor divides the time that a request has left. The quotient is the upper bound of the
	// two margins together, so that a request with a short timeout keeps most of it.
	marginDivisor = 4
)

// ServeHTTP reads one request, posts it to the loop and writes the single response.
func (a *Agent) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := &responseWriter{ResponseWriter: rw}
	var req *request // nil until it has been read
	// After a panic, the client must still get a response and the loop must drop the request.
	defer func() {
		if reason := recover(); reason != nil {
			a.onHandlerPanic(w, req, reason)
		}
	}()
	conn := clientConnOf(r)
	receivedAt := a.beginRequest(w, conn)
	if r.Method == http.MethodGet && r.RequestURI == "/ready" {
		a.serveReady(w, r)
		return
	}
	conf := a.config.Load()
	if longest := conf.MaxDeadline(); longest > a.initialMaxDeadline {
		_ = http.NewResponseController(w).SetWriteDeadline(receivedAt.Add(longest + responseWriteTimeout))
	}
	req, err := a.readRequest(conf, r, receivedAt)
	if err != nil {
		a.writeRequestError(w, r, err)
		return
	}
	defer req.memory.release()
	var gone <-chan struct{} // nil if the context alone tells that the client has disconnected
	if conn != nil {
		req.client.conn = conn.NetConn()
		var stop func()
		gone, stop = conn.WatchDisconnect()
		defer stop()
	}
	if !a.canRespondInTime(req) {
		a.delayAnswer(w, r)
		a.writeNotStarted(w, conf)
		return
	}
	a.awaitResponse(w, r, req, gone)
}

// beginRequest marks a client's connection as having a request in progress, and returns the time at
// which the request was received. If it is known when the head was read, it returns that time,
// because the client's timeout starts before the handler runs. The connection is nil in tests that
// call the handler without a server.
func (a *Agent) beginRequest(w http.ResponseWriter, conn clientConn) time.Time {
	now := time.Now()
	if conn == nil {
		return now
	}
	receivedAt, last := conn.BeginRequest()
	if last {
		w.Header().Set("Connection", "close")
	}
	if receivedAt.IsZero() {
		return now
	}
	return receivedAt
}

// onHandlerPanic logs a panic of the handler, abandons the request if it had been read, and responds
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

// canRespondInTime reports whether a request can be answered before its deadline. During a graceful
// shutdown it first limits the deadline to the time of the last response, and it returns false once
// new requests are rejected.
func (a *Agent) canRespondInTime(req *request) bool {
	if began := a.shutdownAt.Load(); began != nil {
		if last := began.Add(a.drainTimeout()); last.Before(req.Deadline) {
			req.Deadline = last
		}
		if time.Since(*began) >= shutdownRejectAfter {
			return false
		}
	}
	return time.Until(req.Deadline) > fallbackMargin
}

// awaitResponse posts a request to the loop, waits for the response and writes it. It stops waiting
// when the client disconnects, and shortly before the request's deadline or the end of a graceful
// shutdown. The loop may not have responded by then, because it is busy, its queue is full or the
// decision was lost in a panic.
func (a *Agent) awaitResponse(w http.ResponseWriter, r *http.Request, req *request, gone <-chan struct{}) {
	fallbackTimer := time.NewTimer(time.Until(req.Deadline) - fallbackMargin)
	defer fallbackTimer.Stop()
	queue := a.loop.inputs // nil after the request is posted, so that it isn't posted twice
	req.memory.hold()      // for the loop
	defer func() {
		if queue != nil {
			req.memory.release()
		}
	}()
	for {
		select {
		case queue <- requestArrived{request: req}:
			queue = nil
		case response := <-req.responses:
			a.writeLoopResponse(w, r, response)
			return
		case <-r.Context().Done():
			a.onClientGone(w, req, queue == nil)
			return
		case <-gone:
			a.onClientGone(w, req, queue == nil)
			return
		case <-fallbackTimer.C:
			a.respondWithoutLoop(w, req, queue == nil)
			return
		case <-a.drainDeadline:
			a.respondWithoutLoop(w, req, queue == nil)
			return
		}
	}
}

// onClientGone ends a request whose client has disconnected.
func (a *Agent) onClientGone(w http.ResponseWriter, req *request, posted bool) {
	if posted {
		a.abandon(req)
	}
	a.writeClientGone(w)
}

// respondWithoutLoop responds to a request for which the loop has sent no response in time. If the
// request was not posted, it never ran and the client may retry it.
func (a *Agent) respondWithoutLoop(w http.ResponseWriter, req *request, posted bool) {
	if !posted {
		a.writeNotStarted(w, req.config)
		return
	}
	a.abandon(req)
	a.write(w, http.StatusGatewayTimeout, "", nil)
}

// abandon notifies the loop that the handler of a request has stopped waiting for a response. It
// doesn't block: if the loop's queue is full, a goroutine waits for space in it. Except after a
// panic, only posted requests are abandoned. The number of these goroutines is therefore bounded by
// the number of requests in the loop and its queue.
func (a *Agent) abandon(req *request) {
	req.client.abandoned.Store(true) // attempts check it without waiting for the loop's queue
	disconnected := clientDisconnected{request: req}
	select {
	case a.loop.inputs <- disconnected:
	default:
		go a.loop.post(disconnected)
	}
}
