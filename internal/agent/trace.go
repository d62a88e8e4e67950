package agent

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"ploverreel/policy"
)

const (
	// maxTraceLines bounds a trace that nobody stops.
	maxTraceLines = 100_000
	// maxTraceClasses bounds how many classes a line has.
	maxTraceClasses = 16
)

// errTraceStarted is the error of a second trace.
var errTraceStarted = errors.New("trace: already on")

// Trace has the agent log the module's state from now on, once every interval, until the agent ends or
// maxTraceLines are written. It waits for the first line. Its error is that of a second trace, or the
// context's of an agent that has ended.
func (a *Agent) Trace(interval time.Duration) error {
	done := make(chan error, 1)
	a.loop.post(traceRequested{interval: interval, done: done})
	select {
	case err := <-done:
		return err
	case <-a.loop.ctx.Done():
		return a.loop.ctx.Err()
	}
}

// tracer is a trace that was started. It belongs to the loop.
type tracer struct {
	interval time.Duration
	lines    int                  // written so far
	classes  []policy.ClassCounts // of each class, as of the last line
	outcomes policy.OutcomeCounts // as of the last line
}

// startTrace starts the trace, or returns errTraceStarted.
func (l *loop) startTrace(interval time.Duration) error {
	if l.tracer != nil {
		return errTraceStarted
	}
	l.tracer = &tracer{interval: interval}
	l.trace()
	return nil
}

// trace logs one line and sets the timer for the next.
func (l *loop) trace() {
	l.log.Info("trace", l.tracer.attributes(l.balancer.Snapshot(l.nowMs()))...)
	if l.tracer.lines++; l.tracer.lines >= maxTraceLines {
		l.log.Warn("trace stopped at its line limit", "lines", l.tracer.lines)
		return
	}
	l.afterFunc(l.tracer.interval, func() { l.post(traceDue{}) })
}

// attributes returns the attributes of one line. Counts are those since the last line.
func (t *tracer) attributes(state policy.Snapshot) []any {
	all := []any{"limit", rounded(state.Limit), "floor", rounded(state.Floor),
		"inFlight", state.InFlight, "stalled", state.Stalled, "queued", state.Queued,
		"retryBudget", rounded(state.RetryBudget), "uncontendedLatency", rounded(state.UncontendedLatency),
		"latency", rounded(state.Latency), t.outcomeAttr(state.Outcomes)}
	for rank, tier := range state.Tiers {
		all = append(all, slog.Group(fmt.Sprint("tier", rank),
			"endpoints", tier.Endpoints, "warmingUp", tier.WarmingUp, "withCapacity", tier.WithCapacity))
	}
	classes := state.Classes[:min(len(state.Classes), maxTraceClasses)]
	if len(t.classes) != len(classes) { // the first line, or one after a change of the classes
		t.classes = make([]policy.ClassCounts, len(classes))
	}
	for i, class := range classes {
		now, last := class.Counts, t.classes[i]
		all = append(all, slog.Group(class.Name,
			"requests", now.Requests-last.Requests, "attempts", now.Attempts-last.Attempts,
			"served", now.Served-last.Served, "withinObjective", now.WithinObjective-last.WithinObjective,
			"rejected", now.Rejected-last.Rejected, "failed", now.Failed-last.Failed,
			"queued", class.Queued, "expectedMs", rounded(class.ExpectedMs)))
		t.classes[i] = now
	}
	return all
}

// outcomeAttr returns the attribute that counts how attempts ended since the last line.
func (t *tracer) outcomeAttr(now policy.OutcomeCounts) slog.Attr {
	last := t.outcomes
	t.outcomes = now
	return slog.Group("ended", "ok", now.OK-last.OK, "serverError", now.ServerError-last.ServerError,
		"rejected", now.Rejected-last.Rejected, "timeout", now.Timeout-last.Timeout,
		"connectFailed", now.ConnectFailed-last.ConnectFailed, "reset", now.Reset-last.Reset,
		"cancelled", now.Cancelled-last.Cancelled, "notSent", now.NotSent-last.NotSent,
		"localFailure", now.LocalFailure-last.LocalFailure, "unreachable", now.Unreachable-last.Unreachable)
}

// rounded returns a figure cut to three decimal places, which keeps lines short.
func rounded(x float64) float64 { return float64(int64(x*1000)) / 1000 }
