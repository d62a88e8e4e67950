package model

import (
	"math"
	"math/rand/v2"

	"ploverreel/policy"
)

const (
	// viewMs is how old at most what agents see of the servers is.
	viewMs = 250.0
	// viewDraws is among how many servers an agent chooses.
	viewDraws = 4
)

// decider decides for an agent: a policy.Balancer, or one that sees the servers late.
type decider interface {
	Start(now float64, out []policy.Action) []policy.Action
	Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action
}

// decider is a new one for the client's agent with these settings.
func (c *client) decider(set policy.Settings, seed uint64) (decider, error) {
	if c.m.cfg.LateView {
		return &lateView{m: c.m, servers: c.service, set: set, rng: rand.New(rand.NewPCG(seed, 21)), open: map[policy.RequestID]*viewed{}}, nil
	}
	return policy.New(set, seed)
}

// wait is the time in ms until one more would be answered.
func (v *view) wait() float64 { return float64(v.held+1) * v.each }

// view is what was seen of a server.
type view struct {
	up   bool
	held int     // by it, and sent to it since
	each float64 // the time in ms that it needs for each
}

// look renews what agents see of the servers, if it is too old.
func (m *Model) look() {
	if m.now-m.viewedAt < viewMs {
		return
	}
	m.viewedAt = m.now
	for _, s := range m.servers {
		s.seen = view{up: !s.down && !s.dark && s.listed == policy.HealthReady}
		if s.seen.up {
			s.seen.held, s.seen.each = s.held, m.cfg.WorkMs/(s.capacity(m.now)*float64(m.cfg.Cores))
		}
	}
}

// lateView sends each request at once to the best of some servers, drawn among those that are
// up, by what was seen of them of late and was sent to them since. It refuses what would be
// answered too late there, or would crowd the server. It knows what no agent can, and yet too
// late to be perfect.
type lateView struct {
	m       *Model
	servers *service
	set     policy.Settings
	rng     *rand.Rand
	open    map[policy.RequestID]*viewed
}

// viewed is a request that is open.
type viewed struct {
	class      int
	deadline   float64
	tries      int
	mayHaveRun bool // of its attempts some
}

// Start asks for nothing: it sees the servers.
func (l *lateView) Start(_ float64, out []policy.Action) []policy.Action { return out }

// Handle sends what comes, and again what did not run or may be repeated.
func (l *lateView) Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action {
	switch ev.Kind {
	case policy.EventRequest:
		l.open[ev.Request] = &viewed{class: ev.Class, deadline: now + ev.TimeLeftMs}
		return l.send(now, ev.Request, out)
	case policy.EventClientGone:
		delete(l.open, ev.Request)
	case policy.EventOutcome:
		return l.ended(now, ev, out)
	}
	return out
}

func (l *lateView) ended(now float64, ev *policy.Event, out []policy.Action) []policy.Action {
	r := l.open[ev.Request]
	if r == nil {
		return out
	}
	if ev.Final {
		delete(l.open, ev.Request)
		return out
	}
	r.mayHaveRun = r.mayHaveRun || !ev.Status.NeverRan()
	if r.mayHaveRun && l.set.Classes[r.class].Effect != policy.EffectIdempotent {
		delete(l.open, ev.Request)
		return append(out, policy.Action{Kind: policy.ActionFail, Request: ev.Request})
	}
	return l.send(now, ev.Request, out)
}

func (l *lateView) send(now float64, id policy.RequestID, out []policy.Action) []policy.Action {
	r := l.open[id]
	if s := l.pick(r); s != nil && r.tries < l.set.Limits.MaxAttempts && now < r.deadline {
		r.tries++
		s.seen.held++
		return append(out, policy.Action{Kind: policy.ActionSend, Request: id, Server: s.addr, DelayMs: r.deadline - now})
	}
	delete(l.open, id)
	return append(out, policy.Action{Kind: policy.ActionReject, Request: id, DelayMs: l.set.Limits.MaxRetryAfterMs})
}

// pick is the best of viewDraws servers that were seen up, nil if it would be too late there.
func (l *lateView) pick(r *viewed) *server {
	l.m.look()
	var best *server
	least := math.Inf(1)
	all := l.servers.servers
	for drawn, tries := 0, 0; drawn < viewDraws && tries < 4*len(all); tries++ {
		s := all[l.rng.IntN(len(all))]
		if !s.seen.up {
			continue
		}
		if drawn++; s.seen.wait() < least {
			best, least = s, s.seen.wait()
		}
	}
	if least > l.set.Classes[r.class].LatencyObjectiveMs || best.seen.held >= crowd*l.m.cfg.Cores {
		return nil
	}
	return best
}
