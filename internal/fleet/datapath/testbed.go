package datapath

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// testbed holds the agents, servers and callers of one scenario while it runs.
type testbed struct {
	agents        []*agentProcess
	hopServers    []*standInServers // servers behind the agents of each hop, the first hop first
	directServers []*standInServers // servers of each hop of the direct calls
	chainCallers  []*caller         // call the first agent of each chain
	directCaller  *caller           // calls the direct servers of the first hop
}

// startTestbed starts the servers and the agents. It begins with the last hop, as the servers of a
// hop call the next hop.
func (p *Plan) startTestbed(ctx context.Context, t *testbed, dir string, s scenario) error {
	requestIDs := new(atomic.Uint64)
	t.hopServers, t.directServers = make([]*standInServers, s.hops), make([]*standInServers, s.hops)
	var agentCaller, directCaller *caller
	directServerCount := min(s.listedServers, p.serversPerService()) // at most as many servers as a service has
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

// stop stops all agents at the same time. It lets them shut down if graceful is true, and kills
// them otherwise.
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

// counters holds the values of all counters at one time.
type counters struct {
	readAt                                     time.Time
	cpu                                        time.Duration // all agents
	rss, rssPeak                               float64       // bytes, all agents
	connectionsOpened, clientConnectionsOpened int64         // connections to hop servers, and to the first agents
	serverRequests                             int64         // requests that arrived at hop servers
	nextHopCalls                               int64         // calls that servers made to the agents of the next hop
}

// readCounters returns the current values of the counters.
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
		_, opened, _, _ := h.connections()
		n.connectionsOpened += int64(opened)
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
