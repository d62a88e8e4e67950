package model

import (
	"math"
	"math/rand/v2"

	"ploverreel/policy"
)

const (
	// viewRefreshMs is the maximum age in ms of the servers' state that the baseline sees.
	viewRefreshMs = 250.0
	// viewCandidates is the number of servers drawn at random among which the baseline chooses.
	viewCandidates = 4
	// maxDrawsPerServer multiplies the number of the service's servers. The product bounds the draws
	// for one request, as too few servers may be up to find viewCandidates of them.
	maxDrawsPerServer = 4
)

// decider makes the decisions of an agent. It is a policy.Balancer, or a delayedView as the
// baseline to compare with.
type decider interface {
	Start(now float64, out []policy.Action) []policy.Action
	Handle(now float64, event policy.Event, out []policy.Action) []policy.Action
}

// newDecider returns the decider for a new process of the client's agent. It returns an error of
// policy.New.
func (c *client) newDecider(settings policy.Settings, seed uint64) (decider, error) {
	if c.m.cfg.DelayedView {
		return &delayedView{m: c.m, service: c.service, settings: settings, rng: rand.New(rand.NewPCG(seed, 21)),
			openRequests: map[policy.RequestID]*openRequest{}}, nil
	}
	return policy.New(settings, seed)
}

// serverView holds the last known state of a server.
type serverView struct {
	up           bool
	pending      int     // requests pending at the refresh plus those that the baseline has sent since
	msPerRequest float64 // mean service time in ms, divided by the cores, at the speed at the refresh
}

// expectedMs returns the expected time in ms until one more request would be answered.
func (v *serverView) expectedMs() float64 { return float64(v.pending+1) * v.msPerRequest }

// refreshViews refreshes the view of all servers once it is viewRefreshMs old.
func (m *Model) refreshViews() {
	if m.now-m.viewRefreshedAt < viewRefreshMs {
		return
	}
	m.viewRefreshedAt = m.now
	for _, server := range m.servers {
		server.view = serverView{up: !server.down && !server.silent && server.listed == policy.HealthReady}
		if server.view.up {
			server.view.pending, server.view.msPerRequest = server.pending, m.cfg.WorkMs/(server.coreSpeed(m.now)*float64(m.cfg.Cores))
		}
	}
}

// delayedView is the baseline with a delayed view of the servers' true state. It draws a few servers
// that are up and sends each request at once to the one with the shortest expected wait. It estimates
// the wait from the last view and the requests sent since. It rejects a request that would miss its
// latency objective there or overload the server. The baseline sees state that no real agent can see,
// but it is not optimal because of the delay.
type delayedView struct {
	m            *Model
	service      *service
	settings     policy.Settings
	rng          *rand.Rand
	openRequests map[policy.RequestID]*openRequest
}

// openRequest is a request without a final outcome.
type openRequest struct {
	class      int
	deadline   float64 // time in ms
	attempts   int     // number of attempts so far
	mayHaveRun bool    // a server may have run one of the attempts
}

// Start returns no actions, as the baseline needs no endpoint list.
func (d *delayedView) Start(_ float64, out []policy.Action) []policy.Action { return out }

// Handle sends arriving requests. After a failed attempt it retries a request that did not run or is
// idempotent.
func (d *delayedView) Handle(now float64, event policy.Event, out []policy.Action) []policy.Action {
	switch event := event.(type) {
	case *policy.RequestArrived:
		d.openRequests[event.Request] = &openRequest{class: event.Class, deadline: now + event.TimeLeftMs}
		return d.send(now, event.Request, out)
	case *policy.ClientDisconnected:
		delete(d.openRequests, event.Request)
	case *policy.AttemptEnded:
		return d.ended(now, event, out)
	}
	return out
}

// ended handles the end of an attempt. If the request has no final outcome, it is retried or failed.
func (d *delayedView) ended(now float64, event *policy.AttemptEnded, out []policy.Action) []policy.Action {
	request := d.openRequests[event.Request]
	if request == nil {
		return out
	}
	if event.Final {
		delete(d.openRequests, event.Request)
		return out
	}
	request.mayHaveRun = request.mayHaveRun || !event.Status.NeverRan()
	if request.mayHaveRun && d.settings.Classes[request.class].Effect != policy.EffectIdempotent {
		delete(d.openRequests, event.Request)
		return append(out, policy.FailRequest(event.Request))
	}
	return d.send(now, event.Request, out)
}

// send sends a request to the server that pick chooses, or rejects it.
func (d *delayedView) send(now float64, id policy.RequestID, out []policy.Action) []policy.Action {
	request := d.openRequests[id]
	if server := d.pick(request); server != nil && request.attempts < d.settings.Limits.MaxAttempts && now < request.deadline {
		request.attempts++
		server.view.pending++
		return append(out, policy.SendAttempt(id, server.addr, request.deadline-now, 0))
	}
	delete(d.openRequests, id)
	return append(out, policy.RejectRequest(id, d.settings.Limits.MaxRetryAfterMs))
}

// pick draws viewCandidates servers that are up in the view and returns the one with the shortest
// expected wait. It returns nil if the request would miss its latency objective there or overload the
// server, or if no server is up.
func (d *delayedView) pick(request *openRequest) *server {
	d.m.refreshViews()
	var best *server
	least := math.Inf(1)
	all := d.service.servers
	for drawn, tries := 0, 0; drawn < viewCandidates && tries < maxDrawsPerServer*len(all); tries++ {
		server := all[d.rng.IntN(len(all))]
		if !server.view.up {
			continue
		}
		if drawn++; server.view.expectedMs() < least {
			best, least = server, server.view.expectedMs()
		}
	}
	if least > d.settings.Classes[request.class].LatencyObjectiveMs || best.view.pending >= maxPendingPerCore*d.m.cfg.Cores {
		return nil
	}
	return best
}
