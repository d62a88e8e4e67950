package agent

import (
	"context"
	"time"

	"ploverreel/policy"
)

// send starts an attempt.
func (l *loop) send(r *request, act *policy.Action) {
	b := l.backends[act.Server]
	if b == nil {
		b = &backend{addr: act.Server, conns: l.pool.newBackendConns("")}
	}
	a := &attempt{request: r, index: len(r.attempts), backend: b, conns: b.conns, started: time.Now()}
	if act.WithinMs > 0 {
		a.beginBy = l.decidedAt.Add(millis(act.WithinMs))
	}
	ctx, cancel := context.WithCancelCause(l.ctx)
	var stop context.CancelFunc
	a.ctx, stop = context.WithDeadline(ctx, l.decidedAt.Add(millis(act.DelayMs)))
	a.cancel = func(cause error) {
		cancel(cause)
		stop()
	}
	r.attempts = append(r.attempts, a)
	r.open++
	begun := false
	defer func() { // after a panic too: the module waits for the end of each attempt
		if !begun {
			a.cancel(nil)
			l.followUps = append(l.followUps, input{kind: inputOutcome, attempt: a, result: result{status: policy.StatusNotSent}})
		}
	}()
	if !b.usable || r.answered || r.clientGone.Load() {
		// The module sends to what is listed as ready only; should it not, nothing goes out.
		// Nor does it for a client whose leaving is still in the queue.
		return
	}
	b.attempts[a] = struct{}{}
	begun = true
	go func() { l.post(input{kind: inputOutcome, attempt: a, result: a.run()}) }()
}

func (l *loop) onOutcome(a *attempt, res *result) {
	r, b := a.request, a.backend
	delete(b.attempts, a)
	l.removeBackend(b)
	r.open--
	if res.broken != nil {
		l.log.Error("attempt ended", "err", res.broken)
	}
	if res.status == policy.StatusLocalFailure || res.status == policy.StatusUnreachable {
		r.attempts[a.index] = nil
	}
	if res.status == policy.StatusOK {
		l.answer(r, response{status: policy.StatusOK, body: res.body, contentType: res.contentType})
	}
	if res.status == policy.StatusTimeout {
		// The machine may have vanished; its other connections would be as silent.
		b.conns.closeIdle()
	}
	l.notify(&policy.Event{Kind: policy.EventOutcome, Request: r.id, Attempt: a.index, Server: b.addr,
		Status: res.status, LatencyMs: float64(res.elapsed) / float64(time.Millisecond),
		Final: r.answered, Report: report(res.load, l.config.Settings.Report.Names)})
	l.forget(r)
}
