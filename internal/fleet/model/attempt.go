package model

import (
	"ploverreel/policy"
)

// attempt is one transmission of a request to a server.
type attempt struct {
	request       *request
	index         int // among the request's attempts
	server        *server
	sentAt        float64 // in ms
	serverProcess int     // number of the server process that serves it
	ended         bool    // the agent no longer waits for it
	queued        bool    // waits in the server's queue
}

// The events of requests, attempts and agents. All but timer are the request or attempt itself,
// converted to a type with its own method fire, so that scheduling one allocates nothing.
type (
	requestDeadline request
	attemptArrived  attempt // at the server
	attemptServed   attempt // the server has finished its work
	attemptAnswered attempt // the response has arrived at the agent
	attemptReset    attempt // the agent sees a connection reset
	attemptTimedOut attempt
	connectFailed   attempt
	timer           struct {
		agent *agent
		token uint32
	}
)

// startAttempt starts an attempt of a request at the action's server.
func (a *agent) startAttempt(request *request, action *policy.Action) {
	model, server := a.m, a.m.serverAt(action.Server)
	if server == nil {
		return
	}
	count := model.second()
	count.Attempts++
	if request.attempts > 0 {
		count.Retries++
	} else if request.retries == 0 {
		model.firstAttemptWaits.add(model.now - request.arrivedAt)
	}
	if server.zone != a.client.zone {
		count.CrossZone++
	}
	if model.region(server.zone) != model.region(a.client.zone) {
		count.CrossRegion++
	}
	if !a.takeIdle(server) {
		count.Connects++
	}
	sent := &attempt{request: request, index: request.attempts, server: server, sentAt: model.now}
	request.attempts++
	request.inFlight = sent
	a.inFlight++
	model.schedule(model.now+model.networkDelay(a.client.zone, server.zone), (*attemptArrived)(sent))
	model.queue.pushOrdered(model.now+action.TimeoutMs, (*attemptTimedOut)(sent))
}

func (t *attemptTimedOut) fire(*Model) { (*attempt)(t).end(policy.StatusTimeout) }
func (t *connectFailed) fire(*Model)   { (*attempt)(t).end(policy.StatusConnectFailed) }
func (t *attemptReset) fire(*Model)    { (*attempt)(t).end(policy.StatusReset) }
func (t *attemptAnswered) fire(*Model) { (*attempt)(t).end(policy.StatusOK) }

// end ends an attempt and reports its outcome to the agent. If the attempt has already ended, it does
// nothing.
func (t *attempt) end(status policy.Status) {
	if t.ended {
		return
	}
	t.ended = true
	t.server.removeAbandoned(t)
	request := t.request
	agent := request.agent
	model := agent.m
	request.inFlight = nil
	agent.inFlight--
	if status == policy.StatusOK {
		agent.connections[t.server] = t.serverProcess
		agent.idle[t.server] = append(agent.idle[t.server], model.now)
	} else {
		delete(agent.connections, t.server)
		delete(agent.idle, t.server)
	}
	if status == policy.StatusOK && !request.final && !agent.ended {
		request.final = true
		if model.now-request.arrivedAt <= model.cfg.Settings.Classes[request.class].LatencyObjectiveMs {
			model.second().WithinObjective++
			model.goodputs.addServed(request)
			model.secondOf(request.arrivedAt).Served++
		}
	}
	agent.handle(&policy.AttemptEnded{Request: request.id, Attempt: t.index, Server: t.server.addr,
		Status: status, LatencyMs: model.now - t.sentAt, Final: request.final})
	request.removeIfDone()
}
