package model

import "molepaddle/policy"

// deadlineMs is what a client gives a request.
const deadlineMs = 1000

// client asks its agent at a rate of its own; it outlives the agent's process.
type client struct {
	agent *agent
	rate  float64 // requests a ms
}

// agent is one process of the agent.
type agent struct {
	m      *Model
	b      *policy.Balancer
	aim    float64
	reqs   map[policy.RequestID]*request
	timers []*timer // one for each token that was ever used
}

type request struct {
	client  *client
	agent   *agent
	id      policy.RequestID
	cameAt  float64
	tries   int
	final   bool
	retried bool
	out     *try
}

// try is an attempt of a request.
type try struct {
	req     *request
	index   int
	server  *server
	sentAt  float64
	over    bool // its agent waits no longer
	waiting bool // in its server's queue
}

// The moments of requests, attempts and agents.
type (
	deadline request
	reached  try // its server
	finished try // on its server
	answered try
	timedOut try
	timer    struct {
		agent *agent
		token uint32
	}
)

func newAgent(m *Model, set policy.Settings, seed uint64) (*agent, error) {
	b, err := policy.New(set, seed)
	if err != nil {
		return nil, err
	}
	return &agent{m: m, b: b, aim: set.Classes[0].AimMs, reqs: map[policy.RequestID]*request{}}, nil
}

func (a *agent) boot() {
	a.act(a.b.Start(a.m.now, nil))
	a.handle(policy.Event{Kind: policy.EvList, List: policy.ListCached, Entries: a.m.list()})
}

// handle hands the module an event and does what it says. What it does may end attempts,
// and so come back here: each depth has its own slice of actions.
func (a *agent) handle(ev policy.Event) {
	m := a.m
	var actions []policy.Action
	if n := len(m.spare); n > 0 {
		actions, m.spare = m.spare[n-1], m.spare[:n-1]
	}
	actions = a.b.Handle(m.now, &ev, actions[:0])
	a.act(actions)
	m.spare = append(m.spare, actions)
}

func (a *agent) act(actions []policy.Action) {
	m := a.m
	for i := range actions {
		act := &actions[i]
		r := a.reqs[act.Request]
		switch act.Kind {
		case policy.ActSend:
			a.send(r, act)
		case policy.ActCancel:
			if r != nil && r.out != nil && r.out.index == act.Attempt {
				r.out.end(policy.Cancelled)
			}
		case policy.ActRefuse, policy.ActFail:
			if r == nil {
				continue
			}
			r.final = true
			if !r.retried && act.Kind == policy.ActRefuse {
				first := r.cameAt
				m.at(m.now+30+200*m.rng.Float64(), call(func() { r.client.ask(m, first, true) }))
			}
			r.forget()
		case policy.ActTimer:
			m.at(m.now+act.Ms, a.timer(act.Token))
		case policy.ActProbe:
			a.probe(act.Server)
		case policy.ActFollow, policy.ActFetch:
			a.callDiscovery()
		}
	}
}

// callDiscovery asks for the list. What waits too long at discovery is work for nobody.
func (a *agent) callDiscovery() {
	m := a.m
	m.second().Calls++
	m.callsAt = max(m.callsAt, m.now) + m.cfg.CallMs
	if wait := m.callsAt - m.now; wait > 2000 {
		m.at(m.now+2000, call(func() { a.handle(policy.Event{Kind: policy.EvList, List: policy.ListFailed}) }))
		return
	}
	m.at(m.callsAt, call(func() {
		m.told++
		a.handle(policy.Event{Kind: policy.EvList, List: policy.ListFull, Entries: m.list()})
	}))
}

func (a *agent) timer(token uint32) *timer {
	for _, t := range a.timers {
		if t.token == token {
			return t
		}
	}
	t := &timer{a, token}
	a.timers = append(a.timers, t)
	return t
}

func (t *timer) happen(*Model) { t.agent.handle(policy.Event{Kind: policy.EvTimer, Token: t.token}) }

func (c *client) happen(m *Model) {
	c.ask(m, m.now, false)
	m.at(m.now+m.rng.ExpFloat64()/c.rate, c)
}

// ask is a client's request; one that is turned away comes once more after the advice.
func (c *client) ask(m *Model, first float64, retry bool) {
	m.next++
	a := c.agent
	r := &request{client: c, agent: a, id: m.next, cameAt: first, retried: retry}
	a.reqs[r.id] = r
	if !retry {
		m.second().Asked++
	}
	a.handle(policy.Event{Kind: policy.EvRequest, Request: r.id, Key: 1 + m.rng.Uint64N(400), LeftMs: deadlineMs,
		Retry: retry})
	m.queue.pushLate(m.now+deadlineMs, (*deadline)(r))
}

func (d *deadline) happen(*Model) {
	r := (*request)(d)
	if r.final {
		return
	}
	r.final = true
	r.agent.handle(policy.Event{Kind: policy.EvDropped, Request: r.id})
	r.forget()
}

// forget drops a request that has its answer and no attempt out.
func (r *request) forget() {
	if r.final && r.out == nil {
		delete(r.agent.reqs, r.id)
	}
}

func (a *agent) probe(at policy.Addr) {
	m, s := a.m, a.m.serverAt(at)
	if s == nil {
		return
	}
	m.at(m.now+2*m.cfg.HopMs, call(func() {
		ev := policy.Event{Kind: policy.EvProbed, Server: at, Status: policy.OK, LatencyMs: 2 * m.cfg.HopMs}
		if s.down {
			ev.Status = policy.ConnectFailed
		}
		a.handle(ev)
	}))
}

func (a *agent) send(r *request, act *policy.Action) {
	m, s := a.m, a.m.serverAt(act.Server)
	if s == nil {
		return
	}
	sec := m.second()
	sec.Sends++
	if r.tries > 0 {
		sec.Again++
	}
	t := &try{req: r, index: r.tries, server: s, sentAt: m.now}
	r.tries++
	r.out = t
	m.at(m.now+m.cfg.HopMs, (*reached)(t))
	m.queue.pushLate(m.now+act.Ms, (*timedOut)(t))
}

func (t *timedOut) happen(*Model) { (*try)(t).end(policy.Timeout) }
func (t *answered) happen(*Model) { (*try)(t).end(policy.OK) }

// end is how an attempt ends for its agent; what is no longer waited for is not served.
func (t *try) end(st policy.Status) {
	if t.over {
		return
	}
	t.over = true
	t.server.leave(t)
	r := t.req
	m := r.agent.m
	r.out = nil
	if st == policy.OK && !r.final {
		r.final = true
		if m.now-r.cameAt <= r.agent.aim {
			m.second().Won++
		}
	}
	r.agent.handle(policy.Event{Kind: policy.EvOutcome, Request: r.id, Attempt: t.index, Server: t.server.addr,
		Status: st, LatencyMs: m.now - t.sentAt, Final: r.final})
	r.forget()
}
