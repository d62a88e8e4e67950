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
	// notifiedShare bounds the share of a warming server's load that comes from agents notified of
	// its start. If the server fails with a larger share, the failure is attributed to these
	// agents.
	notifiedShare = 2.0 / 3
	// smallBudgetRequests bounds the mean budget of a warming server, in requests of mean work. A
	// smaller budget has a larger allowance for the variance of the arrivals.
	smallBudgetRequests = 30.0
	// budgetSlack is the allowance for the variance of the arrivals in a warming server's budget.
	// It multiplies the standard deviation of a Poisson count, and as many requests are added.
	// smallBudgetSlack takes its place in a small budget.
	budgetSlack, smallBudgetSlack = 2, 3
)

// server serves one request per core at a time, in the order of arrival. A server in slow start is
// called warming, and any other is called warm.
type server struct {
	m               *Model
	service         *service
	addr            policy.Addr
	zone            int
	warmSpeed       float64       // speed of a warm core; 1 is full speed
	startedAt       float64       // time in ms of the last start, when slow start began; 0: warm since the beginning
	down            bool          // it refuses connections
	silent          bool          // its machine has failed: all messages to it are lost
	listed          policy.Health // health in the endpoint list, unless it is down
	process         int           // number of the current process
	queue           []*attempt    // waiting attempts; entries with queued unset are skipped
	pending         int           // requests in service and waiting
	maxPending      int           // maximum of pending
	busy            int           // cores in use
	overloadedSince float64       // in ms; 0: it is not overloaded
	slowed          bool          // overload has reduced its speed
	arrivalTimes    []float64     // in ms, if Variant.RecordArrivals is set
	warmup          warmupLoad
	view            serverView // state that the delayed-view baseline sees
}

// warmupLoad is the load of a warming server in a sliding window of the contract's OverloadWindowMs,
// with the maxima since the server's first start.
type warmupLoad struct {
	arrivals     []arrival
	first        int     // index of the first arrival in the window
	work         float64 // sum over the window of the mean work of the arrivals' classes, in requests of mean work
	actualWork   float64 // sum over the window of the arrivals' actual work, in the same unit
	notifiedWork float64 // the part of work from agents that were notified of the start
	maxShare     float64 // maximum of work as a share of the budget
	// maxActualShare is the maximum of actualWork as a share of the budget. No server fails by it, as
	// no agent can know the actual work beforehand.
	maxActualShare   float64
	failed           bool // work exceeded the budget
	failedByNotified bool // the failure is attributed to notified agents, see notifiedShare
}

// arrival is an attempt that reached a warming server.
type arrival struct {
	at       float64 // in ms
	work     float64 // mean work of its class, in requests of mean work
	actual   float64 // its actual work, in the same unit
	notified bool    // its agent was notified of the start
}

// add adds an arrival to the window.
func (l *warmupLoad) add(added arrival) {
	l.arrivals = append(l.arrivals, added)
	l.work += added.work
	l.actualWork += added.actual
	if added.notified {
		l.notifiedWork += added.work
	}
}

// dropFirst removes the oldest arrival from the window.
func (l *warmupLoad) dropFirst() {
	first := l.arrivals[l.first]
	l.first++
	l.work -= first.work
	l.actualWork -= first.actual
	if first.notified {
		l.notifiedWork -= first.work
	}
}

// entry returns the server's entry in the endpoint list.
func (s *server) entry() policy.Entry {
	entry := policy.Entry{Server: s.addr, Zone: s.zone, Cell: s.zone, Health: s.listed, Weight: 1, StartedMs: s.startedAt}
	if s.down {
		entry.Health = policy.HealthGone
	}
	return entry
}

// slowStartFactor returns the fraction of its full speed that a server has reached in slow start.
// The fraction rises linearly from InitialCapacity to 1 within SlowStartMs.
func (s *server) slowStartFactor(now float64) float64 {
	contract := &s.m.cfg.Settings.Contract
	if age := now - s.startedAt; s.startedAt > 0 && age < contract.SlowStartMs {
		return contract.InitialCapacity + (1-contract.InitialCapacity)*max(age, 0)/contract.SlowStartMs
	}
	return 1
}

// coreSpeed returns a core's current speed, as a multiple of full speed, in slow start and overload.
func (s *server) coreSpeed(now float64) float64 {
	speed := s.warmSpeed * s.slowStartFactor(now)
	if s.slowed {
		speed /= overloadSlowdown
	}
	return speed
}

