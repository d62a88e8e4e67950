package datapath

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ploverreel/internal/fleet"
)

// testbed is what runs for one scenario: agents, servers and callers.
type testbed struct {
	agents       []*process
	hops         []*standIns // behind agents, the first hop first
	direct       []*standIns
	through      []*caller // one a chain
	directCaller *caller
}

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
		if ended := t.end(err == nil); err == nil {
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
	return p.measure(ctx, log, &t, s)
}

// build starts the servers and the agents, the last hop first.
func (p *Plan) build(ctx context.Context, t *testbed, dir string, s scenario) error {
	ids := new(atomic.Uint64)
	t.hops, t.direct = make([]*standIns, s.hops), make([]*standIns, s.hops)
	var through, directCaller *caller
	near := min(s.listed, p.service()) // direct calls go to as many servers as a service has
	for hop := s.hops - 1; hop >= 0; hop-- {
		var err error
		if t.hops[hop], err = newStandIns(ctx, s.listed, s.answer, through); err != nil {
			return err
		}
		if t.direct[hop], err = newStandIns(ctx, near, s.answer, directCaller); err != nil {
			return err
		}
		list := p.list(t.hops[hop].addrs)
		discovery, err := newDiscovery(ctx, list)
		if err != nil {
			return err
		}
		var listens []string
		for range s.chains {
			a, err := p.start(ctx, dir, s, len(t.agents), discovery, list)
			if err != nil {
				return err
			}
			t.agents = append(t.agents, a)
			listens = append(listens, a.listen)
		}
		through, directCaller = newCaller(ids, listens), newCaller(ids, t.direct[hop].addrs)
		context.AfterFunc(ctx, through.close)
		context.AfterFunc(ctx, directCaller.close)
		if hop == 0 {
			for _, l := range listens {
				c := newCaller(ids, []string{l})
				context.AfterFunc(ctx, c.close)
				t.through = append(t.through, c)
			}
			t.directCaller = directCaller
		}
	}
	return nil
}

// end ends the agents, in order or at once, all at the same time.
func (t *testbed) end(inOrder bool) error {
	var wait sync.WaitGroup
	errs := make([]error, len(t.agents))
	for i, a := range t.agents {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if inOrder {
				errs[i] = a.stop()
			} else {
				a.kill()
			}
		}()
	}
	wait.Wait()
	return errors.Join(errs...)
}

// counts is what was counted up to a moment.
type counts struct {
	at               time.Time
	cpu              time.Duration // all agents
	rss, peak        float64       // bytes, all agents
	begun, byClients int64
	requests         int64 // requests at the servers
	handled          int64 // calls that servers made to the agents of the next hop
}

func (t *testbed) counts() (counts, error) {
	n := counts{at: time.Now()}
	for _, a := range t.agents {
		u, err := a.usage()
		if err != nil {
			return n, err
		}
		n.cpu += u.cpu
		n.rss += u.rss
		n.peak += u.peak
	}
	for i, h := range t.hops {
		_, begun, _, _ := h.connections()
		n.begun += int64(begun)
		arrived := h.requests.Load()
		n.requests += arrived
		if i < len(t.hops)-1 {
			n.handled += arrived
		}
	}
	for _, c := range t.through {
		n.byClients += c.opened.Load()
	}
	return n, nil
}

// measure sends the calls, through the agents and direct in turns as they come, and reads
// what they cost.
func (p *Plan) measure(ctx context.Context, log *slog.Logger, t *testbed, s scenario) (fleet.Case, error) {
	c := fleet.Case{Name: s.name, Params: map[string]float64{"listed": float64(s.listed), "replicas": float64(s.replicas),
		"hops": float64(s.hops), "agents": float64(len(t.agents)), "rate": p.rate(), "answer_ms": s.answer.Seconds() * 1000}}
	p.send(ctx, t, s, s.warmup, 0, newCallStats(), newCallStats())
	log.Debug("measuring", "case", s.name)
	before, err := t.counts()
	if err != nil {
		return c, errors.Join(context.Cause(ctx), err)
	}
	through, direct := newCallStats(), newCallStats()
	p.send(ctx, t, s, p.Calls, 1, through, direct)
	after, err := t.counts()
	if err := errors.Join(context.Cause(ctx), err); err != nil {
		return c, err
	}
	lost := direct.failed + direct.refused
	if direct.served == 0 {
		return c, fmt.Errorf("%d direct calls, none served, the first: %w", lost, direct.firstErr)
	}
	agents, calls := float64(len(t.agents)), float64(p.Calls*s.chains)
	c.Add("calls", "count", calls)
	c.Add("served", "count", float64(through.served))
	c.Add("refused", "count", float64(through.refused))
	c.Add("failed", "count", float64(through.failed))
	c.Add("served_share", "share", float64(through.served)/calls)
	// Servers that refuse nothing lose calls only where the machine stands still for seconds:
	// latencies of such a case tell of the machine.
	c.Add("direct_lost", "count", float64(lost))
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}, {"p999", 99.9}} {
		c.Add("direct_"+q.name, "ms", direct.ms(q.at))
		if through.served > 0 { // else there is nothing to compare
			c.Add("through_"+q.name, "ms", through.ms(q.at))
			c.Add("added_"+q.name, "ms", through.ms(q.at)-direct.ms(q.at))
			c.Add("added_a_hop_"+q.name, "ms", (through.ms(q.at)-direct.ms(q.at))/float64(s.hops))
		}
	}
	c.Add("late_p99", "ms", float64(through.sendDelay.ValueAtQuantile(99))/1000)
	handled := calls + float64(after.handled-before.handled) // by all agents
	cpu := (after.cpu - before.cpu).Seconds()
	c.Add("cpu_per_1000", "ms", cpu*1000/handled*1000)
	c.Add("cpu_share", "share", cpu/agents/after.at.Sub(before.at).Seconds())
	c.Add("rss", "bytes", after.rss/agents)
	c.Add("rss_peak", "bytes", after.peak/agents)
	open, peak, used := 0, 0, 0
	for _, h := range t.hops {
		o, _, pk, u := h.connections()
		open, peak, used = open+o, peak+pk, used+u
	}
	c.Add("connections", "count", float64(open)/agents)
	c.Add("connections_peak", "count", float64(peak)/agents)
	c.Add("connections_new_per_1000", "count", float64(after.begun-before.begun)/handled*1000)
	c.Add("client_connections_new", "count", float64(after.byClients-before.byClients))
	c.Add("servers_used", "count", float64(used)/float64(s.hops))
	c.Add("attempts_a_call", "count", float64(after.requests-before.requests)/handled)
	c.Add("open_peak", "count", float64(through.peak)/float64(s.chains))
	c.Add("machine_load", "count", loadAverage())
	if s.open > 0 {
		c.Params["open"] = float64(s.open)
	}
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

// loadAverage is the machine's over the last minute; 0 where it can't be told. A latency
// measured on a machine with more to do than cores tells of that.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	x, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return x
}
