package agent

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// A panic in the loop loses only one input.
func TestLoopServesAfterPanic(t *testing.T) {
	addr, _ := agenttest.IDBackend(t, 200, false)
	agent, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	agent.loop.post(requestArrived{request: nil})
	checkStatus(t, base, http.StatusOK, "after a panic")
}

// A panic in one of the module's actions doesn't affect the others. An attempt that could not be
// sent ends as one that never ran, each request gets one response, and no attempt stays in flight.
func TestLoopAnswersEachRequestAfterPanicsInActions(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	var requests []*request
	for i := range 3 {
		requests = append(requests, newLoopRequest(l.config, fmt.Sprint("id", i), time.Now().Add(agenttest.LongTimeout)))
	}
	for _, target := range l.backends {
		target.attempts = nil // a write to it panics
	}
	for _, r := range requests {
		l.handle(requestArrived{request: r})
		l.handleFollowUps()
	}
	for i, r := range requests {
		select {
		case got := <-r.responses:
			if got.status != policy.StatusRejected {
				t.Errorf("request %d: got status %d, want %d", i, got.status, policy.StatusRejected)
			}
		default:
			t.Errorf("request %d: got no response, want one", i)
		}
		if len(r.responses) > 0 || r.inFlight != 0 {
			t.Errorf("request %d: got %d more responses and %d attempts in flight, want none", i, len(r.responses), r.inFlight)
		}
	}
	if got := l.balancer.Snapshot(l.nowMs()); got.InFlight != 0 || got.Queued != 0 {
		t.Errorf("got %d requests in flight and %d queued in the module, want none", got.InFlight, got.Queued)
	}
	if len(l.requests) != 0 {
		t.Errorf("got %d open requests, want 0", len(l.requests))
	}
}

func TestLoopExecutesActionsAfterPanic(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:1")
	rejected := &request{id: 7, responses: make(chan response, 1)}
	l.requests[1], l.requests[7] = nil, rejected
	l.requests[2] = &request{id: 2, progress: progress{attempts: []*attempt{{}}}} // its cancellation panics
	l.actions = []policy.Action{policy.CancelAttempt(2, 0), policy.RejectRequest(7, 0)}
	func() {
		defer func() { _ = recover() }()
		l.executeActions()
	}()
	if len(rejected.responses) != 1 {
		t.Errorf("got %d responses by the action after a panic, want 1", len(rejected.responses))
	}
}

// A panic is logged with the input, action or event that was handled, and the loop continues.
func TestLoopLogsPanics(t *testing.T) {
	for _, c := range []struct {
		name    string
		provoke func(*loop)
		want    string
	}{
		{"in an input", func(l *loop) { l.handle(requestArrived{}) }, `msg="panic in event loop" input=agent.requestArrived panic=`},
		{"in an action", func(l *loop) {
			l.requests[2] = &request{id: 2, progress: progress{attempts: []*attempt{{}}}}
			l.actions = []policy.Action{policy.CancelAttempt(2, 0)}
			l.executeActions()
		}, `msg="panic in event loop" action=` + fmt.Sprint(int(policy.ActionCancelAttempt)) + ` panic=`},
		{"in the module", func(l *loop) { l.notify((*policy.RequestArrived)(nil)) },
			`msg="panic in decision module" event=RequestArrived panic=`},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, log := newLoggingLoop(t, refusingAddr)
			c.provoke(l)
			got := log.String()
			if !strings.HasPrefix(got, "level=ERROR "+c.want) || !strings.Contains(got, " stack=") {
				t.Errorf("got log\n%s, want an error with %s and a stack", got, c.want)
			}
			if strings.Count(got, "\n") != 1 {
				t.Errorf("got log\n%s, want one line", got)
			}
			l.handle(watchEvent{list: newList(2, true)})
			if backend := l.backends[endpointlist.AddressOf("s-0")]; backend != nil {
				t.Error("the list after the panic was not applied, want it applied")
			}
		})
	}
}

// A text of the module is logged as an attribute of a constant message.
func TestLoopLogsTextOfModule(t *testing.T) {
	l, log := newLoggingLoop(t, refusingAddr)
	l.actions = []policy.Action{policy.LogText("all is well")}
	l.executeActions()
	want := `level=INFO msg="decision module message" text="all is well"`
	if got := strings.TrimSpace(log.String()); got != want {
		t.Errorf("got log\n%s, want\n%s", got, want)
	}
}

// A panic during a reload is returned to its caller as an error.
func TestReloadReturnsPanicAsError(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:1")
	done := make(chan error, 1)
	l.handle(reloadRequested{done: done}) // without a configuration
	select {
	case err := <-done:
		if err == nil {
			t.Error("got no error from a reload that panics, want one")
		}
	default:
		t.Error("got no result from a reload that panics, want an error")
	}
}