// fire queues an attempt that has arrived at its server. The attempt fails instead if the server is
// down, if its connection is stale or if it exceeds a warming server's budget. If the machine is
// silent or the network is partitioned, a connect times out, and on an open connection nothing
// happens.
func (r *attemptArrived) fire(model *Model) {
	attempt := (*attempt)(r)
	server, agent := attempt.server, attempt.request.agent
	process, connected := agent.connections[server]
	if server.silent || !model.reachable(agent.client.zone, server.zone) {
		if !connected {
			model.schedule(attempt.sentAt+model.cfg.Settings.Limits.ConnectTimeoutMs, (*connectFailed)(attempt))
		}
		return // on an open connection the agent can't distinguish a lost message from a slow answer
	}
	if model.cfg.RecordArrivals {
		server.arrivalTimes = append(server.arrivalTimes, model.now)
	}
	if server.down {
		attempt.end(policy.StatusConnectFailed)
		return
	}
	stale := connected && process != server.process // the connection belongs to a process that has ended
	if !stale {
		server.countSlowStart(attempt.request, agent.knownStarts[server])
	}
	if stale || server.down {
		model.schedule(model.now+model.networkDelay(agent.client.zone, server.zone), (*attemptReset)(attempt))
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

// budget returns the number of requests of mean work that a warming server tolerates in a
// window. It is OverloadMultiple times the number that the server can serve in the window at its
// speed at began, the window's start. Two standard deviations of a Poisson count and two requests are
// added for random variation. A mean below smallBudgetRequests gets three of each.
func (s *server) budget(began float64) float64 {
	contract := &s.m.cfg.Settings.Contract
	mean := contract.OverloadMultiple * s.slowStartFactor(began) * s.warmSpeed * float64(s.m.cfg.Cores) * contract.OverloadWindowMs / s.m.cfg.WorkMs
	if mean < smallBudgetRequests-1e-9 { // a product of 30 may be slightly below it due to rounding
		return mean + smallBudgetSlack*math.Sqrt(mean) + smallBudgetSlack
	}
	return mean + budgetSlack*math.Sqrt(mean) + budgetSlack
}

// countSlowStart counts an attempt that reached the server, if it is warming up. If the load in the
// window exceeds the budget, the server fails permanently. The budget uses the capacity at the
// start of the window, which is the lowest in the window.
func (s *server) countSlowStart(request *request, notified bool) {
	model, load := s.m, &s.warmup
	if s.startedAt == 0 || s.slowStartFactor(model.now) == 1 {
		return
	}
	window := model.cfg.Settings.Contract.OverloadWindowMs
	load.add(arrival{model.now, model.classWorkFactor(request), model.classWorkFactor(request) * request.workFactor, notified})
	for load.arrivals[load.first].at <= model.now-window {
		load.dropFirst()
	}
	budget := s.budget(max(model.now-window, s.startedAt))
	load.maxActualShare = max(load.maxActualShare, load.actualWork/budget)
	share := load.work / budget
	load.maxShare = max(load.maxShare, share)
	if share > 1 {
		load.failed, load.failedByNotified = true, load.notifiedWork > notifiedShare*load.work
		s.stop()
		s.down = true
	}
}

// stop ends the server's process with all its pending requests. Agents see its connections close,
// unless its machine has failed silently.
func (s *server) stop() {
	s.process++
	for _, attempt := range s.queue {
		if attempt.queued {
			attempt.queued = false
			if !s.silent {
				s.m.schedule(s.m.now+s.m.networkDelay(s.zone, attempt.request.agent.client.zone), (*attemptReset)(attempt))
			}
		}
	}
	if !s.silent {
		for _, client := range s.service.clients {
			delete(client.agent.connections, s)
		}
	}
	s.addPending(-s.pending)
	s.queue, s.busy, s.overloadedSince, s.slowed = nil, 0, 0, false
}

// failSilently makes the server's machine fail: it sends nothing from now on.
func (s *server) failSilently() {
	s.silent = true
	s.stop()
}

// start starts a new process in slow start. No agent knows of the start yet.
func (s *server) start() {
	s.silent, s.down, s.startedAt = false, false, s.m.now
	s.warmup = warmupLoad{maxShare: s.warmup.maxShare, maxActualShare: s.warmup.maxActualShare}
	for _, client := range s.service.clients {
		delete(client.agent.knownStarts, s)
	}
}

// addPending adds n, which may be negative, to the pending requests of the server and of the fleet.
func (s *server) addPending(n int) {
	s.pending += n
	s.m.pending += n
}

// removeAbandoned removes an attempt from the queue when its agent no longer waits for it, unless
// Variant.ServesAbandoned is set. An attempt that is already in service is served to its end.
func (s *server) removeAbandoned(attempt *attempt) {
	if attempt.queued && !s.m.cfg.ServesAbandoned {
		attempt.queued = false
		s.addPending(-1)
	}
}

// serve updates the overload state and starts queued attempts on free cores.
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
		model.schedule(model.now+model.serviceTime(attempt.request)/s.coreSpeed(model.now), (*attemptServed)(attempt))
	}
}

// fire frees the core and sends the answer. If the process has ended meanwhile, the attempt ends
// with a reset instead, or gets no response from a silent machine.
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
	if model.reachable(server.zone, zone) {
		model.schedule(model.now+model.networkDelay(server.zone, zone), (*attemptAnswered)(attempt))
	}
	server.serve()
}
