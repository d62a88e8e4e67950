package model

import (
	"math"
	"math/rand/v2"

	"ploverreel/policy"
)

const (
	// viewMs is how old at most what agents see of the servers is.
	viewIntervalMs = 250.0
	// viewDraws is among how many servers an agent chooses.
	viewDraws = 4
)

// decider decides for an agent: a policy.Balancer, or one that sees the servers late.
type decider interface {
	Start(now float64, out []policy.Action) []policy.Action
	Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action
}

// decider is a new one for the client's agent with these settings.
func (c *client) newDecider(settings policy.Settings, seed uint64) (decider, error) {
	if c.m.cfg.DelayedView {
		return &delayedView{m: c.m, servers: c.service, settings: settings, rng: rand.New(rand.NewPCG(seed, 21)), open: map[policy.RequestID]*openRequest{}}, nil
	}
	return policy.New(settings, seed)
}

// wait is the time in ms until one more would be answered.
func (v *serverView) waitMs() float64 { return float64(v.pending+1) * v.msPerRequest }

// view is what was seen of a server.
type serverView struct {
	up           bool
	pending      int     // by it, and sent to it since
	msPerRequest float64 // the time in ms that it needs for each
}

// look renews what agents see of the servers, if it is too old.
func (m *Model) refreshViews() {
	if m.now-m.viewsAt < viewIntervalMs {
		return
	}
	m.viewsAt = m.now
	for _, server := range m.servers {
		server.view = serverView{up: !server.down && !server.silent && server.listed == policy.HealthReady}
		if server.view.up {
			server.view.pending, server.view.msPerRequest = server.pending, m.cfg.WorkMs/(server.capacity(m.now)*float64(m.cfg.Cores))
		}
	}
}

// lateView sends each request at once to the best of some servers, drawn among those that are
// up, by what was seen of them of late and was sent to them since. It refuses what would be
// answered too late there, or would crowd the server. It knows what no agent can, and yet too
// late to be perfect.
type delayedView struct {
	m        *Model
	servers  *service
	settings policy.Settings
	rng      *rand.Rand
	open     map[policy.RequestID]*openRequest
}

// viewed is a request that is open.
type openRequest struct {
	class      int
	deadline   float64
	attempts   int
	mayHaveRun bool // of its attempts some
}

// Start asks for nothing: it sees the servers.
func (l *delayedView) Start(_ float64, out []policy.Action) []policy.Action { return out }

// Handle sends what comes, and again what did not run or may be repeated.
func (l *delayedView) Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action {
	switch ev.Kind {
	case policy.EventRequest:
		l.open[ev.Request] = &openRequest{class: ev.Class, deadline: now + ev.TimeLeftMs}
		return l.send(now, ev.Request, out)
	case policy.EventClientGone:
		delete(l.open, ev.Request)
	case policy.EventOutcome:
		return l.ended(now, ev, out)
	}
	return out
}

func (l *delayedView) ended(now float64, ev *policy.Event, out []policy.Action) []policy.Action {
	request := l.open[ev.Request]
	if request == nil {
		return out
	}
	if ev.Final {
		delete(l.open, ev.Request)
		return out
	}
	request.mayHaveRun = request.mayHaveRun || !ev.Status.NeverRan()
	if request.mayHaveRun && l.settings.Classes[request.class].Effect != policy.EffectIdempotent {
		delete(l.open, ev.Request)
		return append(out, policy.Action{Kind: policy.ActionFail, Request: ev.Request})
	}
	return l.send(now, ev.Request, out)
}

func (l *delayedView) send(now float64, id policy.RequestID, out []policy.Action) []policy.Action {
	request := l.open[id]
	if server := l.pick(request); server != nil && request.attempts < l.settings.Limits.MaxAttempts && now < request.deadline {
		request.attempts++
		server.view.pending++
		return append(out, policy.Action{Kind: policy.ActionSend, Request: id, Server: server.addr, DelayMs: request.deadline - now})
	}
	delete(l.open, id)
	return append(out, policy.Action{Kind: policy.ActionReject, Request: id, DelayMs: l.settings.Limits.MaxRetryAfterMs})
}

// pick is the best of viewDraws servers that were seen up, nil if it would be too late there.
func (l *delayedView) pick(request *openRequest) *server {
	l.m.refreshViews()
	var best *server
	least := math.Inf(1)
	all := l.servers.servers
	for drawn, tries := 0, 0; drawn < viewDraws && tries < 4*len(all); tries++ {
		server := all[l.rng.IntN(len(all))]
		if !server.view.up {
			continue
		}
		if drawn++; server.view.waitMs() < least {
			best, least = server, server.view.waitMs()
		}
	}
	if least > l.settings.Classes[request.class].LatencyObjectiveMs || best.view.pending >= maxPendingPerCore*l.m.cfg.Cores {
		return nil
	}
	return best
}
