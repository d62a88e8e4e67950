package agent

import (
	"context"
	"time"

	"ploverreel/internal/config"
	"ploverreel/policy"
)

// send starts an attempt in a goroutine of its own, which ends with the attempt's context: at its
// timeout, when the attempt is cancelled, or with the loop's. Its end is posted once, also if it
// could not begin: the module waits for the end of each attempt.
func (l *loop) send(request *request, action *policy.Action) {
	target := l.backends[action.Server]
	if target == nil {
		target = &backend{addr: action.Server, conns: l.pool.newBackendConns("")}
	}
	current := l.newAttempt(request, target, action)
	request.attempts = append(request.attempts, current)
	request.open++
	begun := false
	defer func() { // after a panic too
		if !begun {
			current.cancel(nil)
			l.followUps = append(l.followUps, attemptEnded{attempt: current, result: result{status: policy.StatusNotSent}})
		}
	}()
	if !target.usable || request.answered || request.clientGone.Load() {
		// The module sends only to what is listed as ready; should it not, nothing goes out. Nor
		// does it for a client whose end is still in the queue.
		return
	}
	target.attempts[current] = struct{}{}
	begun = true
	go func() { l.post(attemptEnded{attempt: current, result: current.run()}) }()
}

// newAttempt is an attempt with its times, which count from the decision.
func (l *loop) newAttempt(request *request, target *backend, action *policy.Action) *attempt {
	created := &attempt{request: request, index: len(request.attempts), backend: target, conns: target.conns, started: time.Now()}
	if action.BeginWithinMs > 0 {
		created.beginBy = l.decidedAt.Add(config.Milliseconds(action.BeginWithinMs))
	}
	ctx, cancel := context.WithCancelCause(l.ctx)
	var stop context.CancelFunc
	created.ctx, stop = context.WithDeadline(ctx, l.decidedAt.Add(config.Milliseconds(action.TimeoutMs)))
	created.cancel = func(cause error) {
		cancel(cause)
		stop()
	}
	return created
}

// onOutcome takes the end of an attempt: an OK answers the request, and the module is notified of
// each.
func (l *loop) onOutcome(ended *attempt, outcome *result) {
	request, target := ended.request, ended.backend
	delete(target.attempts, ended)
	l.removeBackend(target)
	request.open--
	if outcome.broken != nil {
		l.log.Error("attempt ended", "err", outcome.broken)
	}
	switch outcome.status {
	case policy.StatusLocalFailure, policy.StatusUnreachable:
		request.attempts[ended.index] = nil
	case policy.StatusOK:
		l.answer(request, response{status: policy.StatusOK, body: outcome.body, contentType: outcome.contentType})
	case policy.StatusTimeout:
		// The machine may have vanished; its other connections would be as silent.
		target.conns.closeIdle()
	}
	l.notify(&policy.AttemptEnded{Request: request.id, Attempt: ended.index, Server: target.addr,
		Status: outcome.status, LatencyMs: float64(outcome.elapsed) / float64(time.Millisecond),
		Final: request.answered, Report: report(outcome.load, l.config.Settings.Report.Names)})
	l.forget(request)
}
