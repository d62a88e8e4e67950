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

// loopInspector is a log handler that lets a test inspect the loop's state: it runs a function in
// the loop's goroutine when the loop logs the error that look posted.
type loopInspector struct {
	slog.Handler
	inspect chan func()
}

func (loopInspector) Enabled(context.Context, slog.Level) bool { return true }

func (h loopInspector) Handle(_ context.Context, record slog.Record) error {
	if record.Message == "endpoint list fetch failed" {
		select {
		case inspect := <-h.inspect:
			inspect()
		default:
		}
	}
	return nil
}

// postLook has inspect run in the loop's goroutine, after all inputs posted so far, and returns once
// that is posted. The loop handles nothing else until inspect returns.
func (a *Agent) postLook(inspect func(l *loop)) {
	a.log.Handler().(loopInspector).inspect <- func() { inspect(a.loop) }
	a.loop.post(endpointsFetched{err: io.EOF})
}

// look runs inspect in the loop's goroutine, after all inputs posted so far.
func (a *Agent) look(inspect func(l *loop)) {
	done := make(chan struct{})
	a.postLook(func(l *loop) { inspect(l); close(done) })
	<-done
}

// occupyLoop keeps the loop busy until release is closed. What is posted meanwhile is queued.
func (a *Agent) occupyLoop() (release chan struct{}) {
	occupied, release := make(chan struct{}), make(chan struct{})
	a.postLook(func(*loop) { close(occupied); <-release })
	<-occupied
	return release
}

// awaitLoop waits until the loop has handled all inputs posted so far.
func (a *Agent) awaitLoop() { a.look(func(*loop) {}) }

// applyList posts a complete endpoint list to the loop and waits until it is applied.
func (a *Agent) applyList(seq int64, hosts ...endpointlist.Host) {
	a.loop.post(watchEvent{list: listOf(seq, true, hosts...)})
	a.awaitLoop()
}

// readyHost returns the endpoint s-i of an endpoint list.
func readyHost(i int, dial string) endpointlist.Host {
	return endpointlist.Host{Host: fmt.Sprint("s-", i), Dial: dial, Site: "a", Class: "k", Block: 1, Health: "ready", Share: 1}
}

// holds reports whether the loop has the request with this id in progress.
func (a *Agent) holds(id string) (found bool) {
	a.look(func(l *loop) {
		for _, r := range l.requests {
			found = found || r.RequestID == id && !r.closed
		}
	})
	return found
}

// hasNoAttempt reports whether the loop has the request with this id, and no attempt of it in
// flight.
func (a *Agent) hasNoAttempt(id string) (none bool) {
	a.look(func(l *loop) {
		for _, r := range l.requests {
			none = none || r.RequestID == id && r.inFlight == 0
		}
	})
	return none
}

// takeQueued takes the first input of a kind out of the queue of a busy loop, and posts those before
// it again.
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
