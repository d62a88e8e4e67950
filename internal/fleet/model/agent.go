package model

import (
	"slices"

	"ploverreel/policy"
)

// client asks its agent at a rate of its own; it outlives the agent's process.
type client struct {
	m         *Model
	agent     *agent
	service   *service // that it calls
	zone      int
	number    int     // of all
	inService int     // of those that call the service
	replicas  int     // as many do
	quota     float64 // requests a ms that all of them ask
	rate      float64 // requests a ms that this one asks
	listMs    float64 // after which it is told of a change of the list
	toldAt    float64 // when it is told of the start day's start
	starts    uint64  // of its agent
	lost      bool    // with its machine: it asks nothing
}

// agent is one process of the agent.
type agent struct {
	m      *Model
	client *client
	b      decider
	reqs   map[policy.RequestID]*request
	out    int              // attempts out
	conns  map[*server]int  // the server's process that it has a connection to
	idle   map[*server]idle // its connections that rest
	knows  map[*server]bool // cold servers of whose start it was told
	timers []*timer         // one for each token that was ever used
	ended  bool
}

type request struct {
	agent   *agent
	id      policy.RequestID
	class   int
	tenant  int
	key     uint64
	work    float64 // in those of mean work, within its class
	hintMs  float64 // its work as its client estimates it; 0: it tells none
	cameAt  float64
	tries   int
	final   bool
	retries int // of its client so far
	out     *try
}

// try is an attempt of a request.
type try struct {
	req     *request
	index   int
	server  *server
	sentAt  float64
	process int  // of its server that serves it
	over    bool // its agent waits no longer
	waiting bool // in its server's queue
}

// The moments of requests, attempts and agents.
type (
	deadline    request
	reached     try // its server
	finished    try // on its server
	answered    try
	wasReset    try
	timedOut    try
	unconnected try
	timer       struct {
		agent *agent
		token uint32
	}
)

// start gives the client a new process of the agent, which knows nothing.
func (c *client) start() error {
	m := c.m
	set := m.cfg.Settings
	set.Zone, set.Index, set.Replicas = c.zone, c.number, m.cfg.Agents
	quota := m.cfg.Rate
	if m.cfg.ToldService {
		set.Index, set.Replicas, quota = c.inService, c.replicas, 1000*c.quota
	}
	set.Tenants = slices.Clone(set.Tenants)
	for i := range set.Tenants {
		t := &set.Tenants[i]
		if len(set.Tenants) == 1 {
			t.QuotaShare = 1
		}
		t.QuotaPerS = quota * t.QuotaShare
	}
	b, err := c.decider(set, m.cfg.Seed<<16+uint64(c.number)+c.starts<<40)
	if err != nil {
		return err
	}
	c.starts++
	c.agent = &agent{m: m, client: c, b: b, reqs: map[policy.RequestID]*request{},
		conns: map[*server]int{}, idle: map[*server]idle{}, knows: map[*server]bool{}}
	return nil
}

// restart ends the agent's process with all that it holds and starts another.
func (c *client) restart() {
	old := c.agent
	old.ended = true
	if err := c.start(); err != nil {
		c.m.err = err
		return
	}
	c.agent.boot()
}

// pause is the time to the client's next request. Where there may be bursts it asks at their
// rate, and leaves out what is too much at other times.
func (c *client) pause() float64 { return c.m.rng.ExpFloat64() / (c.rate * max(c.m.cfg.Peak, 1)) }

func (c *client) happen(m *Model) {
	if m.stopped {
		return
	}
	if peak := m.cfg.Peak; !c.lost && (peak <= 1 || m.rng.Float64()*peak < m.burst) {
		c.ask(m.draw())
	}
	m.at(m.now+c.pause(), c)
}

// ask is a client's request; one that is turned away comes once more after the advice.
func (c *client) ask(r *request) {
	m, a := c.m, c.agent
	m.next++
	r.id, r.agent = m.next, a
	a.reqs[r.id] = r
	if r.retries == 0 {
		m.second().Asked++
		m.shares.asked(r)
	}
	left := m.patience(r.class)
	a.handle(policy.Event{Kind: policy.EventRequest, Request: r.id, Class: r.class, Tenant: r.tenant, Key: r.key,
		HintMs: r.hintMs, HasHint: r.hintMs > 0, TimeLeftMs: left, Retry: r.retries > 0 && m.cfg.Settings.Clients.MarksRetry})
	m.mostHeld = max(m.mostHeld, len(a.reqs)-a.out)
	m.queue.pushLate(m.now+left, (*deadline)(r))
}

func (d *deadline) happen(*Model) {
	r := (*request)(d)
	if r.final {
		return
	}
	r.final = true
	r.agent.handle(policy.Event{Kind: policy.EventClientGone, Request: r.id})
	if len(r.agent.m.cfg.Traffic) > 0 { // plain clients come again after refusals alone
		r.agent.client.askAgain(r)
	}
	r.forget()
}

// forget drops a request that has its answer and no attempt out.
func (r *request) forget() {
	if r.final && r.out == nil {
		delete(r.agent.reqs, r.id)
	}
}

func (a *agent) boot() {
	a.act(a.b.Start(a.m.now, nil))
	a.handle(policy.Event{Kind: policy.EventEndpointList, List: policy.ListCached, Entries: a.client.list()})
}

// list is what discovery tells the client's agent now.
func (c *client) list() []policy.Entry {
	if c.m.now < c.toldAt && c.service.before != nil {
		return c.service.before
	}
	return c.service.list()
}

