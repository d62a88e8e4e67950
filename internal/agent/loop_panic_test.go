package agent

import (
	"net/http"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/backend"
	"ploverreel/policy"
)

// A panic in the midst of the module's actions costs none of the others: what was to be sent and
// was not ends as an attempt that never ran, each request gets one answer, and nothing stays taken.
func TestPanicAmongActions(t *testing.T) {
	l := quietLoop(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	var requests []*request
	for range 3 {
		r := &request{config: l.config, class: 2, answers: make(chan response, 2), Request: backend.Request{
			Method: http.MethodPost, Target: "/order/u1", Host: "b", RequestID: "id" + string(rune('a'+len(requests))),
			Deadline: time.Now().Add(agenttest.Never)}}
		requests = append(requests, r)
	}
	for _, b := range l.backends {
		b.attempts = nil // a write to it panics
	}
	for _, r := range requests {
		l.handle(requestArrived{request: r})
		for len(l.followUps) > 0 {
			var in input
			in, l.followUps = l.followUps[0], l.followUps[1:]
			l.handle(in)
		}
	}
	for i, r := range requests {
		select {
		case a := <-r.answers:
			if a.status != policy.StatusRejected {
				t.Errorf("request %d was answered %d", i, a.status)
			}
		default:
			t.Errorf("request %d was not answered", i)
		}
		if len(r.answers) > 0 || r.inFlight != 0 {
			t.Errorf("request %d: %d more answers, %d attempts in flight", i, len(r.answers), r.inFlight)
		}
	}
	if s := l.balancer.Snapshot(l.nowMs()); s.Inflight != 0 || s.Queued != 0 || len(l.requests) != 0 {
		t.Errorf("%d in flight, %d queued, %d requests", s.Inflight, s.Queued, len(l.requests))
	}
}

// An action that panics does not take those behind it with it.
func TestActionsBehindAPanic(t *testing.T) {
	l := quietLoop(t, "127.0.0.1:1")
	r := &request{id: 7, answers: make(chan response, 1)}
	l.requests[1], l.requests[7] = nil, r
	l.requests[2] = &request{id: 2, progress: progress{attempts: []*attempt{{}}}} // cancelling it panics
	l.actions = []policy.Action{policy.CancelAttempt(2, 0), policy.RejectRequest(7, 0)}
	func() {
		defer func() { _ = recover() }()
		l.perform()
	}()
	if len(r.answers) != 1 {
		t.Error("the refusal behind a panic was lost")
	}
}

// A panic in a change of the configuration is the error that its caller gets.
func TestReloadThatPanics(t *testing.T) {
	l := quietLoop(t, "127.0.0.1:1")
	done := make(chan error, 1)
	l.handle(reloadRequested{done: done}) // no configuration at all
	select {
	case err := <-done:
		if err == nil {
			t.Error("taken for a success")
		}
	default:
		t.Error("no error was sent")
	}
}
