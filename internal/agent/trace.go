package agent

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"ploverreel/policy"
)

const (
	// shortestTrace is the least time between two lines of the trace: it is written by the
	// goroutine that owns the module.
	shortestTrace = 10 * time.Millisecond
	// mostTraceLines bounds a trace that somebody forgot to switch off.
	mostTraceLines = 100_000
	// mostTraceClasses bounds a line.
	mostTraceClasses = 16
)

// ParseTrace reads how often the module's state is to be logged; nothing means never.
func ParseTrace(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	every, err := time.ParseDuration(text)
	switch {
	case err != nil:
		return 0, fmt.Errorf("EDGE_TRACE: no duration: %q", text)
	case every < shortestTrace:
		return 0, fmt.Errorf("EDGE_TRACE: must be at least %v, is %v", shortestTrace, every)
	}
	return every, nil
}

// errTraceTwice tells that a trace is under way already.
var errTraceTwice = errors.New("trace: already on")

// Trace has the agent log the module's state again and again, so many ms apart.
func (a *Agent) Trace(every time.Duration) error {
	done := make(chan error, 1)
	a.loop.post(input{kind: inputTraceStart, every: every, done: done})
	select {
	case err := <-done:
		return err
	case <-a.loop.ctx.Done():
		return a.loop.ctx.Err()
	}
}

// tracer logs the module's state.
type tracer struct {
	every time.Duration
	lines int
	last  []policy.ClassCounts // as of the line before
	ended policy.OutcomeCounts
}

// startTrace begins the trace.
func (l *loop) startTrace(every time.Duration) error {
	if l.tracer != nil {
		return errTraceTwice
	}
	l.tracer = &tracer{every: every}
	l.trace()
	return nil
}

// trace logs one line and sets the time of the next.
func (l *loop) trace() {
	t := l.tracer
	l.log.Info("trace", t.attributes(l.balancer.Snapshot(l.nowMs()))...)
	if t.lines++; t.lines >= mostTraceLines {
		l.log.Warn("trace: ends", "lines", t.lines)
		return
	}
	l.after(t.every, func() { l.post(input{kind: inputTraceDue}) })
}

// attributes are a line's: counts are those since the line before.
func (t *tracer) attributes(s policy.Snapshot) []any {
	all := []any{"limit", rounded(s.Limit), "floor", rounded(s.Floor), "out", s.Inflight, "stuck", s.Stalled,
		"held", s.Queued, "retryBudget", rounded(s.RetryBudget), "calm", rounded(s.UncontendedLatency),
		"latency", rounded(s.Latency), t.outcomes(s.Outcomes)}
	for rank, tier := range s.Tiers {
		all = append(all, slog.Group(fmt.Sprint("tier", rank), "servers", tier.Endpoints, "cold", tier.WarmingUp, "room", tier.WithCapacity))
	}
	classes := s.Classes[:min(len(s.Classes), mostTraceClasses)]
	if len(t.last) != len(classes) { // the first line, or one after a change of the classes
		t.last = make([]policy.ClassCounts, len(classes))
	}
	for i, c := range classes {
		now, was := c.Counts, t.last[i]
		all = append(all, slog.Group(c.Name, "asked", now.Requests-was.Requests, "sent", now.Attempts-was.Attempts,
			"served", now.Served-was.Served, "inTime", now.WithinObjective-was.WithinObjective, "refused", now.Rejected-was.Rejected,
			"failed", now.Failed-was.Failed, "held", c.Queued, "expectedMs", rounded(c.ExpectedMs)))
		t.last[i] = now
	}
	return all
}

// outcomes are how attempts ended since the line before.
func (t *tracer) outcomes(now policy.OutcomeCounts) slog.Attr {
	was := t.ended
	t.ended = now
	return slog.Group("ended", "ok", now.OK-was.OK, "error", now.ServerError-was.ServerError, "full", now.Rejected-was.Rejected,
		"timeout", now.Timeout-was.Timeout, "connect", now.ConnectFailed-was.ConnectFailed, "reset", now.Reset-was.Reset,
		"cancelled", now.Cancelled-was.Cancelled, "moot", now.NotSent-was.NotSent,
		"local", now.LocalFailure-was.LocalFailure, "unreachable", now.Unreachable-was.Unreachable)
}

// rounded keeps lines short.
func rounded(x float64) float64 { return float64(int64(x*1000)) / 1000 }
