package agent

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"ploverreel/policy"
)

const (
	// maxTraceLines bounds the lines of a trace, which otherwise ends only with the agent.
	maxTraceLines = 100_000
	// maxTraceClasses bounds the number of classes in one line.
	maxTraceClasses = 16
)

// errTraceStarted is returned if a trace has already been started.
var errTraceStarted = errors.New("trace: already on")

// Trace starts a trace: the agent logs the module's state once per interval until the agent ends or
// maxTraceLines are written. Trace waits for the first line. It returns errTraceStarted if a trace
// was already started, and the error of the loop's context if the agent has ended.
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

// tracer is the state of a trace. It belongs to the loop.
type tracer struct {
	interval time.Duration
	lines    int                  // written so far
	classes  []policy.ClassCounts // counts of each class at the last line
	outcomes policy.OutcomeCounts // counts at the last line
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

// attributes returns the attributes of one line. Counts are differences from the last line.
func (t *tracer) attributes(state policy.Snapshot) []any {
	all := []any{"limit", truncated(state.Limit), "floor", truncated(state.Floor),
		"inFlight", state.InFlight, "stalled", state.Stalled, "queued", state.Queued,
		"retryBudget", truncated(state.RetryBudget), "uncontendedLatency", truncated(state.UncontendedLatency),
		"latency", truncated(state.Latency), t.outcomeAttr(state.Outcomes)}
	for rank, tier := range state.Tiers {
		all = append(all, slog.Group(fmt.Sprint("tier", rank),
			"endpoints", tier.Endpoints, "warmingUp", tier.WarmingUp, "withCapacity", tier.WithCapacity))
	}
	classes := state.Classes[:min(len(state.Classes), maxTraceClasses)]
	if len(t.classes) != len(classes) { // first line, or the classes have changed
		t.classes = make([]policy.ClassCounts, len(classes))
	}
	for i, class := range classes {
		now, last := class.Counts, t.classes[i]
		all = append(all, slog.Group(class.Name,
			"requests", now.Requests-last.Requests, "attempts", now.Attempts-last.Attempts,
			"served", now.Served-last.Served, "withinObjective", now.WithinObjective-last.WithinObjective,
			"rejected", now.Rejected-last.Rejected, "failed", now.Failed-last.Failed,
			"queued", class.Queued, "expectedMs", truncated(class.ExpectedMs)))
		t.classes[i] = now
	}
	return all
}

// outcomeAttr returns the attribute with the number of attempts per outcome since the last line.
func (t *tracer) outcomeAttr(now policy.OutcomeCounts) slog.Attr {
	last := t.outcomes
	t.outcomes = now
	return slog.Group("ended", "ok", now.OK-last.OK, "serverError", now.ServerError-last.ServerError,
		"rejected", now.Rejected-last.Rejected, "timeout", now.Timeout-last.Timeout,
		"connectFailed", now.ConnectFailed-last.ConnectFailed, "reset", now.Reset-last.Reset,
		"cancelled", now.Cancelled-last.Cancelled, "notSent", now.NotSent-last.NotSent,
		"localFailure", now.LocalFailure-last.LocalFailure, "unreachable", now.Unreachable-last.Unreachable)
}

// truncated returns a number truncated to three decimal places, which keeps lines short.
func truncated(x float64) float64 { return float64(int64(x*1000)) / 1000 }
