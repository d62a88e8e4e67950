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
	notifiedAt float64 // when its agent is notified of the start scenario's start, in ms
	starts     uint64  // of its agent, so far
	lost       bool    // with its machine: it sends nothing
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

// start starts a new process of the client's agent, which has no state yet. Its error is that of
// policy.New.
func (c *client) start() error {
	model := c.m
	settings := model.cfg.Settings
	settings.Zone, settings.Index, settings.Replicas = c.zone, c.number, model.cfg.Agents
	quota := model.cfg.Rate
	if model.cfg.QuotaOfService {
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
	decider, err := c.newDecider(settings, model.cfg.Seed<<16+uint64(c.number)+c.starts<<40)
	if err != nil {
		return err
	}
	c.starts++
	c.agent = &agent{m: model, client: c, decider: decider, requests: map[policy.RequestID]*request{},
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

// nextDelay returns the time in ms to the client's next request: a Poisson process. Where there may be bursts
// it has their rate, and fire leaves out the excess at other times (thinning).
func (c *client) nextDelay() float64 { return c.m.rng.ExpFloat64() / (c.rate * max(c.m.cfg.Peak, 1)) }

// fire sends the client's next request and schedules the one after it.
func (c *client) fire(model *Model) {
	if model.stopped {
		return
	}
	if peak := model.cfg.Peak; !c.lost && (peak <= 1 || model.rng.Float64()*peak < model.rateFactor) {
		c.sendRequest(model.newRequest())
	}
	model.schedule(model.now+c.nextDelay(), c)
}

// sendRequest sends a request to the client's agent.
func (c *client) sendRequest(request *request) {
	model, agent := c.m, c.agent
	model.lastRequest++
	request.id, request.agent = model.lastRequest, agent
	agent.requests[request.id] = request
	if request.retries == 0 {
		model.second().Requests++
		model.goodputs.addRequest(request)
	}
	timeLeftMs := model.clientTimeoutMs(request.class)
	agent.handle(&policy.RequestArrived{Request: request.id, Class: request.class, Tenant: request.tenant,
		Key: request.key, WorkHintMs: request.hintMs, HasWorkHint: request.hintMs > 0, TimeLeftMs: timeLeftMs,
		Retry: request.retries > 0 && model.cfg.Settings.Clients.MarksRetry})
	model.maxQueued = max(model.maxQueued, len(agent.requests)-agent.inFlight)
	model.queue.pushLate(model.now+timeLeftMs, (*requestDeadline)(request))
}

// list returns the endpoint list that discovery gives the client's agent now.
func (c *client) list() []policy.Entry {
	if c.m.now < c.notifiedAt && c.service.before != nil {
		return c.service.before
	}
	return c.service.list()
}

// A client waits minRetryDelayMs plus a uniform jitter of up to retryJitterMs before it retries a
// request.
const minRetryDelayMs, retryJitterMs = 30, 200

// retry has the client retry an unserved request, after 30 to 230 ms and within the class's deadline.
func (c *client) retry(unserved *request) {
	model := c.m
	waitMs := minRetryDelayMs + retryJitterMs*model.rng.Float64()
	if unserved.retries >= model.maxRetries() || model.now+waitMs >= unserved.arrivedAt+model.cfg.Settings.Classes[unserved.class].DeadlineMs {
		return
	}
	again := &request{class: unserved.class, tenant: unserved.tenant, key: unserved.key,
		workFactor: unserved.workFactor, hintMs: unserved.hintMs, arrivedAt: unserved.arrivedAt, retries: unserved.retries + 1}
	model.after(waitMs, func() { c.sendRequest(again) })
}

// fire has the client give up its request.
func (d *requestDeadline) fire(*Model) {
	request := (*request)(d)
	if request.final {
		return
	}
	request.final = true
	request.agent.handle(&policy.ClientDisconnected{Request: request.id})
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

// reject ends a request that the decider does not serve. mayRetry is set if it was rejected, which a client
// retries, and not failed.
func (r *request) reject(mayRetry bool) {
	model := r.agent.m
	r.final = true
	switch {
	case mayRetry && r.retries >= model.maxRetries():
		model.secondOf(r.arrivedAt).Rejected++
	case mayRetry && r.retries == 0:
		model.secondOf(r.arrivedAt).RejectedFirst++
	}
	if mayRetry {
		r.agent.client.retry(r)
	}
	r.forget()
}
