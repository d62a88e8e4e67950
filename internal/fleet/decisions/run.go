// Package decisions measures the decision module (package policy) alone. It drives one balancer
// through virtual time and measures the cost of each kind of event over the number of listed
// servers, the number of queued requests, the shares of warming and of unhealthy servers, and the
// number of agents.
package decisions

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"

	"ploverreel/internal/fleet"
)

// Run runs all cases and adds them and the lines fitted through them to the result. Times are
// processor times of the calling goroutine's thread. Run locks the goroutine to that thread
// meanwhile. It returns an error for invalid options, if the thread's clock cannot be read, or if
// the context ends.
func Run(ctx context.Context, log *slog.Logger, o Options, r *fleet.Result) error {
	all, err := o.allSeries()
	if err != nil {
		return err
	}
	// The clock measures the processor time of the thread. So no other goroutine may run on the
	// thread, and this one may not move to another.
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
		log.Info("cases warmed up", "series", s.name, "cases", len(s.cases))
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
	log.Info("measured the cases of the concurrency limit", "cases", len(limitCases))
	return nil
}

// measureRounds runs the measured rounds. Each round runs all cases, so that a time in which the
// machine is slow affects them all alike.
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
		log.Info("round measured", "round", round+1, "of", o.Repeats)
	}
	return nil
}

// addCasesAndFits adds the cases of the series and the lines fitted through them to the result. If
// there are too few sizes for a line, it adds a note instead.
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
