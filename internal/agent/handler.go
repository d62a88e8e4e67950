package agent

import (
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"ploverreel/policy"
)

// problem is why a request is not taken.
type requestError struct {
	status     int
	text       string
	retryAfter time.Duration // where it is none of the request itself
}

// answerWriter notes that an answer was begun.
type answerWriter struct {
	http.ResponseWriter
	begun bool
}

func (w *answerWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets the server's own writer be found, which sets a connection's deadlines.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// ServeHTTP takes one request and gives it one answer.
func (a *Agent) ServeHTTP(rw http.ResponseWriter, hr *http.Request) {
	came := time.Now()
	w := &answerWriter{ResponseWriter: rw}
	var r *request
	// A panic must not leave the request without an answer, nor the module with it.
	defer func() {
		if p := recover(); p != nil {
			a.log.Error("panic in a handler", "panic", p, "stack", string(debug.Stack()))
			if r != nil {
				a.drop(r)
			}
			if !w.begun {
				a.write(w, http.StatusInternalServerError, "", nil)
			}
		}
	}()
	c, _ := hr.Context().Value(connKey{}).(*clientConn)
	if c != nil {
		cameAt, last := a.clients.beginRequest(c)
		if !cameAt.IsZero() {
			came = cameAt
		}
		if last {
			w.Header().Set("Connection", "close")
		}
	}
	if hr.Method == http.MethodGet && hr.RequestURI == "/ready" {
		a.serveReady(w)
		return
	}
	conf := a.config.Load()
	if longest := conf.maxDeadline(); longest > a.startDeadline {
		_ = http.NewResponseController(w).SetWriteDeadline(came.Add(longest + responseWriteTimeout))
	}
	r, bad := a.read(conf, w, hr, came)
	if bad != nil {
		a.reject(w, hr, bad)
		return
	}
	defer a.bodyBytes.Add(-int64(len(r.body)))
	if c != nil {
		r.client = c.Conn
	}
	left := a.shutdownAt.Load()
	if left != nil {
		r.deadline = earlier(r.deadline, left.Add(a.lastAnswerAfter()))
	}
	// What nobody could serve in time never ran.
	if left != nil && time.Since(*left) >= shutdownRejectAfter || time.Until(r.deadline) <= guardMargin {
		a.refuse(w, conf)
		return
	}
	a.serve(w, hr, r)
}

// serve hands a request to the loop and waits for its answer, but no longer than the client
// does: the loop may be busy, its queue full or its decision lost in a panic.
func (a *Agent) serve(w http.ResponseWriter, hr *http.Request, r *request) {
	guard := time.NewTimer(time.Until(r.deadline) - guardMargin)
	defer guard.Stop()
	queue := a.loop.inputs // nil when the request is in it
	for {
		select {
		case queue <- input{kind: inputRequest, request: r}:
			queue = nil
			continue
		case ans := <-r.answers:
			if ans.status == statusDuplicateID {
				a.reject(w, hr, &requestError{status: http.StatusConflict, text: "Request-Id: came before"})
				return
			}
			a.answer(w, ans)
			return
		case <-hr.Context().Done(): // the client has gone
			if queue == nil {
				a.drop(r)
			}
			a.writeClientGone(w)
			return
		case <-guard.C:
		case <-a.lastCall:
		}
		if queue != nil { // nobody was asked: it never ran
			a.refuse(w, r.config)
			return
		}
		a.drop(r)
		a.write(w, http.StatusGatewayTimeout, "", nil)
		return
	}
}

// drop tells the loop that nobody waits for a request any more. Where its queue is full the
// answer, which leaves when the handler ends, doesn't wait for it. What was never posted needs no
// such word, so no more wait to tell it than the loop and its queue hold requests.
func (a *Agent) drop(r *request) {
	r.clientGone.Store(true) // seen at once, however long the loop's queue
	in := input{kind: inputClientGone, request: r}
	select {
	case a.loop.inputs <- in:
	default:
		go a.loop.post(in)
	}
}

// refuse tells a client that its request never ran, and when to come back.
func (a *Agent) refuse(w http.ResponseWriter, conf *Config) {
	a.answer(w, response{status: policy.StatusRejected, retryAfter: millis(conf.Settings.Limits.MaxRetryAfterMs)})
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (a *Agent) serveReady(w http.ResponseWriter) {
	if a.shutdownAt.Load() != nil || !a.loop.hasEndpoint.Load() {
		http.Error(w, "no backend to send to", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// reject tells a client that its request is not taken, and ends its connection: what
// follows there can't be trusted to be a request.
func (a *Agent) reject(w http.ResponseWriter, hr *http.Request, bad *requestError) {
	if c, ok := hr.Context().Value(connKey{}).(*clientConn); ok {
		a.clients.setStage(c, stageRejected)
	}
	// The server reads what is left of the body before it closes the connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	w.Header().Set("Connection", "close")
	setRetryAfter(w, bad.retryAfter)
	a.write(w, bad.status, "text/plain", []byte(bad.text+"\n"))
}

// leftBehind answers a request whose client has gone. One that only ended its sending
// looks the same and still reads: without a word the server would tell it 200 and nothing,
// which no backend said. That it failed claims nothing.
func (a *Agent) writeClientGone(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	a.write(w, http.StatusBadGateway, "", nil)
}

// answer words a final answer.
func (a *Agent) answer(w http.ResponseWriter, ans response) {
	if !a.clients.mayKeepAlive() {
		w.Header().Set("Connection", "close")
	}
	switch ans.status {
	case policy.StatusOK:
		a.write(w, http.StatusOK, ans.contentType, ans.body)
	case policy.StatusRejected:
		setRetryAfter(w, ans.retryAfter)
		a.write(w, http.StatusServiceUnavailable, "", nil)
	default:
		a.write(w, http.StatusBadGateway, "", nil)
	}
}

// setRetryAfter tells a client when to come back, if that is known.
func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
}

// write sends an answer. While the agent leaves, its connection ends with it.
func (a *Agent) write(w http.ResponseWriter, status int, kind string, body []byte) {
	h := w.Header()
	h["Date"] = nil
	if a.shutdownAt.Load() != nil {
		h.Set("Connection", "close")
	}
	if kind == "" {
		h["Content-Type"] = nil // not to be guessed
	} else {
		h.Set("Content-Type", kind)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client has gone
}
