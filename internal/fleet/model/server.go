package model

import (
	"math"

	"ploverreel/policy"
)

const (
	// A server is overloaded while it has at least maxPendingPerCore pending requests per core, in
	// service and queued. After more than overloadMs of this it takes overloadSlowdown times as long
	// for a request, until it has no pending request.
	maxPendingPerCore, overloadMs, overloadSlowdown = 7, 2000.0, 3.0
	// notifiedShare bounds the share of a warming server's load that comes from agents notified of its
	// start. If the server fails with a larger share, the failure is attributed to these agents.
	notifiedShare = 2.0 / 3
	// smallBudgetRequests bounds the mean budget of a warming server, in requests of mean work. A
	// smaller budget has a larger allowance for the variance of the arrivals.
	smallBudgetRequests = 30.0
)

// server serves as many requests at once as it has cores, first come, first served.
type server struct {
	m               *Model
	service         *service
	addr            policy.Addr
	zone            int
	speed           float64       // of a core, 1 is full speed
	startedAt       float64       // in ms; it warms up from here on, as the contract says; 0: it is warm
	down            bool          // refuses connections
	silent          bool          // its machine has failed: what is sent to it is lost
	listed          policy.Health // its health in the endpoint list, if it is not down
	process         int           // number of its present process
	queue           []*attempt    // waiting; those that are no longer queued are skipped
	pending         int           // served and waiting
	maxPending      int           // the most that it ever had pending
	busy            int           // cores in use
	overloadedSince float64       // in ms; 0: it is not overloaded
	slowed          bool
	arrivalTimes    []float64 // in ms, if the configuration keeps them
	warmup          warmupLoad
	view            serverView // what agents with the delayed view see
}

// warmupLoad is the load of a server that warms up, in the last overload window of the contract.
type warmupLoad struct {
	arrivals         []arrival
	first            int     // index of the first arrival in the window
	work             float64 // of all arrivals, in requests of mean work
	actual           float64 // the same by their actual work
	notified         float64 // the part of work from agents that were notified of the start
	maxShare         float64 // the most that work ever was, as a share of the budget
	maxActualShare   float64 // the same of actual, which no agent can know beforehand: no server fails by it
	failed           bool
	failedByNotified bool // see notifiedShare
}

// arrival is an attempt that reached a server that warms up.
type arrival struct {
	at       float64 // in ms
	work     float64 // mean work of its class, in requests of mean work
	actual   float64 // its actual work, in the same unit
	notified bool    // its agent was notified of the start
}

// add counts an arrival in the window.
func (l *warmupLoad) add(came arrival) {
	l.arrivals = append(l.arrivals, came)
	l.work += came.work
	l.actual += came.actual
	if came.notified {
		l.notified += came.work
	}
}

// dropFirst drops the arrival that left the window.
func (l *warmupLoad) dropFirst() {
	first := l.arrivals[l.first]
	l.first++
	l.work -= first.work
	l.actual -= first.actual
	if first.notified {
		l.notified -= first.work
	}
}

// entry returns the server's line in the endpoint list.
func (s *server) entry() policy.Entry {
	entry := policy.Entry{Server: s.addr, Zone: s.zone, Cell: s.zone, Health: s.listed, Weight: 1, StartedMs: s.startedAt}
	if s.down {
		entry.Health = policy.HealthGone
	}
	return entry
}

// ramp returns the part of its full speed that a server has warmed up to: linear from SlowStartFrom to 1
// within SlowStartMs.
func (s *server) ramp(now float64) float64 {
	contract := &s.m.cfg.Settings.Contract
	if age := now - s.startedAt; s.startedAt > 0 && age < contract.SlowStartMs {
		return contract.SlowStartFrom + (1-contract.SlowStartFrom)*max(age, 0)/contract.SlowStartMs
	}
	return 1
}

// capacity returns the part of its full speed at which a server works now.
func (s *server) capacity(now float64) float64 {
	speed := s.speed * s.ramp(now)
	if s.slowed {
		speed /= overloadSlowdown
	}
	return speed
}

// fire queues the attempt at its server, or ends it where the server or the link to it is down.
func (r *attemptArrived) fire(model *Model) {
	attempt := (*attempt)(r)
	server, agent := attempt.server, attempt.request.agent
	process, connected := agent.conns[server]
	if server.silent || !model.linked(agent.client.zone, server.zone) {
		if !connected {
			model.schedule(attempt.sentAt+model.cfg.Settings.Limits.ConnectTimeoutMs, (*connectFailed)(attempt))
		}
		return // on an open connection the agent can't distinguish it from a slow answer
	}
	if model.cfg.KeepArrivals {
		server.arrivalTimes = append(server.arrivalTimes, model.now)
	}
	if server.down {
		attempt.end(policy.StatusConnectFailed)
		return
	}
	stale := connected && process != server.process // the machine knows the connection no more
	if !stale {
		server.countWarmup(attempt.request, agent.knownStarts[server])
	}
	if stale || server.down {
		model.schedule(model.now+model.hop(agent.client.zone, server.zone), (*attemptReset)(attempt))
		return
	}
	if !attempt.ended {
		attempt.queued = true
		server.queue = append(server.queue, attempt)
		server.addPending(1)
		server.maxPending = max(server.maxPending, server.pending)
	}
	count := model.second()
	count.MaxPending = max(count.MaxPending, model.pending)
	server.serve()
}

