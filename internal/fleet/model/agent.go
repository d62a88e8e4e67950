package model

import (
	"slices"

	"ploverreel/policy"
)

// client sends requests to its agent at a rate of its own; it outlives the agent's process.
type client struct {
	m          *Model
	agent      *agent
	service    *service // that it calls
	zone       int
	number     int     // among all clients
	inService  int     // its number among those that call the service
	replicas   int     // clients that call the service
	quota      float64 // requests a ms of all of them
	rate       float64 // requests a ms of this one
	listMs     float64 // after which its agent is notified of a change of the list
	notifiedAt float64 // when its agent is notified of the start day's start, in ms
	starts     uint64  // of its agent, so far
	lost       bool    // with its machine: it sends nothing
}

// agent is one process of the agent. Its clock and its sockets are those of the model.
type agent struct {
	m           *Model
	client      *client
	decider     decider
	requests    map[policy.RequestID]*request
	inFlight    int                   // attempts that have not ended
	conns       map[*server]int       // number of the server's process that it has a connection to
	idle        map[*server]idleSince // its idle connections
	knownStarts map[*server]bool      // servers that warm up of whose start it was notified
	timers      []*timer              // one for each token that was ever used
	ended       bool                  // the process has ended
}

// request is one of a client. A retry of the client is a request of its own.
type request struct {
	agent      *agent
	id         policy.RequestID
	class      int
	tenant     int
	key        uint64
	workFactor float64  // its work in requests of its class's mean work
	hintMs     float64  // its work as its client estimates it; 0: it sends no hint
	arrivedAt  float64  // when the client first sent it, in ms
	attempts   int      // so far
	final      bool     // it is answered or given up
	retries    int      // of its client, so far
	inFlight   *attempt // nil: none
}

// attempt is one send of a request to a server.
type attempt struct {
	request       *request
	index         int // among those of the request
	server        *server
	sentAt        float64 // in ms
	serverProcess int     // number of the process of its server that serves it
	ended         bool    // its agent no longer waits for it
	queued        bool    // in its server's queue
}

// The events of requests, attempts and agents. Each is the thing itself under another type, so that
// scheduling one allocates nothing.
type (
	requestDeadline request
	attemptArrived  attempt // at its server
	attemptServed   attempt // its server has done its work
	attemptAnswered attempt
	attemptReset    attempt
	attemptTimedOut attempt
	connectFailed   attempt
	timer           struct {
		agent *agent
		token uint32
	}
)

// start gives the client a new process of the agent, which has learnt nothing yet. Its error is that
// of policy.New.
func (c *client) start() error {
	m := c.m
	settings := m.cfg.Settings
	settings.Zone, settings.Index, settings.Replicas = c.zone, c.number, m.cfg.Agents
	quota := m.cfg.Rate
	if m.cfg.QuotaOfService {
		settings.Index, settings.Replicas, quota = c.inService, c.replicas, 1000*c.quota
	}
	settings.Tenants = slices.Clone(settings.Tenants)
	for i := range settings.Tenants {
		tenant := &settings.Tenants[i]
		if len(settings.Tenants) == 1 {
			tenant.QuotaShare = 1
		}
		tenant.QuotaPerS = quota * tenant.QuotaShare
	}
	decider, err := c.newDecider(settings, m.cfg.Seed<<16+uint64(c.number)+c.starts<<40)
	if err != nil {
		return err
	}
	c.starts++
	c.agent = &agent{m: m, client: c, decider: decider, requests: map[policy.RequestID]*request{},
		conns: map[*server]int{}, idle: map[*server]idleSince{}, knownStarts: map[*server]bool{}}
	return nil
}

// restart ends the agent's process with all its requests and starts another.
func (c *client) restart() {
	old := c.agent
	old.ended = true
	if err := c.start(); err != nil {
		c.m.err = err
		return
	}
	c.agent.boot()
}

// nextDelay is the time in ms to the client's next request: a Poisson process. Where there may be
// bursts it has their rate, and fire leaves out what is too much at other times (thinning).
func (c *client) nextDelay() float64 { return c.m.rng.ExpFloat64() / (c.rate * max(c.m.cfg.Peak, 1)) }

