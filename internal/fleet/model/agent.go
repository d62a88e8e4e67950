package model

import (
	"slices"

	"ploverreel/policy"
)

// client asks its agent at a rate of its own; it outlives the agent's process.
type client struct {
	m          *Model
	agent      *agent
	service    *service // that it calls
	zone       int
	number     int     // of all
	inService  int     // of those that call the service
	replicas   int     // as many do
	quota      float64 // requests a ms that all of them ask
	rate       float64 // requests a ms that this one asks
	listMs     float64 // after which it is told of a change of the list
	notifiedAt float64 // when it is told of the start day's start
	starts     uint64  // of its agent
	lost       bool    // with its machine: it asks nothing
}

// agent is one process of the agent.
type agent struct {
	m           *Model
	client      *client
	decider     decider
	requests    map[policy.RequestID]*request
	inFlight    int                   // attempts out
	conns       map[*server]int       // the server's process that it has a connection to
	idle        map[*server]idleSince // its connections that rest
	knownStarts map[*server]bool      // cold servers of whose start it was told
	timers      []*timer              // one for each token that was ever used
	ended       bool
}

type request struct {
	agent      *agent
	id         policy.RequestID
	class      int
	tenant     int
	key        uint64
	workFactor float64 // in those of mean work, within its class
	hintMs     float64 // its work as its client estimates it; 0: it tells none
	arrivedAt  float64
	attempts   int
	final      bool
	retries    int // of its client so far
	inFlight   *attempt
}

// try is an attempt of a request.
type attempt struct {
	request       *request
	index         int
	server        *server
	sentAt        float64
	serverProcess int  // of its server that serves it
	ended         bool // its agent waits no longer
	queued        bool // in its server's queue
}

