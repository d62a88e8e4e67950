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
	agents        []*agentProcess
	hopServers    []*standInServers // behind agents, the first hop first
	directServers []*standInServers
	chainCallers  []*caller // one a chain
	directCaller  *caller
}

// startTestbed starts the servers and the agents, the last hop first.
func (p *Plan) startTestbed(ctx context.Context, t *testbed, dir string, s scenario) error {
	requestIDs := new(atomic.Uint64)
	t.hopServers, t.directServers = make([]*standInServers, s.hops), make([]*standInServers, s.hops)
	var agentCaller, directCaller *caller
	directServerCount := min(s.listedServers, p.serversPerService()) // direct calls go to as many servers as a service has
	for hop := s.hops - 1; hop >= 0; hop-- {
		var err error
		if t.hopServers[hop], err = startStandInServers(ctx, s.listedServers, s.answerTime, agentCaller); err != nil {
			return err
		}
		if t.directServers[hop], err = startStandInServers(ctx, directServerCount, s.answerTime, directCaller); err != nil {
			return err
		}
		list := p.endpointList(t.hopServers[hop].addrs)
		discovery, err := startDiscovery(ctx, list)
		if err != nil {
			return err
		}
		var agentAddrs []string
		for range s.chains {
			agent, err := p.startAgent(ctx, dir, s, len(t.agents), discovery, list)
			if err != nil {
				return err
			}
			t.agents = append(t.agents, agent)
			agentAddrs = append(agentAddrs, agent.addr)
		}
		agentCaller, directCaller = newCaller(requestIDs, agentAddrs), newCaller(requestIDs, t.directServers[hop].addrs)
		context.AfterFunc(ctx, agentCaller.closeIdleConnections)
		context.AfterFunc(ctx, directCaller.closeIdleConnections)
		if hop == 0 {
			for _, addr := range agentAddrs {
				c := newCaller(requestIDs, []string{addr})
				context.AfterFunc(ctx, c.closeIdleConnections)
				t.chainCallers = append(t.chainCallers, c)
			}
			t.directCaller = directCaller
		}
	}
	return nil
}

// stop ends the agents, in order or at once, all at the same time.
func (t *testbed) stop(graceful bool) error {
	var stopping sync.WaitGroup
	errs := make([]error, len(t.agents))
	for i, a := range t.agents {
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			if graceful {
				errs[i] = a.stop()
			} else {
				a.kill()
			}
		}()
	}
	stopping.Wait()
	return errors.Join(errs...)
}

// counts are what was counted up to a moment.
type counters struct {
	readAt                                     time.Time
	cpu                                        time.Duration // all agents
	rss, rssPeak                               float64       // bytes, all agents
	connectionsOpened, clientConnectionsOpened int64
	serverRequests                             int64 // requests at the servers
	nextHopCalls                               int64 // calls that servers made to the agents of the next hop
}

// readCounters returns what was counted up to now.
func (t *testbed) readCounters() (counters, error) {
	n := counters{readAt: time.Now()}
	for _, a := range t.agents {
		u, err := a.readUsage()
		if err != nil {
			return n, err
		}
		n.cpu += u.cpu
		n.rss += u.rss
		n.rssPeak += u.rssPeak
	}
	for i, h := range t.hopServers {
		_, begun, _, _ := h.connections()
		n.connectionsOpened += int64(begun)
		arrived := h.requests.Load()
		n.serverRequests += arrived
		if i < len(t.hopServers)-1 {
			n.nextHopCalls += arrived
		}
	}
	for _, c := range t.chainCallers {
		n.clientConnectionsOpened += c.connectionsOpened.Load()
	}
	return n, nil
}
