package model

import (
	"ploverreel/policy"
)

// agent is one agent process. The model simulates its clock and its sockets.
type agent struct {
	m           *Model
	client      *client
	decider     decider
	requests    map[policy.RequestID]*request
	inFlight    int                   // attempts that have not ended
	connections map[*server]int       // number of the server's process to which a connection is open
	idle        map[*server]idleSince // idle connections
	knownStarts map[*server]bool      // servers of whose latest start it was notified
	timers      []*timer              // one for each token used so far
	ended       bool                  // the process has ended
}

// boot starts the agent with the cached endpoint list.
func (a *agent) boot() {
	a.perform(a.decider.Start(a.m.now, nil))
	a.handle(&policy.EndpointsUpdated{Kind: policy.ListCached, Entries: a.client.list()})
}

// handle passes an event to the decider and performs the returned actions. An action may end an
// attempt, which calls handle recursively, so each level of recursion has its own slice of actions.
func (a *agent) handle(event policy.Event) {
	if a.ended {
		return
	}
	model := a.m
	if updated, ok := event.(*policy.EndpointsUpdated); ok {
		a.recordStarts(updated.Entries)
	}
	var actions []policy.Action
	if n := len(model.spareActions); n > 0 {
		actions, model.spareActions = model.spareActions[n-1], model.spareActions[:n-1]
	}
	actions = a.decider.Handle(model.now, event, actions[:0])
	a.perform(actions)
	model.spareActions = append(model.spareActions, actions)
}

// recordStarts records the servers whose latest start is in entries: the agent is now notified of it.
func (a *agent) recordStarts(entries []policy.Entry) {
	for i := range entries {
		if server := a.m.serverAt(entries[i].Server); server.startedAt > 0 && entries[i].StartedMs == server.startedAt {
			a.knownStarts[server] = true
		}
	}
}

// perform performs the actions of the decider. It ignores kinds that the model does not simulate.
func (a *agent) perform(actions []policy.Action) {
	model := a.m
	for i := range actions {
		action := &actions[i]
		request := a.requests[action.Request]
		switch action.Kind {
		case policy.ActionSendAttempt:
			a.startAttempt(request, action)
		case policy.ActionCancelAttempt:
			if request != nil && request.inFlight != nil && request.inFlight.index == action.Attempt {
				request.inFlight.end(policy.StatusCancelled)
			}
		case policy.ActionRejectRequest, policy.ActionFailRequest:
			if request != nil {
				request.endUnserved(action.Kind == policy.ActionRejectRequest)
			}
		case policy.ActionSetTimer:
			model.schedule(model.now+action.DelayMs, a.timer(action.Token))
		case policy.ActionCheckHealth:
			a.healthCheck(action.Server)
		case policy.ActionOpenWatch, policy.ActionFetchEndpoints:
			a.callDiscovery()
		}
	}
}

// discoveryTimeoutMs is the timeout of a call to discovery in ms, including its wait in the queue.
const discoveryTimeoutMs = 2000.0

// callDiscovery fetches the endpoint list. A call that would take longer than discoveryTimeoutMs
// fails and takes none of discovery's time.
func (a *agent) callDiscovery() {
	model := a.m
	model.second().DiscoveryCalls++
	done := max(model.discovery.freeAt, model.now) + model.cfg.DiscoveryCallMs
	if done-model.now > discoveryTimeoutMs {
		model.scheduleAfter(discoveryTimeoutMs, func() { a.handle(&policy.DiscoveryFailed{}) })
		return
	}
	model.discovery.freeAt = done
	model.schedule(done, callback(func() {
		model.discovery.answered++
		a.handle(&policy.EndpointsUpdated{Kind: policy.ListFull, Entries: a.client.list()})
	}))
}

// timer returns the agent's timer with a token. Each timer is allocated once and reused, so that
// setting it again allocates nothing.
func (a *agent) timer(token uint32) *timer {
	for _, existing := range a.timers {
		if existing.token == token {
			return existing
		}
	}
	created := &timer{a, token}
	a.timers = append(a.timers, created)
	return created
}

func (t *timer) fire(*Model) { t.agent.handle(&policy.TimerFired{Token: t.token}) }

// healthCheck opens a connection to a server. The agent is told the outcome after one round trip, or
// after the connect timeout if the server can't be reached.
func (a *agent) healthCheck(addr policy.Addr) {
	model, server := a.m, a.m.serverAt(addr)
	if server == nil {
		return
	}
	model.second().HealthChecks++
	roundTripMs := 2 * model.networkDelay(a.client.zone, server.zone)
	model.scheduleAfter(roundTripMs, func() {
		event := &policy.HealthCheckEnded{Server: addr, Status: policy.StatusOK, LatencyMs: roundTripMs}
		switch {
		case server.silent || !model.reachable(a.client.zone, server.zone):
			untilTimeoutMs := max(model.cfg.Settings.Limits.ConnectTimeoutMs-roundTripMs, 0)
			event.Status, event.LatencyMs = policy.StatusConnectFailed, roundTripMs+untilTimeoutMs
			model.scheduleAfter(untilTimeoutMs, func() { a.handle(event) })
			return
		case server.down:
			event.Status = policy.StatusConnectFailed
		}
		a.handle(event)
	})
}
