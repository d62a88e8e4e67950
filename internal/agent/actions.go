package agent

import (
	"reflect"
	"runtime/debug"
	"time"

	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/policy"
)

// notify hands the module one event and carries out what it decides.
func (l *loop) notify(event policy.Event) {
	l.decidedAt = time.Now()
	l.actions = l.decide(l.nowMs(), event)
	l.perform()
}

// decide hands the module one event and returns what it decides. After a panic it returns what the
// module had decided until then: the module waits for the ends of those attempts.
func (l *loop) decide(nowMs float64, event policy.Event) (actions []policy.Action) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic in decision module", "event", eventName(event), "panic", p, "stack", string(debug.Stack()))
			actions = l.balancer.Actions()
		}
	}()
	return l.balancer.Handle(nowMs, event, l.actions[:0])
}

// eventName returns the name of an event's type. It keeps the event on the caller's stack, which the
// formatting of package fmt would not.
func eventName(event policy.Event) string { return reflect.TypeOf(event).Elem().Name() }

// perform carries out the module's actions in their order.
func (l *loop) perform() {
	for i := range l.actions {
		l.carryOut(&l.actions[i])
	}
}

// carryOut carries out one action. A panic costs that action alone: the next ones belong to other
// requests, and the module relies on them.
func (l *loop) carryOut(action *policy.Action) {
	defer l.recoverAction(action.Kind)
	switch action.Kind {
	case policy.ActionSendAttempt, policy.ActionCancelAttempt, policy.ActionRejectRequest, policy.ActionFailRequest:
		if request := l.requests[action.Request]; request != nil {
			l.carryOutFor(request, action)
		}
	case policy.ActionSetTimer:
		token := action.Token
		time.AfterFunc(config.Milliseconds(action.DelayMs), func() { l.post(timerFired{token: token}) })
	case policy.ActionOpenWatch:
		l.openWatch()
	case policy.ActionFetchEndpoints:
		l.startFetch()
	case policy.ActionCloseIdleConnections:
		if target := l.backends[action.Server]; target != nil {
			target.conns.CloseIdle()
		}
	case policy.ActionLogText:
		l.log.Info("decision module message", "text", action.Text)
	}
}

// recoverAction logs a panic while an action was carried out, if there is one, and lets the loop go on.
// It is to be deferred.
func (l *loop) recoverAction(kind policy.ActionKind) {
	if p := recover(); p != nil {
		l.log.Error("panic in event loop", "action", int(kind), "panic", p, "stack", string(debug.Stack()))
	}
}

// carryOutFor carries out an action that is about an open request.
func (l *loop) carryOutFor(request *request, action *policy.Action) {
	switch action.Kind {
	case policy.ActionSendAttempt:
		l.send(request, action)
	case policy.ActionCancelAttempt:
		if action.Attempt < 0 || action.Attempt >= len(request.attempts) {
			return
		}
		if attempt := request.attempts[action.Attempt]; attempt != nil {
			attempt.Cancel(backend.ErrCancelled)
		}
	case policy.ActionRejectRequest:
		l.answer(request, response{status: policy.StatusRejected, retryAfter: config.Milliseconds(action.RetryAfterMs)})
		l.removeIfDone(request)
	case policy.ActionFailRequest:
		l.answer(request, response{status: policy.StatusServerError})
		l.removeIfDone(request)
	}
}