// fire sends the client's next request and schedules the one after it.
func (c *client) fire(m *Model) {
	if m.stopped {
		return
	}
	if peak := m.cfg.Peak; !c.lost && (peak <= 1 || m.rng.Float64()*peak < m.rateFactor) {
		c.sendRequest(m.newRequest())
	}
	m.schedule(m.now+c.nextDelay(), c)
}

// sendRequest gives the client's agent a request.
func (c *client) sendRequest(request *request) {
	m, agent := c.m, c.agent
	m.lastRequest++
	request.id, request.agent = m.lastRequest, agent
	agent.requests[request.id] = request
	if request.retries == 0 {
		m.second().Requests++
		m.shares.addRequest(request)
	}
	timeLeftMs := m.clientTimeoutMs(request.class)
	agent.handle(policy.Event{Kind: policy.EventRequest, Request: request.id, Class: request.class, Tenant: request.tenant,
		Key: request.key, HintMs: request.hintMs, HasHint: request.hintMs > 0, TimeLeftMs: timeLeftMs,
		Retry: request.retries > 0 && m.cfg.Settings.Clients.MarksRetry})
	m.maxQueued = max(m.maxQueued, len(agent.requests)-agent.inFlight)
	m.queue.pushLate(m.now+timeLeftMs, (*requestDeadline)(request))
}

// fire has the client give up its request.
func (d *requestDeadline) fire(*Model) {
	request := (*request)(d)
	if request.final {
		return
	}
	request.final = true
	request.agent.handle(policy.Event{Kind: policy.EventClientGone, Request: request.id})
	if len(request.agent.m.cfg.Traffic) > 0 { // plain clients retry only what was rejected
		request.agent.client.retry(request)
	}
	request.forget()
}

// forget drops a request that is final and has no attempt in flight.
func (r *request) forget() {
	if r.final && r.inFlight == nil {
		delete(r.agent.requests, r.id)
	}
}

// boot starts the agent with the cached endpoint list.
func (a *agent) boot() {
	a.perform(a.decider.Start(a.m.now, nil))
	a.handle(policy.Event{Kind: policy.EventEndpointList, List: policy.ListCached, Entries: a.client.list()})
}

// list is the endpoint list that discovery gives the client's agent now.
func (c *client) list() []policy.Entry {
	if c.m.now < c.notifiedAt && c.service.before != nil {
		return c.service.before
	}
	return c.service.list()
}