// The moments of requests, attempts and agents.
type (
	requestDeadline request
	attemptArrived  attempt // its server
	attemptServed   attempt // on its server
	attemptAnswered attempt
	attemptReset    attempt
	attemptTimedOut attempt
	connectFailed   attempt
	timer           struct {
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
	if m.cfg.QuotaOfService {
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
	b, err := c.newDecider(set, m.cfg.Seed<<16+uint64(c.number)+c.starts<<40)
	if err != nil {
		return err
	}
	c.starts++
	c.agent = &agent{m: m, client: c, decider: b, requests: map[policy.RequestID]*request{},
		conns: map[*server]int{}, idle: map[*server]idleSince{}, knownStarts: map[*server]bool{}}
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
func (c *client) nextDelay() float64 { return c.m.rng.ExpFloat64() / (c.rate * max(c.m.cfg.Peak, 1)) }

func (c *client) fire(m *Model) {
	if m.stopped {
		return
	}
	if peak := m.cfg.Peak; !c.lost && (peak <= 1 || m.rng.Float64()*peak < m.rateFactor) {
		c.sendRequest(m.newRequest())
	}
	m.schedule(m.now+c.nextDelay(), c)
}

// ask is a client's request; one that is turned away comes once more after the advice.
func (c *client) sendRequest(r *request) {
	m, a := c.m, c.agent
	m.lastRequest++
	r.id, r.agent = m.lastRequest, a
	a.requests[r.id] = r
	if r.retries == 0 {
		m.second().Requests++
		m.shares.addRequest(r)
	}
	left := m.clientTimeoutMs(r.class)
	a.handle(policy.Event{Kind: policy.EventRequest, Request: r.id, Class: r.class, Tenant: r.tenant, Key: r.key,
		HintMs: r.hintMs, HasHint: r.hintMs > 0, TimeLeftMs: left, Retry: r.retries > 0 && m.cfg.Settings.Clients.MarksRetry})
	m.maxQueued = max(m.maxQueued, len(a.requests)-a.inFlight)
	m.queue.pushLate(m.now+left, (*requestDeadline)(r))
}

func (d *requestDeadline) fire(*Model) {
	r := (*request)(d)
	if r.final {
		return
	}
	r.final = true
	r.agent.handle(policy.Event{Kind: policy.EventClientGone, Request: r.id})
	if len(r.agent.m.cfg.Traffic) > 0 { // plain clients come again after refusals alone
		r.agent.client.retry(r)
	}
	r.forget()
}

// forget drops a request that has its answer and no attempt out.
func (r *request) forget() {
	if r.final && r.inFlight == nil {
		delete(r.agent.requests, r.id)
	}
}

func (a *agent) boot() {
	a.perform(a.decider.Start(a.m.now, nil))
	a.handle(policy.Event{Kind: policy.EventEndpointList, List: policy.ListCached, Entries: a.client.list()})
}

// list is what discovery tells the client's agent now.
func (c *client) list() []policy.Entry {
	if c.m.now < c.notifiedAt && c.service.before != nil {
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
		if s := m.serverAt(ev.Entries[i].Server); s.startedAt > 0 && ev.Entries[i].StartedMs == s.startedAt {
			a.knownStarts[s] = true
		}
	}
	var actions []policy.Action
	if n := len(m.spareActions); n > 0 {
		actions, m.spareActions = m.spareActions[n-1], m.spareActions[:n-1]
	}
	actions = a.decider.Handle(m.now, &ev, actions[:0])
	a.perform(actions)
	m.spareActions = append(m.spareActions, actions)
}

func (a *agent) perform(actions []policy.Action) {
	m := a.m
	for i := range actions {
		act := &actions[i]
		r := a.requests[act.Request]
		switch act.Kind {
		case policy.ActionSend:
			a.send(r, act)
		case policy.ActionCancel:
			if r != nil && r.inFlight != nil && r.inFlight.index == act.Attempt {
				r.inFlight.end(policy.StatusCancelled)
			}
		case policy.ActionReject, policy.ActionFail:
			if r != nil {
				r.reject(act.Kind == policy.ActionReject)
			}
		case policy.ActionTimer:
			m.schedule(m.now+act.DelayMs, a.timer(act.Token))
		case policy.ActionHealthCheck:
			a.healthCheck(act.Server)
		case policy.ActionWatch, policy.ActionFetch:
			a.callDiscovery()
		}
	}
}

// giveUp is the module's answer to a request that it does not serve. A client comes again
// after a refusal.
func (r *request) reject(refused bool) {
	m := r.agent.m
	r.final = true
	switch {
	case refused && r.retries >= m.maxRetries():
		m.secondOf(r.arrivedAt).Rejected++
	case refused && r.retries == 0:
		m.secondOf(r.arrivedAt).RejectedFirst++
	}
	if refused {
		r.agent.client.retry(r)
	}
	r.forget()
}

// askAgain is a client's retry of an unserved request, after a while and within the time after
// which it gives up.
func (c *client) retry(r *request) {
	m := c.m
	wait := 30 + 200*m.rng.Float64()
	if r.retries >= m.maxRetries() || m.now+wait >= r.arrivedAt+m.cfg.Settings.Classes[r.class].DeadlineMs {
		return
	}
	again := &request{class: r.class, tenant: r.tenant, key: r.key, workFactor: r.workFactor, hintMs: r.hintMs,
		arrivedAt: r.arrivedAt, retries: r.retries + 1}
	m.after(wait, func() { c.sendRequest(again) })
}

// longestCall is how long, in ms, a call waits for its turn at discovery before it fails.
const maxCallMs = 2000.0

// callDiscovery asks for the list. What waits too long at discovery is work for nobody.
func (a *agent) callDiscovery() {
	m := a.m
	m.second().DiscoveryCalls++
	done := max(m.discoveryFreeAt, m.now) + m.cfg.CallMs
	if done-m.now > maxCallMs {
		m.after(maxCallMs, func() { a.handle(policy.Event{Kind: policy.EventEndpointList, List: policy.ListFailed}) })
		return
	}
	m.discoveryFreeAt = done
	m.schedule(done, call(func() {
		m.notified++
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

func (t *timer) fire(*Model) { t.agent.handle(policy.Event{Kind: policy.EventTimer, Token: t.token}) }

func (a *agent) healthCheck(at policy.Addr) {
	m, s := a.m, a.m.serverAt(at)
	if s == nil {
		return
	}
	m.second().HealthChecks++
	round := 2 * m.hop(a.client.zone, s.zone)
	m.after(round, func() {
		ev := policy.Event{Kind: policy.EventHealthChecked, Server: at, Status: policy.StatusOK, LatencyMs: round}
		switch {
		case s.silent || !m.linked(a.client.zone, s.zone):
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
	sec.Attempts++
	if r.attempts > 0 {
		sec.Retries++
	} else if r.retries == 0 {
		m.waits.add(m.now - r.arrivedAt)
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
	t := &attempt{request: r, index: r.attempts, server: s, sentAt: m.now}
	r.attempts++
	r.inFlight = t
	a.inFlight++
	m.schedule(m.now+m.hop(a.client.zone, s.zone), (*attemptArrived)(t))
	m.queue.pushLate(m.now+act.DelayMs, (*attemptTimedOut)(t))
}

func (t *attemptTimedOut) fire(*Model) { (*attempt)(t).end(policy.StatusTimeout) }
func (t *connectFailed) fire(*Model)   { (*attempt)(t).end(policy.StatusConnectFailed) }
func (t *attemptReset) fire(*Model)    { (*attempt)(t).end(policy.StatusReset) }
func (t *attemptAnswered) fire(*Model) { (*attempt)(t).end(policy.StatusOK) }

// end is how an attempt ends for its agent; what is no longer waited for is not served.
func (t *attempt) end(st policy.Status) {
	if t.ended {
		return
	}
	t.ended = true
	t.server.abandon(t)
	r := t.request
	a := r.agent
	m := a.m
	r.inFlight = nil
	a.inFlight--
	if st == policy.StatusOK {
		a.conns[t.server] = t.serverProcess
		a.idle[t.server] = append(a.idle[t.server], m.now)
	} else {
		delete(a.conns, t.server)
		delete(a.idle, t.server)
	}
	if st == policy.StatusOK && !r.final && !a.ended {
		r.final = true
		if m.now-r.arrivedAt <= m.cfg.Settings.Classes[r.class].LatencyObjectiveMs {
			m.second().WithinObjective++
			m.shares.addServed(r)
			m.secondOf(r.arrivedAt).Served++
		}
	}
	a.handle(policy.Event{Kind: policy.EventOutcome, Request: r.id, Attempt: t.index, Server: t.server.addr,
		Status: st, LatencyMs: m.now - t.sentAt, Final: r.final})
	r.forget()
}
