package agent

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/endpointlist"
)

// loopInspector is a log handler with which a test inspects the loop's state. It runs a function in
// the loop's goroutine when the loop logs the error that postInspection causes.
type loopInspector struct {
	slog.Handler
	inspections chan func()
}

func (loopInspector) Enabled(context.Context, slog.Level) bool { return true }

func (h loopInspector) Handle(_ context.Context, record slog.Record) error {
	if record.Message == "endpoint list fetch failed" {
		select {
		case inspect := <-h.inspections:
			inspect()
		default:
		}
	}
	return nil
}

// postInspection lets inspect run in the loop's goroutine after all inputs posted so far, and
// returns once it is posted. The loop handles nothing else until inspect returns.
func (a *Agent) postInspection(inspect func(l *loop)) {
	a.log.Handler().(loopInspector).inspections <- func() { inspect(a.loop) }
	a.loop.post(endpointsFetched{err: io.EOF})
}

// inspect runs a function in the loop's goroutine after all inputs posted so far, and waits for it.
func (a *Agent) inspect(inspect func(l *loop)) {
	done := make(chan struct{})
	a.postInspection(func(l *loop) { inspect(l); close(done) })
	<-done
}

// blockLoop blocks the loop until release is closed. Inputs that are posted meanwhile stay queued.
func (a *Agent) blockLoop() (release chan struct{}) {
	occupied, release := make(chan struct{}), make(chan struct{})
	a.postInspection(func(*loop) { close(occupied); <-release })
	<-occupied
	return release
}

// waitForLoop waits until the loop has handled all inputs posted so far.
func (a *Agent) waitForLoop() { a.inspect(func(*loop) {}) }

// applyList posts a whole endpoint list to the loop and waits until it is applied.
func (a *Agent) applyList(seq int64, hosts ...endpointlist.Host) {
	a.loop.post(watchEvent{list: newList(seq, true, hosts...)})
	a.waitForLoop()
}

// readyHost returns the host s-i of an endpoint list, with the health "ready".
func readyHost(i int, dial string) endpointlist.Host {
	return endpointlist.Host{Host: fmt.Sprint("s-", i), Dial: dial, Site: "a", Class: "k", Block: 1, Health: "ready", Share: 1}
}

// hasOpenRequest reports whether the request with this id is open in the loop.
func (a *Agent) hasOpenRequest(id string) (found bool) {
	a.inspect(func(l *loop) {
		for _, r := range l.requests {
			found = found || r.RequestID == id && !r.closed
		}
	})
	return found
}

// hasNoAttempt reports whether the loop has the request with this id and no attempt of it is in
// flight.
func (a *Agent) hasNoAttempt(id string) (none bool) {
	a.inspect(func(l *loop) {
		for _, r := range l.requests {
			none = none || r.RequestID == id && r.inFlight == 0
		}
	})
	return none
}

// takeQueued takes the first input of type T from the queue of a busy loop, and posts the inputs
// before it again.
func takeQueued[T input](t *testing.T, a *Agent) (found T) {
	t.Helper()
	var others []input
	agenttest.Eventually(t, "the input queued", func() bool {
		select {
		case in := <-a.loop.inputs:
			var ok bool
			if found, ok = in.(T); ok {
				return true
			}
			others = append(others, in)
		default:
		}
		return false
	})
	for _, in := range others {
		a.loop.post(in)
	}
	return found
}