// budget returns how many requests of mean work a server that warms up bears in a window that began at
// began: the contract's multiple of what it can serve then, with two standard deviations of a Poisson
// count for chance, three where the budget is small.
func (s *server) budget(began float64) float64 {
	contract := &s.m.cfg.Settings.Contract
	mean := contract.OverloadMultiple * s.ramp(began) * s.speed * float64(s.m.cfg.Cores) * contract.OverloadWindowMs / s.m.cfg.WorkMs
	if mean < smallBudgetRequests-1e-9 { // 30 as a product of fractions may come out below it
		return mean + 3*math.Sqrt(mean) + 3
	}
	return mean + 2*math.Sqrt(mean) + 2
}

// countWarmup counts an attempt that reached a server which warms up; one over its budget makes it
// fail for good. The capacity at the beginning of the window counts, as it is the least.
func (s *server) countWarmup(request *request, notified bool) {
	model, load := s.m, &s.warmup
	if s.startedAt == 0 || s.ramp(model.now) == 1 {
		return
	}
	window := model.cfg.Settings.Contract.OverloadWindowMs
	load.add(arrival{model.now, model.classWorkFactor(request), model.classWorkFactor(request) * request.workFactor, notified})
	for load.arrivals[load.first].at <= model.now-window {
		load.dropFirst()
	}
	budget := s.budget(max(model.now-window, s.startedAt))
	load.maxActualShare = max(load.maxActualShare, load.actual/budget)
	fraction := load.work / budget
	load.maxShare = max(load.maxShare, fraction)
	if fraction > 1 {
		load.failed, load.failedByNotified = true, load.notified > notifiedShare*load.work
		s.stop()
		s.down = true
	}
}

// stop ends the server's process with all that is pending. Agents see its connections close, but
// for those of a machine that went silent.
func (s *server) stop() {
	s.process++
	for _, attempt := range s.queue {
		if attempt.queued {
			attempt.queued = false
			if !s.silent {
				s.m.schedule(s.m.now+s.m.hop(s.zone, attempt.request.agent.client.zone), (*attemptReset)(attempt))
			}
		}
	}
	if !s.silent {
		for _, client := range s.service.clients {
			delete(client.agent.conns, s)
		}
	}
	s.addPending(-s.pending)
	s.queue, s.busy, s.overloadedSince, s.slowed = nil, 0, 0, false
}

// failSilently is the failure of a server's machine: nothing more comes from it.
func (s *server) failSilently() {
	s.silent = true
	s.stop()
}

// start starts a new process, which warms up.
func (s *server) start() {
	s.silent, s.down, s.startedAt = false, false, s.m.now
	s.warmup = warmupLoad{maxShare: s.warmup.maxShare, maxActualShare: s.warmup.maxActualShare}
	for _, client := range s.service.clients {
		delete(client.agent.knownStarts, s)
	}
}

// addPending changes the number of pending requests, here and in the fleet's sum.
func (s *server) addPending(n int) {
	s.pending += n
	s.m.pending += n
}

// abandon takes an attempt that its agent no longer waits for out of the queue. One that is being
// served is served to its end.
func (s *server) abandon(attempt *attempt) {
	if attempt.queued && !s.m.cfg.ServesAbandoned {
		attempt.queued = false
		s.addPending(-1)
	}
}

// serve starts the next attempts in the queue on free cores.
func (s *server) serve() {
	model := s.m
	if s.pending < maxPendingPerCore*model.cfg.Cores {
		s.overloadedSince = 0
	} else if s.overloadedSince == 0 {
		s.overloadedSince = model.now
	}
	if s.overloadedSince > 0 && model.now-s.overloadedSince > overloadMs {
		s.slowed = true
	}
	for s.busy < model.cfg.Cores && !s.down {
		for len(s.queue) > 0 && !s.queue[0].queued {
			s.queue = s.queue[1:]
		}
		if len(s.queue) == 0 {
			if s.busy == 0 {
				s.slowed = false
			}
			return
		}
		attempt := s.queue[0]
		s.queue = s.queue[1:]
		attempt.queued, attempt.serverProcess = false, s.process
		s.busy++
		model.schedule(model.now+model.serviceTime(attempt.request)/s.capacity(model.now), (*attemptServed)(attempt))
	}
}

// fire frees the core and sends the answer, or a reset where the process has ended meanwhile.
func (f *attemptServed) fire(model *Model) {
	attempt := (*attempt)(f)
	server, zone := attempt.server, attempt.request.agent.client.zone
	if attempt.serverProcess != server.process { // that process has ended
		if !server.silent {
			attempt.end(policy.StatusReset)
		}
		return
	}
	server.busy--
	server.addPending(-1)
	if model.linked(server.zone, zone) {
		model.schedule(model.now+model.hop(server.zone, zone), (*attemptAnswered)(attempt))
	}
	server.serve()
}
