package datapath

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// testbed holds the agents, servers and callers of one scenario.
type testbed struct {
	agents       []*process
	hops         []*standIns // behind agents, the first hop first
	direct       []*standIns
	through      []*caller // one a chain
	directCaller *caller
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

// stop ends the agents, in order or at once, all at the same time.
func (t *testbed) stop(inOrder bool) error {
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

// counts are what was counted up to a moment.
type counts struct {
	at               time.Time
	cpu              time.Duration // all agents
	rss, peak        float64       // bytes, all agents
	begun, byClients int64
	requests         int64 // requests at the servers
	handled          int64 // calls that servers made to the agents of the next hop
}

// counts returns what was counted up to now.
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
