package agent

import (
	"runtime/debug"
	"time"

	"ploverreel/policy"
)

// notify hands the module one event and carries out what it decides.
func (l *loop) notify(ev *policy.Event) {
	l.decidedAt = time.Now()
	l.actions = l.decide(l.nowMs(), ev)
	l.perform()
}

// decide hands the module one event. What it had decided before a panic counts: it waits for
// the ends of those attempts.
func (l *loop) decide(now float64, ev *policy.Event) (actions []policy.Action) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic in the module", "event", ev.Kind, "panic", p, "stack", string(debug.Stack()))
			actions = l.balancer.Decided()
		}
	}()
	return l.balancer.Handle(now, ev, l.actions[:0])
}

// perform carries out the module's actions in their order.
func (l *loop) perform() {
	for i := range l.actions {
		l.carryOut(&l.actions[i])
	}
}

// carryOut carries out one action. A panic costs that action alone: those behind it belong to
// other requests, and the module counts on them.
func (l *loop) carryOut(act *policy.Action) {
	defer l.recovered("action", int(act.Kind))
	r := l.requests[act.Request]
	switch act.Kind {
	case policy.ActionSend:
		if r != nil {
			l.send(r, act)
		}
	case policy.ActionCancel:
		if r != nil && act.Attempt >= 0 && act.Attempt < len(r.attempts) {
			if a := r.attempts[act.Attempt]; a != nil {
				a.withdraw() // else its first byte could still cross this
				a.cancel(errCancelled)
			}
		}
	case policy.ActionReject:
		if r != nil {
			l.answer(r, response{status: policy.StatusRejected, retryAfter: millis(act.DelayMs)})
			l.forget(r)
		}
	case policy.ActionFail:
		if r != nil {
			l.answer(r, response{status: policy.StatusServerError})
			l.forget(r)
		}
	case policy.ActionTimer:
		token := act.Token
		time.AfterFunc(millis(act.DelayMs), func() { l.post(timerFired{token: token}) })
	case policy.ActionWatch:
		if !l.watch.watching {
			l.watch.watching = true
			go l.watch.discovery.watch(l.watch.listVersion, false)
		}
	case policy.ActionFetch:
		if !l.watch.fetching {
			l.watch.fetching = true
			go l.watch.discovery.fetch(false)
		}
	case policy.ActionCloseIdle:
		if b := l.backends[act.Server]; b != nil {
			b.conns.closeIdle()
		}
	case policy.ActionLog:
		l.log.Info(act.Text)
	}
}