// handle gives the decider an event and performs its actions. These may end attempts, and so call
// handle again: each depth has its own slice of actions.
func (a *agent) handle(ev policy.Event) {
	if a.ended {
		return
	}
	m := a.m
	for i := range ev.Entries {
		if server := m.serverAt(ev.Entries[i].Server); server.startedAt > 0 && ev.Entries[i].StartedMs == server.startedAt {
			a.knownStarts[server] = true
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

// perform does what the decider asks for. Actions without a part in the model are skipped.
func (a *agent) perform(actions []policy.Action) {
	m := a.m
	for i := range actions {
		act := &actions[i]
		request := a.requests[act.Request]
		switch act.Kind {
		case policy.ActionSend:
			a.send(request, act)
		case policy.ActionCancel:
			if request != nil && request.inFlight != nil && request.inFlight.index == act.Attempt {
				request.inFlight.end(policy.StatusCancelled)
			}
		case policy.ActionReject, policy.ActionFail:
			if request != nil {
				request.reject(act.Kind == policy.ActionReject)
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

// reject is the decider's answer to a request that it does not serve; mayRetry says that it was
// rejected, which a client retries, and not failed.
func (r *request) reject(mayRetry bool) {
	m := r.agent.m
	r.final = true
	switch {
	case mayRetry && r.retries >= m.maxRetries():
		m.secondOf(r.arrivedAt).Rejected++
	case mayRetry && r.retries == 0:
		m.secondOf(r.arrivedAt).RejectedFirst++
	}
	if mayRetry {
		r.agent.client.retry(r)
	}
	r.forget()
}

// retry is a client's retry of an unserved request, after 30 to 230 ms and within the class's deadline.
func (c *client) retry(unserved *request) {
	m := c.m
	waitMs := 30 + 200*m.rng.Float64()
	if unserved.retries >= m.maxRetries() || m.now+waitMs >= unserved.arrivedAt+m.cfg.Settings.Classes[unserved.class].DeadlineMs {
		return
	}
	again := &request{class: unserved.class, tenant: unserved.tenant, key: unserved.key,
		workFactor: unserved.workFactor, hintMs: unserved.hintMs, arrivedAt: unserved.arrivedAt, retries: unserved.retries + 1}
	m.after(waitMs, func() { c.sendRequest(again) })
}

// maxCallMs is how long, in ms, a call waits for its turn at discovery before it fails.
const maxCallMs = 2000.0

// callDiscovery fetches the endpoint list. A call that would wait too long at discovery fails, and
// takes none of its time.
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

// timer is the agent's timer of that token; it is made once, so that setting it again allocates nothing.
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

// healthCheck connects to a server and reports the outcome after a round trip, or after the connect
// timeout.
func (a *agent) healthCheck(addr policy.Addr) {
	m, server := a.m, a.m.serverAt(addr)
	if server == nil {
		return
	}
	m.second().HealthChecks++
	roundTripMs := 2 * m.hop(a.client.zone, server.zone)
	m.after(roundTripMs, func() {
		ev := policy.Event{Kind: policy.EventHealthChecked, Server: addr, Status: policy.StatusOK, LatencyMs: roundTripMs}
		switch {
		case server.silent || !m.linked(a.client.zone, server.zone):
			untilTimeoutMs := max(m.cfg.Settings.Limits.ConnectTimeoutMs-roundTripMs, 0)
			ev.Status, ev.LatencyMs = policy.StatusConnectFailed, roundTripMs+untilTimeoutMs
			m.after(untilTimeoutMs, func() { a.handle(ev) })
			return
		case server.down:
			ev.Status = policy.StatusConnectFailed
		}
		a.handle(ev)
	})
}

// send sends an attempt of a request.
func (a *agent) send(request *request, act *policy.Action) {
	m, server := a.m, a.m.serverAt(act.Server)
	if server == nil {
		return
	}
	count := m.second()
	count.Attempts++
	if request.attempts > 0 {
		count.Retries++
	} else if request.retries == 0 {
		m.waits.add(m.now - request.arrivedAt)
	}
	if server.zone != a.client.zone {
		count.CrossZone++
	}
	if m.region(server.zone) != m.region(a.client.zone) {
		count.CrossRegion++
	}
	if !a.takeIdle(server) {
		count.Connects++
	}
	sent := &attempt{request: request, index: request.attempts, server: server, sentAt: m.now}
	request.attempts++
	request.inFlight = sent
	a.inFlight++
	m.schedule(m.now+m.hop(a.client.zone, server.zone), (*attemptArrived)(sent))
	m.queue.pushLate(m.now+act.DelayMs, (*attemptTimedOut)(sent))
}

func (t *attemptTimedOut) fire(*Model) { (*attempt)(t).end(policy.StatusTimeout) }
func (t *connectFailed) fire(*Model)   { (*attempt)(t).end(policy.StatusConnectFailed) }
func (t *attemptReset) fire(*Model)    { (*attempt)(t).end(policy.StatusReset) }
func (t *attemptAnswered) fire(*Model) { (*attempt)(t).end(policy.StatusOK) }

// end ends an attempt for its agent and reports the outcome. It does nothing the second time.
func (t *attempt) end(status policy.Status) {
	if t.ended {
		return
	}
	t.ended = true
	t.server.abandon(t)
	request := t.request
	agent := request.agent
	m := agent.m
	request.inFlight = nil
	agent.inFlight--
	if status == policy.StatusOK {
		agent.conns[t.server] = t.serverProcess
		agent.idle[t.server] = append(agent.idle[t.server], m.now)
	} else {
		delete(agent.conns, t.server)
		delete(agent.idle, t.server)
	}
	if status == policy.StatusOK && !request.final && !agent.ended {
		request.final = true
		if m.now-request.arrivedAt <= m.cfg.Settings.Classes[request.class].LatencyObjectiveMs {
			m.second().WithinObjective++
			m.shares.addServed(request)
			m.secondOf(request.arrivedAt).Served++
		}
	}
	agent.handle(policy.Event{Kind: policy.EventOutcome, Request: request.id, Attempt: t.index, Server: t.server.addr,
		Status: status, LatencyMs: m.now - t.sentAt, Final: request.final})
	request.forget()
}
