package agent

import (
	"time"

	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/policy"
)

// attempt is one attempt of a request, with the data that the loop needs for it.
type attempt struct {
	*backend.Attempt
	request *request
	index   int // in request.attempts
	target  *listedBackend
}

// startAttempt starts an attempt in its own goroutine, which ends at the attempt's timeout, when
// the attempt is cancelled, or with the loop's context. The end of each attempt is posted exactly
// once, even if the attempt could not start, because the module waits for it.
func (l *loop) startAttempt(request *request, action *policy.Action) {
	target := l.backends[action.Server]
	if target == nil {
		target = &listedBackend{addr: action.Server, conns: l.pool.NewConns("")} // not usable
	}
	created := l.newAttempt(request, target, action)
	request.attempts = append(request.attempts, created)
	request.inFlight++
	started := false
	defer func() { // also runs after a panic
		if !started {
			created.Cancel(nil)
			l.followUps = append(l.followUps, attemptEnded{attempt: created, result: backend.Result{Status: policy.StatusNotSent}})
		}
	}()
	if !target.usable || request.closed || request.client.abandoned.Load() {
		// The module sends only to backends that are listed as ready, but the loop doesn't rely on
		// that. This check also stops attempts for a client whose disconnect is still in the queue.
		return
	}
	target.attempts[created] = struct{}{}
	started = true
	go func() { l.post(attemptEnded{attempt: created, result: created.Run()}) }()
}

// newAttempt returns an attempt whose deadlines count from the time of the module's decision.
func (l *loop) newAttempt(request *request, target *listedBackend, action *policy.Action) *attempt {
	deadline := l.decidedAt.Add(config.Milliseconds(action.TimeoutMs))
	created := &attempt{request: request, index: len(request.attempts), target: target,
		Attempt: backend.NewAttempt(l.ctx, target.conns, &request.Request, deadline)}
	if action.BeginWithinMs > 0 {
		created.BeginBy = l.decidedAt.Add(config.Milliseconds(action.BeginWithinMs))
	}
	return created
}

// onAttemptEnded handles the end of an attempt. A result with StatusOK is sent as the response to
// the request. The module is notified of every result.
func (l *loop) onAttemptEnded(ended *attempt, result *backend.Result) {
	request, target := ended.request, ended.target
	delete(target.attempts, ended)
	l.removeBackend(target)
	request.inFlight--
	request.mayHaveRun = request.mayHaveRun || result.MayHaveRun()
	if result.Panic != nil {
		l.log.Error("attempt panicked", "err", result.Panic)
	}
	switch result.Status {
	case policy.StatusLocalFailure, policy.StatusUnreachable:
		request.attempts[ended.index] = nil
	case policy.StatusOK:
		l.respond(request, response{status: policy.StatusOK, body: result.Body, contentType: result.ContentType})
	case policy.StatusTimeout:
		// The backend's machine may be gone, and its other connections would not respond either.
		target.conns.CloseIdle()
	}
	l.notify(&policy.AttemptEnded{Request: request.id, Attempt: ended.index, Server: target.addr,
		Status: result.Status, LatencyMs: float64(result.Elapsed) / float64(time.Millisecond),
		Final: request.closed, Report: backend.ParseLoadReport(result.LoadReport, l.config.Settings.Report.Names)})
	l.removeIfDone(request)
}
