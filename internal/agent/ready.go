package agent

import (
	"net/http"
	"sync/atomic"
	"time"
)

// readyTimeout is the time after its start at which an agent that knows no backend reports ready.
// Without it an agent that starts while discovery is down would get no requests from its
// application. A ready agent queues requests for as long as they may wait for an endpoint list, and
// rejects the others with a Retry-After. A restarted agent must be ready within 10 s in general, and
// within 6 s if little time is left.
const readyTimeout = 5 * time.Second

// readyState is the state that /ready reports. It belongs to the loop, except for isReady.
type readyState struct {
	isReady  atomic.Bool // a backend is usable, or timedOut is set
	timedOut bool        // readyTimeout has expired
}

// update records whether a backend is usable.
func (r *readyState) update(hasBackend bool) { r.isReady.Store(hasBackend || r.timedOut) }

// timeOut records that readyTimeout has expired, and reports whether this made the agent ready.
func (r *readyState) timeOut() bool {
	r.timedOut = true
	return !r.isReady.Swap(true)
}

// onReadyTimeout makes the agent ready even if it knows no backend.
func (l *loop) onReadyTimeout() {
	if l.ready.timeOut() {
		l.log.Warn("ready without a known backend", "duration", readyTimeout)
	}
}

// checkReady rejects a call of /ready whose length is ambiguous, and one with a body, for which the
// HTTP server would wait without a limit.
func checkReady(r *http.Request) error {
	if err := checkFraming(r); err != nil {
		return err
	}
	if r.ContentLength > 0 {
		return errBodyOfGET
	}
	return nil
}

// serveReady responds to /ready. The agent can serve requests if it is ready and isn't shutting
// down. A call of an HTTP version below 1.1 can't be checked for an ambiguous length (see
// checkVersion), so its connection is closed with the response, and no byte that follows is read as
// a request.
func (a *Agent) serveReady(w http.ResponseWriter, r *http.Request) {
	if err := checkReady(r); err != nil {
		a.writeRequestError(w, r, err)
		return
	}
	a.delayAnswer(w, r)
	if checkVersion(r) != nil || !a.clients.MayKeepAlive() {
		w.Header().Set("Connection", "close")
	}
	if a.shutdownAt.Load() != nil || !a.loop.ready.isReady.Load() {
		http.Error(w, "no backend to send to", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
