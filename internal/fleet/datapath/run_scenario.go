package datapath

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"

	"ploverreel/internal/fleet"
)

// Phases of a scenario.
const (
	warmupPhase = iota
	measuredPhase
)

// runScenario runs one scenario and returns its case. All processes that it started have ended when
// it returns. If an agent exits by itself, runScenario stops and returns the agent's error.
func (p *Plan) runScenario(ctx context.Context, log *slog.Logger, s scenario) (c fleet.Case, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dir, err := os.MkdirTemp("", "fleetbench-path-")
	if err != nil {
		return c, err
	}
	defer os.RemoveAll(dir)
	var t testbed
	defer func() {
		if stopErr := t.stop(err == nil); err == nil {
			err = stopErr
		}
	}()
	log.Debug("starting", "case", s.name)
	if err := p.startTestbed(ctx, &t, dir, s); err != nil {
		return c, err
	}
	for _, a := range t.agents {
		go func() {
			select {
			case <-a.exited:
				cancel(a.exitError())
			case <-ctx.Done():
			}
		}()
	}
	return p.warmUpAndMeasure(ctx, log, &t, s)
}

// warmUpAndMeasure sends the calls of the warmup, and then measures calls through the agents and
// direct calls.
func (p *Plan) warmUpAndMeasure(ctx context.Context, log *slog.Logger, t *testbed, s scenario) (fleet.Case, error) {
	c := s.newCase(p.ratePerAgent())
	p.sendCalls(ctx, t, s, s.warmupCalls, warmupPhase, newCallStats(), newCallStats())
	log.Debug("measuring", "case", s.name)
	m, err := p.measure(ctx, t, s)
	if err != nil {
		return c, err
	}
	m.addCalls(&c)
	m.addLatencies(&c)
	m.addUsage(&c)
	m.addConnections(&c)
	c.Add("machine_load", "count", loadAverage())
	return c, nil
}

// sendCalls sends one stream of calls through each chain and, at the same time, as many streams of
// direct calls. Each stream of each phase has its own random numbers.
func (p *Plan) sendCalls(ctx context.Context, t *testbed, s scenario, calls, phase int, through, direct *callStats) {
	var streams sync.WaitGroup
	defer streams.Wait()
	for i := range t.chainCallers {
		for kind, stream := range []struct {
			caller *caller
			stats  *callStats
		}{{t.chainCallers[i], through}, {t.directCaller, direct}} {
			rng := rand.New(rand.NewPCG(p.Size.Seed, uint64(4*i+2*phase+kind)))
			streams.Add(1)
			go func() {
				defer streams.Done()
				stream.stats.sendOpenLoop(ctx, stream.caller, calls, p.ratePerAgent(), s.timeout(), rng)
			}()
		}
	}
}
