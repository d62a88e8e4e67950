package agent

import (
	"reflect"
	"runtime/debug"
	"time"

	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/policy"
)

// notify passes one event to the module and executes the actions that the module decides.
func (l *loop) notify(event policy.Event) {
	l.decidedAt = time.Now()
	l.actions = l.handleEvent(l.nowMs(), event)
	l.executeActions()
}

// handleEvent passes one event to the module and returns the actions that the module decides. If the
// module panics, handleEvent returns the actions decided before the panic, because the module waits
// for the end of the attempts that they start.
func (l *loop) handleEvent(nowMs float64, event policy.Event) (actions []policy.Action) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic in decision module", "event", eventName(event), "panic", p, "stack", string(debug.Stack()))
			actions = l.balancer.Actions()
		}
	}()
	return l.balancer.Handle(nowMs, event, l.actions[:0])
}

// eventName returns the name of an event's type. Unlike formatting with package fmt, it doesn't make
// the event escape to the heap.
func eventName(event policy.Event) string { return reflect.TypeOf(event).Elem().Name() }

// executeActions executes the module's actions in order.
func (l *loop) executeActions() {
	for i := range l.actions {
		l.execute(&l.actions[i])
	}
}

// execute executes one action. It recovers a panic, because the following actions may belong to
// other requests, and the module relies on their execution.
func (l *loop) execute(action *policy.Action) {
	defer l.recoverAction(action.Kind)
	switch action.Kind {
	case policy.ActionSendAttempt, policy.ActionCancelAttempt, policy.ActionRejectRequest, policy.ActionFailRequest:
		if request := l.requests[action.Request]; request != nil {
			l.executeForRequest(request, action)
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

// recoverAction recovers from a panic in the execution of an action, and logs it. It must be
// deferred.
func (l *loop) recoverAction(kind policy.ActionKind) {
	if p := recover(); p != nil {
		l.log.Error("panic in event loop", "action", int(kind), "panic", p, "stack", string(debug.Stack()))
	}
}

// executeForRequest executes an action on an open request.
func (l *loop) executeForRequest(request *request, action *policy.Action) {
	switch action.Kind {
	case policy.ActionSendAttempt:
		l.startAttempt(request, action)
	case policy.ActionCancelAttempt:
		if action.Attempt < 0 || action.Attempt >= len(request.attempts) {
			return
		}
		if attempt := request.attempts[action.Attempt]; attempt != nil {
			attempt.Cancel(backend.ErrCancelled)
		}
	case policy.ActionRejectRequest:
		l.respond(request, response{status: policy.StatusRejected, retryAfter: config.Milliseconds(action.RetryAfterMs)})
		l.removeIfDone(request)
	case policy.ActionFailRequest:
		l.respond(request, response{status: policy.StatusServerError})
		l.removeIfDone(request)
	}
}
