package agent

import (
	"context"
	"net"
	"strings"
	"testing"

	"ploverreel/internal/endpointlist"
)

func TestLoopLogsPanicOfAttempt(t *testing.T) {
	l, text := loggingLoop(t, nowhere)
	l.pool.DialContext = func(context.Context, string, string) (net.Conn, error) { panic("boom") }
	panics := newLoopAttempt(l.backends[endpointlist.AddressOf("s-0")])
	l.handle(attemptEnded{attempt: panics, result: panics.Run()})
	want := `level=ERROR msg="attempt panicked" err="panic in an attempt: boom\n`
	if got := text.String(); !strings.HasPrefix(got, want) || strings.Count(got, "\n") != 1 {
		t.Errorf("got log\n%s, want one line that begins with\n%s", got, want)
	}
	text.Reset()
	l.pool.DialContext = (&net.Dialer{}).DialContext
	fails := newLoopAttempt(l.backends[endpointlist.AddressOf("s-0")])
	l.handle(attemptEnded{attempt: fails, result: fails.Run()})
	if got := text.String(); got != "" {
		t.Errorf("got log\n%s, want none of an attempt that fails without a panic", got)
	}
}