// handle hands the module an event and does what it says. What it does may end attempts,
// and so come back here: each depth has its own slice of actions.
func (a *agent) handle(ev policy.Event) {
	if a.ended {
		return
	}
	m := a.m
	for i := range ev.Entries {
		if s := m.serverAt(ev.Entries[i].Server); s.bornAt > 0 && ev.Entries[i].StartedMs == s.bornAt {
			a.knows[s] = true
		}
	}
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
		case policy.ActionSend:
			a.send(r, act)
		case policy.ActionCancel:
			if r != nil && r.out != nil && r.out.index == act.Attempt {
				r.out.end(policy.StatusCancelled)
			}
		case policy.ActionReject, policy.ActionFail:
			if r != nil {
				r.giveUp(act.Kind == policy.ActionReject)
			}
		case policy.ActionTimer:
			m.at(m.now+act.DelayMs, a.timer(act.Token))
		case policy.ActionHealthCheck:
			a.probe(act.Server)
		case policy.ActionWatch, policy.ActionFetch:
			a.callDiscovery()
		}
	}
}

// giveUp is the module's answer to a request that it does not serve. A client comes again
// after a refusal.
func (r *request) giveUp(refused bool) {
	m := r.agent.m
	r.final = true
	switch {
	case refused && r.retries >= m.mostRetries():
		m.secondOf(r.cameAt).Refused++
	case refused && r.retries == 0:
		m.secondOf(r.cameAt).TurnedAway++
	}
	if refused {
		r.agent.client.askAgain(r)
	}
	r.forget()
}

// askAgain is a client's retry of an unserved request, after a while and within the time after
// which it gives up.
func (c *client) askAgain(r *request) {
	m := c.m
	wait := 30 + 200*m.rng.Float64()
	if r.retries >= m.mostRetries() || m.now+wait >= r.cameAt+m.cfg.Settings.Classes[r.class].DeadlineMs {
		return
	}
	again := &request{class: r.class, tenant: r.tenant, key: r.key, work: r.work, hintMs: r.hintMs,
		cameAt: r.cameAt, retries: r.retries + 1}
	m.after(wait, func() { c.ask(again) })
}

// longestCall is how long, in ms, a call waits for its turn at discovery before it fails.
const longestCall = 2000.0

// callDiscovery asks for the list. What waits too long at discovery is work for nobody.
func (a *agent) callDiscovery() {
	m := a.m
	m.second().Calls++
	done := max(m.callsAt, m.now) + m.cfg.CallMs
	if done-m.now > longestCall {
		m.after(longestCall, func() { a.handle(policy.Event{Kind: policy.EventEndpointList, List: policy.ListFailed}) })
		return
	}
	m.callsAt = done
	m.at(done, call(func() {
		m.told++
		a.handle(policy.Event{Kind: policy.EventEndpointList, List: policy.ListFull, Entries: a.client.list()})
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

func (t *timer) happen(*Model) { t.agent.handle(policy.Event{Kind: policy.EventTimer, Token: t.token}) }

func (a *agent) probe(at policy.Addr) {
	m, s := a.m, a.m.serverAt(at)
	if s == nil {
		return
	}
	m.second().Probes++
	round := 2 * m.hop(a.client.zone, s.zone)
	m.after(round, func() {
		ev := policy.Event{Kind: policy.EventHealthChecked, Server: at, Status: policy.StatusOK, LatencyMs: round}
		switch {
		case s.dark || !m.linked(a.client.zone, s.zone):
			late := max(m.cfg.Settings.Limits.ConnectTimeoutMs-round, 0)
			ev.Status, ev.LatencyMs = policy.StatusConnectFailed, round+late
			m.after(late, func() { a.handle(ev) })
			return
		case s.down:
			ev.Status = policy.StatusConnectFailed
		}
		a.handle(ev)
	})
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
	} else if r.retries == 0 {
		m.waits.add(m.now - r.cameAt)
	}
	if s.zone != a.client.zone {
		sec.CrossZone++
	}
	if m.region(s.zone) != m.region(a.client.zone) {
		sec.CrossRegion++
	}
	if !a.takeIdle(s) {
		sec.Connects++
	}
	t := &try{req: r, index: r.tries, server: s, sentAt: m.now}
	r.tries++
	r.out = t
	a.out++
	m.at(m.now+m.hop(a.client.zone, s.zone), (*reached)(t))
	m.queue.pushLate(m.now+act.DelayMs, (*timedOut)(t))
}

func (t *timedOut) happen(*Model)    { (*try)(t).end(policy.StatusTimeout) }
func (t *unconnected) happen(*Model) { (*try)(t).end(policy.StatusConnectFailed) }
func (t *wasReset) happen(*Model)    { (*try)(t).end(policy.StatusReset) }
func (t *answered) happen(*Model)    { (*try)(t).end(policy.StatusOK) }

// end is how an attempt ends for its agent; what is no longer waited for is not served.
func (t *try) end(st policy.Status) {
	if t.over {
		return
	}
	t.over = true
	t.server.leave(t)
	r := t.req
	a := r.agent
	m := a.m
	r.out = nil
	a.out--
	if st == policy.StatusOK {
		a.conns[t.server] = t.process
		a.idle[t.server] = append(a.idle[t.server], m.now)
	} else {
		delete(a.conns, t.server)
		delete(a.idle, t.server)
	}
	if st == policy.StatusOK && !r.final && !a.ended {
		r.final = true
		if m.now-r.cameAt <= m.cfg.Settings.Classes[r.class].LatencyObjectiveMs {
			m.second().Won++
			m.shares.served(r)
			m.secondOf(r.cameAt).Served++
		}
	}
	a.handle(policy.Event{Kind: policy.EventOutcome, Request: r.id, Attempt: t.index, Server: t.server.addr,
		Status: st, LatencyMs: m.now - t.sentAt, Final: r.final})
	r.forget()
}
