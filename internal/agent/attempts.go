package agent

import (
	"time"

	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/policy"
)

// attempt is one attempt of a request, as the loop keeps it.
type attempt struct {
	*backend.Attempt
	request *request
	index   int // among the attempts of the request
	target  *listedBackend
}

// send starts an attempt in a goroutine of its own, which ends at the attempt's timeout, when the
// attempt is cancelled, or with the loop's context. Its end is posted once, also if it could not
// begin: the module waits for the end of each attempt.
func (l *loop) send(request *request, action *policy.Action) {
	target := l.backends[action.Server]
	if target == nil {
		target = &listedBackend{addr: action.Server, conns: l.pool.NewConns("")}
	}
	current := l.newAttempt(request, target, action)
	request.attempts = append(request.attempts, current)
	request.inFlight++
	begun := false
	defer func() { // after a panic too
		if !begun {
			current.Cancel(nil)
			l.followUps = append(l.followUps, attemptEnded{attempt: current, result: backend.Result{Status: policy.StatusNotSent}})
		}
	}()
	if !target.usable || request.closed || request.client.abandoned.Load() {
		// The module sends only to what is listed as ready; should it not, nothing goes out. Nor
		// does it for a client whose end is still in the queue.
		return
	}
	target.attempts[current] = struct{}{}
	begun = true
	go func() { l.post(attemptEnded{attempt: current, result: current.Run()}) }()
}

// newAttempt returns an attempt with its times, which count from the decision.
func (l *loop) newAttempt(request *request, target *listedBackend, action *policy.Action) *attempt {
	deadline := l.decidedAt.Add(config.Milliseconds(action.TimeoutMs))
	created := &attempt{request: request, index: len(request.attempts), target: target,
		Attempt: backend.NewAttempt(l.ctx, target.conns, &request.Request, deadline)}
	if action.BeginWithinMs > 0 {
		created.BeginBy = l.decidedAt.Add(config.Milliseconds(action.BeginWithinMs))
	}
	return created
}

// onOutcome handles the end of an attempt: an OK answers the request, and the module is notified of
// each.
func (l *loop) onOutcome(ended *attempt, outcome *backend.Result) {
	request, target := ended.request, ended.target
	delete(target.attempts, ended)
	l.removeBackend(target)
	request.inFlight--
	if outcome.Panic != nil {
		l.log.Error("attempt panicked", "err", outcome.Panic)
	}
	switch outcome.Status {
	case policy.StatusLocalFailure, policy.StatusUnreachable:
		request.attempts[ended.index] = nil
	case policy.StatusOK:
		l.answer(request, response{status: policy.StatusOK, body: outcome.Body, contentType: outcome.ContentType})
	case policy.StatusTimeout:
		// The machine may have vanished; its other connections would be as silent.
		target.conns.CloseIdle()
	}
	l.notify(&policy.AttemptEnded{Request: request.id, Attempt: ended.index, Server: target.addr,
		Status: outcome.Status, LatencyMs: float64(outcome.Elapsed) / float64(time.Millisecond),
		Final: request.closed, Report: backend.ParseLoadReport(outcome.LoadReport, l.config.Settings.Report.Names)})
	l.removeIfDone(request)
}
