package agent

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"ploverreel/policy"
)

// The trace writes one line at its start and one each time it is due, with the counts since the
// line before, and ends when it has written all that it may.
func TestTraceLogsTheModulesState(t *testing.T) {
	l := quietLoop(t, "127.0.0.1:1", "127.0.0.1:2")
	var text bytes.Buffer
	l.log = slog.New(slog.NewTextHandler(&text, nil))
	due := 0
	l.afterFunc = func(d time.Duration, _ func()) *time.Timer {
		if d != time.Second {
			t.Errorf("the next line is due after %v", d)
		}
		due++
		return nil
	}
	if err := l.startTrace(time.Second); err != nil {
		t.Fatal(err)
	}
	if err := l.startTrace(time.Second); err == nil {
		t.Error("a second trace was begun")
	}
	l.balancer.Handle(l.nowMs(), &policy.RequestArrived{Request: 1, TimeLeftMs: 1000}, nil)
	for range 2 {
		l.handle(traceDue{})
	}
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	if len(lines) != 3 || due != 3 {
		t.Fatalf("%d lines, %d times due:\n%s", len(lines), due, text.String())
	}
	class := l.config.Settings.Classes[0].Name
	for i, want := range []string{class + ".requests=0", class + ".requests=1", class + ".requests=0"} {
		if !strings.Contains(lines[i], want) || !strings.Contains(lines[i], "tier0.endpoints=2") {
			t.Errorf("line %d lacks %s or the endpoints: %s", i, want, lines[i])
		}
	}
	l.tracer.lines = maxTraceLines - 1
	l.handle(traceDue{})
	if due != 3 || !strings.Contains(text.String(), "trace stopped at its line limit") {
		t.Error("the trace goes on past its bound")
	}
}
