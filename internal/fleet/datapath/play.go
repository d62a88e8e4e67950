package datapath

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"

	"ploverreel/internal/fleet"
)

// play plays one scenario. When it returns, its processes have ended.
func (p *Plan) play(ctx context.Context, log *slog.Logger, s scenario) (c fleet.Case, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dir, err := os.MkdirTemp("", "fleetbench-path-")
	if err != nil {
		return c, err
	}
	defer os.RemoveAll(dir)
	var t testbed
	defer func() {
		if ended := t.stop(err == nil); err == nil {
			err = ended
		}
	}()
	log.Debug("starting", "case", s.name)
	if err := p.build(ctx, &t, dir, s); err != nil {
		return c, err
	}
	for _, a := range t.agents {
		go func() {
			select {
			case <-a.ended:
				cancel(a.death())
			case <-ctx.Done():
			}
		}()
	}
	return p.playOn(ctx, log, &t, s)
}

// playOn warms the agents up, and then measures the calls through them and direct.
func (p *Plan) playOn(ctx context.Context, log *slog.Logger, t *testbed, s scenario) (fleet.Case, error) {
	c := s.newCase(p.rate())
	p.send(ctx, t, s, s.warmup, 0, newCallStats(), newCallStats())
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

// send sends a stream of calls through each chain and as many directly at the same time.
func (p *Plan) send(ctx context.Context, t *testbed, s scenario, calls, part int, through, direct *callStats) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range t.through {
		for kind, to := range []struct {
			c *caller
			t *callStats
		}{{t.through[i], through}, {t.directCaller, direct}} {
			rng := rand.New(rand.NewPCG(p.Size.Seed, uint64(4*i+2*part+kind)))
			wait.Add(1)
			go func() {
				defer wait.Done()
				to.t.stream(ctx, to.c, calls, p.rate(), s.giveUp(), rng)
			}()
		}
	}
}
