package agent

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"ploverreel/policy"
)

// The trace writes one line at its start and one each time its timer fires, with the counts since
// the last line. It stops at its line limit.
func TestTraceLogsTheModulesState(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:1", "127.0.0.1:2")
	var text bytes.Buffer
	l.log = slog.New(slog.NewTextHandler(&text, nil))
	timers := 0
	l.afterFunc = func(d time.Duration, _ func()) *time.Timer {
		if d != time.Second {
			t.Errorf("got a timer of %v for the next line, want 1s", d)
		}
		timers++
		return nil
	}
	if err := l.startTrace(time.Second); err != nil {
		t.Fatalf("got %v, want the trace started", err)
	}
	if err := l.startTrace(time.Second); err != errTraceStarted {
		t.Errorf("got %v from a second trace, want %v", err, errTraceStarted)
	}
	l.balancer.Handle(l.nowMs(), &policy.RequestArrived{Request: 1, TimeLeftMs: 1000}, nil)
	for range 2 {
		l.handle(traceDue{})
	}
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	if len(lines) != 3 || timers != 3 {
		t.Fatalf("got %d lines and %d timers, want 3 of each; log:\n%s", len(lines), timers, text.String())
	}
	class := l.config.Settings.Classes[0].Name
	for i, want := range []string{class + ".requests=0", class + ".requests=1", class + ".requests=0"} {
		if !strings.Contains(lines[i], want) || !strings.Contains(lines[i], "tier0.endpoints=2") {
			t.Errorf("line %d: got %s, want %s and tier0.endpoints=2", i, lines[i], want)
		}
	}
	l.tracer.lines = maxTraceLines - 1
	l.handle(traceDue{})
	if want := fmt.Sprint(`msg="trace stopped at its line limit" lines=`, maxTraceLines); timers != 3 || !strings.Contains(text.String(), want) {
		t.Errorf("got %d timers after the last line, want no further timer and %s", timers, want)
	}
}

// traceKeys returns the keys of the attributes of a trace line. Keys in a group have the group's
// name as a prefix.
func traceKeys(attributes []any) (keys []string) {
	for i := 0; i < len(attributes); i++ {
		group, isGroup := attributes[i].(slog.Attr)
		if !isGroup {
			keys = append(keys, attributes[i].(string))
			i++ // skips the value
			continue
		}
		for _, attr := range group.Value.Group() {
			keys = append(keys, group.Key+"."+attr.Key)
		}
	}
	return keys
}

// Operators read the attributes of the trace, so their names and their order don't change.
func TestTraceAttributesKeepTheirNames(t *testing.T) {
	state := policy.Snapshot{Classes: []policy.ClassSnapshot{{Name: "order"}}}
	got := traceKeys((&tracer{}).attributes(state))
	want := strings.Fields("limit floor inFlight stalled queued retryBudget uncontendedLatency latency " +
		"ended.ok ended.serverError ended.rejected ended.timeout ended.connectFailed ended.reset ended.cancelled " +
		"ended.notSent ended.localFailure ended.unreachable " +
		"tier0.endpoints tier0.warmingUp tier0.withCapacity tier1.endpoints tier1.warmingUp tier1.withCapacity " +
		"tier2.endpoints tier2.warmingUp tier2.withCapacity " +
		"order.requests order.attempts order.served order.withinObjective order.rejected order.failed order.queued order.expectedMs")
	if !slices.Equal(got, want) {
		t.Errorf("got attributes\n%v, want\n%v", got, want)
	}
}
