package agent

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"ploverreel/policy"
)

const (
	// maxTraceLines bounds a trace that somebody forgot to switch off.
	maxTraceLines = 100_000
	// maxTraceClasses bounds a line.
	maxTraceClasses = 16
)

// errTraceIsOn is the error of a second trace.
var errTraceIsOn = errors.New("trace: already on")

// Trace has the agent log the module's state from now on, so far apart, until the agent ends or
// maxTraceLines are written. It waits for the first line. Its error is that of a second trace, or the
// context's of an agent that has ended.
func (a *Agent) Trace(every time.Duration) error {
	done := make(chan error, 1)
	a.loop.post(traceRequested{every: every, done: done})
	select {
	case err := <-done:
		return err
	case <-a.loop.ctx.Done():
		return a.loop.ctx.Err()
	}
}

// tracer is a trace that is on. It belongs to the loop.
type tracer struct {
	every time.Duration
	lines int                  // written so far
	last  []policy.ClassCounts // of each class, as of the line before
	ended policy.OutcomeCounts // as of the line before
}

// startTrace begins the trace, or fails with errTraceIsOn.
func (l *loop) startTrace(every time.Duration) error {
	if l.tracer != nil {
		return errTraceIsOn
	}
	l.tracer = &tracer{every: every}
	l.trace()
	return nil
}

// trace logs one line and sets the time of the next.
func (l *loop) trace() {
	l.log.Info("trace", l.tracer.attributes(l.balancer.Snapshot(l.nowMs()))...)
	if l.tracer.lines++; l.tracer.lines >= maxTraceLines {
		l.log.Warn("trace stopped at its line limit", "lines", l.tracer.lines)
		return
	}
	l.after(l.tracer.every, func() { l.post(traceDue{}) })
}

// attributes are those of one line: counts are those since the line before.
func (t *tracer) attributes(state policy.Snapshot) []any {
	all := []any{"limit", rounded(state.Limit), "floor", rounded(state.Floor), "inFlight", state.Inflight, "stalled", state.Stalled,
		"queued", state.Queued, "retryBudget", rounded(state.RetryBudget), "uncontendedLatency", rounded(state.UncontendedLatency),
		"latency", rounded(state.Latency), t.outcomes(state.Outcomes)}
	for rank, tier := range state.Tiers {
		all = append(all, slog.Group(fmt.Sprint("tier", rank), "endpoints", tier.Endpoints, "warmingUp", tier.WarmingUp, "withCapacity", tier.WithCapacity))
	}
	classes := state.Classes[:min(len(state.Classes), maxTraceClasses)]
	if len(t.last) != len(classes) { // the first line, or one after a change of the classes
		t.last = make([]policy.ClassCounts, len(classes))
	}
	for i, class := range classes {
		now, was := class.Counts, t.last[i]
		all = append(all, slog.Group(class.Name, "requests", now.Requests-was.Requests, "attempts", now.Attempts-was.Attempts,
			"served", now.Served-was.Served, "withinObjective", now.WithinObjective-was.WithinObjective, "rejected", now.Rejected-was.Rejected,
			"failed", now.Failed-was.Failed, "queued", class.Queued, "expectedMs", rounded(class.ExpectedMs)))
		t.last[i] = now
	}
	return all
}

// outcomes are how attempts ended since the line before.
func (t *tracer) outcomes(now policy.OutcomeCounts) slog.Attr {
	was := t.ended
	t.ended = now
	return slog.Group("ended", "ok", now.OK-was.OK, "serverError", now.ServerError-was.ServerError, "rejected", now.Rejected-was.Rejected,
		"timeout", now.Timeout-was.Timeout, "connectFailed", now.ConnectFailed-was.ConnectFailed, "reset", now.Reset-was.Reset,
		"cancelled", now.Cancelled-was.Cancelled, "notSent", now.NotSent-was.NotSent,
		"localFailure", now.LocalFailure-was.LocalFailure, "unreachable", now.Unreachable-was.Unreachable)
}

// rounded is a figure to three places, which keeps lines short.
func rounded(x float64) float64 { return float64(int64(x*1000)) / 1000 }
