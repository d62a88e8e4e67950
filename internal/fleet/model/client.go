package model

import (
	"slices"

	"ploverreel/policy"
)

// client sends requests to its agent at its own rate. It outlives the agent's process.
type client struct {
	m                 *Model
	agent             *agent
	service           *service // the service that it calls
	zone              int
	index             int     // index among all clients
	indexInService    int     // index among the service's clients
	serviceClients    int     // number of the service's clients
	serviceRate       float64 // rate of all clients of the service together, in requests per ms
	rate              float64 // rate of this client, in requests per ms
	listDelayMs       float64 // delay in ms until its agent is notified of a changed endpoint list
	restartNotifiedAt float64 // time in ms at which its agent is notified of the start scenario's restart
	starts            uint64  // number of starts of its agent so far
	failed            bool    // its machine has failed: it sends nothing
}

// request is a request of a client to its agent. A client's retry is a separate request.
type request struct {
	agent      *agent
	id         policy.RequestID
	class      int
	tenant     int
	key        uint64
	workFactor float64  // work as a multiple of the class's mean work
	hintMs     float64  // the client's estimate of its work in ms; 0: no hint is sent
	arrivedAt  float64  // time in ms at which the client first sent it
	attempts   int      // number of attempts so far
	final      bool     // it is answered, rejected, failed or abandoned by the client
	retries    int      // number of the client's retries so far
	inFlight   *attempt // nil: none
}

// start creates a new process of the client's agent, without any state from an earlier process. It
// returns an error of policy.New.
func (c *client) start() error {
	model := c.m
	settings := model.cfg.Settings
	settings.Zone, settings.Index, settings.Replicas = c.zone, c.index, model.cfg.Agents
	quota := model.cfg.Rate
	if model.cfg.QuotaOfService {
		settings.Index, settings.Replicas, quota = c.indexInService, c.serviceClients, 1000*c.serviceRate
	}
	settings.Tenants = slices.Clone(settings.Tenants)
	for i := range settings.Tenants {
		tenant := &settings.Tenants[i]
		if len(settings.Tenants) == 1 {
			tenant.QuotaShare = 1
		}
		tenant.QuotaPerS = quota * tenant.QuotaShare
	}
	decider, err := c.newDecider(settings, model.cfg.Seed<<16+uint64(c.index)+c.starts<<40)
	if err != nil {
		return err
	}
	c.starts++
	c.agent = &agent{m: model, client: c, decider: decider, requests: map[policy.RequestID]*request{},
		connections: map[*server]int{}, idle: map[*server]idleSince{}, knownStarts: map[*server]bool{}}
	return nil
}

// restart ends the agent's process with all its requests and boots a new one.
func (c *client) restart() {
	old := c.agent
	old.ended = true
	if err := c.start(); err != nil {
		c.m.err = err
		return
	}
	c.agent.boot()
}

// nextDelay returns the time in ms until the client's next arrival in a Poisson process. If the rate
// may burst, the process has the peak rate, and fire drops the excess arrivals at other times
// (thinning).
func (c *client) nextDelay() float64 {
	return c.m.rng.ExpFloat64() / (c.rate * max(c.m.cfg.MaxRateFactor, 1))
}

// fire sends the client's next request and schedules the one after it.
func (c *client) fire(model *Model) {
	if model.stopped {
		return
	}
	if peak := model.cfg.MaxRateFactor; !c.failed && (peak <= 1 || model.rng.Float64()*peak < model.rateFactor) {
		c.sendRequest(model.newRequest())
	}
	model.schedule(model.now+c.nextDelay(), c)
}

// sendRequest sends a request to the client's agent and schedules the client's timeout.
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
	model.queue.pushOrdered(model.now+timeLeftMs, (*requestDeadline)(request))
}

// list returns the endpoint list that the client's agent receives from discovery now. It is the stale
// list until the agent is notified of the start scenario's restart.
func (c *client) list() []policy.Entry {
	if c.m.now < c.restartNotifiedAt && c.service.staleList != nil {
		return c.service.staleList
	}
	return c.service.list()
}

// A client waits minRetryDelayMs plus a uniform jitter of up to retryJitterMs before it retries a
// request.
const minRetryDelayMs, retryJitterMs = 30, 200

// retry makes the client retry an unserved request after 30 to 230 ms, unless its retries are used up
// or the class's deadline would pass first.
func (c *client) retry(unserved *request) {
	model := c.m
	waitMs := minRetryDelayMs + retryJitterMs*model.rng.Float64()
	if unserved.retries >= model.maxRetries() || model.now+waitMs >= unserved.arrivedAt+model.cfg.Settings.Classes[unserved.class].DeadlineMs {
		return
	}
	retried := &request{class: unserved.class, tenant: unserved.tenant, key: unserved.key,
		workFactor: unserved.workFactor, hintMs: unserved.hintMs, arrivedAt: unserved.arrivedAt, retries: unserved.retries + 1}
	model.scheduleAfter(waitMs, func() { c.sendRequest(retried) })
}

// fire makes the client abandon its request if it has no outcome yet.
func (d *requestDeadline) fire(*Model) {
	request := (*request)(d)
	if request.final {
		return
	}
	request.final = true
	request.agent.handle(&policy.ClientDisconnected{Request: request.id})
	if len(request.agent.m.cfg.Traffic) > 0 { // clients of the plain fleet retry only rejected requests
		request.agent.client.retry(request)
	}
	request.removeIfDone()
}

// removeIfDone removes a request from its agent once it is final and has no attempt in flight.
func (r *request) removeIfDone() {
	if r.final && r.inFlight == nil {
		delete(r.agent.requests, r.id)
	}
}

// endUnserved ends a request that the decider has rejected or failed. mayRetry is true for a rejected
// request: clients retry these, but not failed ones.
func (r *request) endUnserved(mayRetry bool) {
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
	r.removeIfDone()
}
