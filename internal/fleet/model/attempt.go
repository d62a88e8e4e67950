package model

import (
	"ploverreel/policy"
)

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
