// Package decisions measures the decision module alone: one balancer is driven through virtual
// time, and the cost of each kind of event is measured, against the number of servers listed,
// requests queued, the shares of warming and of unhealthy servers and the number of agents.
package decisions

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"

	"ploverreel/internal/fleet"
)

// Run plays all cases and adds them, with the lines fitted through them, to the result. Times are
// processor time of the calling goroutine's thread, which it locks meanwhile. It returns an error for
// invalid options, where the thread's clock can't be read, or when the context ends.
func Run(ctx context.Context, log *slog.Logger, o Options, r *fleet.Result) error {
	all, err := o.allSeries()
	if err != nil {
		return err
	}
	// Times are the thread's: nothing else may run on it, and the play not on another.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	clockReadNs, err := measureClockReadNs()
	if err != nil {
		return err
	}
	for _, s := range all {
		for _, b := range s.cases {
			if err := b.start(ctx, o); err != nil {
				return err
			}
		}
		log.Info("ready", "series", s.name, "cases", len(s.cases))
	}
	if err := o.measureRounds(ctx, log, all, clockReadNs); err != nil {
		return err
	}
	for _, s := range all {
		s.addCasesAndFits(r)
	}
	limitCases, err := o.concurrencyLimitCases(ctx)
	if err != nil {
		return err
	}
	r.Cases = append(r.Cases, limitCases...)
	log.Info("played the limit on attempts", "cases", len(limitCases))
	return nil
}

// measureRounds plays the rounds. Every round has all cases: what slows the machine for a while slows them alike.
func (o Options) measureRounds(ctx context.Context, log *slog.Logger, all []*series, clockReadNs float64) error {
	for round := range o.Repeats {
		for _, s := range all {
			for _, b := range s.cases {
				if err := ctx.Err(); err != nil {
					return fmt.Errorf("decide: interrupted: %w", err)
				}
				b.measureRound(o, clockReadNs)
			}
		}
		log.Info("measured", "round", round+1, "of", o.Repeats)
	}
	return nil
}

// addCasesAndFits adds the cases of the series and the lines through them. A line that has too few sizes is a note.
func (s *series) addCasesAndFits(r *fleet.Result) {
	var cases []fleet.Case
	for _, b := range s.cases {
		cases = append(cases, b.medianCase(s))
	}
	r.Cases = append(r.Cases, cases...)
	for _, figure := range s.fittedFigures {
		fit, err := fleet.FitLine(cases[s.unfittedCases:], figure, s.param, s.target)
		if err != nil {
			r.Notes = append(r.Notes, err.Error())
			continue
		}
		r.Fits = append(r.Fits, fit)
	}
}
