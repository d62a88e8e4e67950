package model

import (
	"math"

	"ploverreel/policy"
)

const (
	// crowd is how many requests a server may hold for each core; one that holds as many for
	// crowdMs works crowdSlow times slower until it has been empty.
	maxPendingPerCore, overloadMs, overloadSlowdown = 7, 2000.0, 3.0
	// knownShare is the part of a fallen server's load from agents that were told of its
	// start, from which on its fall is theirs.
	notifiedShare = 2.0 / 3
	// fewCalls is under how many requests a cold server's budget leaves more to chance.
	smallBudget = 30.0
)

// server serves as many at once as it has cores, in turn.
type server struct {
	m               *Model
	service         *service
	addr            policy.Addr
	zone            int
	speed           float64
	startedAt       float64       // cold from here on, as the contract says; 0: warm
	down            bool          // refuses connections
	silent          bool          // is silent: what is sent to it is lost
	listed          policy.Health // what discovery says of it, if it is not down
	process         int           // counts its processes
	queue           []*attempt    // waiting; those that are over are passed over
	pending         int           // served and waiting
	maxPending      int           // that it ever held
	busy            int           // cores
	overloadedSince float64       // since when it holds too much; 0: it does not
	slowed          bool
	arrivalTimes    []float64 // times at which attempts came, if they are kept
	warmup          warmupLoad
	view            serverView // what agents see that see it late
}

// coldLoad is what came to a cold server in the last window of the contract.
type warmupLoad struct {
	arrivals         []arrival
	first            int
	work             float64 // of all of them, in requests of mean work
	actual           float64 // the same by their very work
	notified         float64 // of it, from agents that were told of the start
	maxShare         float64 // the most of its budget that it ever got
	maxActualShare   float64 // the same by very work, which nobody knows beforehand: it brings none down
	failed           bool
	failedByNotified bool // it fell by agents that were told
}

type arrival struct {
	at       float64
	work     float64 // mean work of its class, in requests of mean work
	actual   float64 // its very work, in the same
	notified bool
}

func (l *warmupLoad) add(came arrival) {
	l.arrivals = append(l.arrivals, came)
	l.work += came.work
	l.actual += came.actual
	if came.notified {
		l.notified += came.work
	}
}

func (l *warmupLoad) dropFirst() {
	first := l.arrivals[l.first]
	l.first++
	l.work -= first.work
	l.actual -= first.actual
	if first.notified {
		l.notified -= first.work
	}
}

// entry is what discovery says of the server.
func (s *server) entry() policy.Entry {
	entry := policy.Entry{Server: s.addr, Zone: s.zone, Cell: s.zone, Health: s.listed, Weight: 1, StartedMs: s.startedAt}
	if s.down {
		entry.Health = policy.HealthGone
	}
	return entry
}

// ramp is the part of its full speed that a server has warmed up to.
func (s *server) ramp(now float64) float64 {
	contract := &s.m.cfg.Settings.Contract
	if age := now - s.startedAt; s.startedAt > 0 && age < contract.SlowStartMs {
		return contract.SlowStartFrom + (1-contract.SlowStartFrom)*max(age, 0)/contract.SlowStartMs
	}
	return 1
}

// capacity is the part of its full speed at which a server works now.
func (s *server) capacity(now float64) float64 {
	speed := s.speed * s.ramp(now)
	if s.slowed {
		speed /= overloadSlowdown
	}
	return speed
}

func (r *attemptArrived) fire(m *Model) {
	attempt := (*attempt)(r)
	server, agent := attempt.server, attempt.request.agent
	process, connected := agent.conns[server]
	if server.silent || !m.linked(agent.client.zone, server.zone) {
		if !connected {
			m.schedule(attempt.sentAt+m.cfg.Settings.Limits.ConnectTimeoutMs, (*connectFailed)(attempt))
		}
		return // on a connection nothing tells it from a slow answer
	}
	if m.cfg.KeepArrivals {
		server.arrivalTimes = append(server.arrivalTimes, m.now)
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
		m.schedule(m.now+m.hop(agent.client.zone, server.zone), (*attemptReset)(attempt))
		return
	}
	if !attempt.ended {
		attempt.queued = true
		server.queue = append(server.queue, attempt)
		server.addPending(1)
		server.maxPending = max(server.maxPending, server.pending)
	}
	count := m.second()
	count.MaxPending = max(count.MaxPending, m.pending)
	server.serve()
}

// budget is how many requests of mean work a cold server bears in a window that began at a
// time, with what is put down to chance.
func (s *server) budget(began float64) float64 {
	contract := &s.m.cfg.Settings.Contract
	mean := contract.OverloadMultiple * s.ramp(began) * s.speed * float64(s.m.cfg.Cores) * contract.OverloadWindowMs / s.m.cfg.WorkMs
	if mean < smallBudget-1e-9 { // 30 as a product of fractions may come out below it
		return mean + 3*math.Sqrt(mean) + 3
	}
	return mean + 2*math.Sqrt(mean) + 2
}

// weigh counts an attempt that came to a cold server; one over its budget brings it down for
// good. The window's first capacity counts, as it is the least.
func (s *server) countWarmup(request *request, notified bool) {
	m, load := s.m, &s.warmup
	if s.startedAt == 0 || s.ramp(m.now) == 1 {
		return
	}
	window := m.cfg.Settings.Contract.OverloadWindowMs
	load.add(arrival{m.now, m.classWorkFactor(request), m.classWorkFactor(request) * request.workFactor, notified})
	for load.arrivals[load.first].at <= m.now-window {
		load.dropFirst()
	}
	budget := s.budget(max(m.now-window, s.startedAt))
	load.maxActualShare = max(load.maxActualShare, load.actual/budget)
	fraction := load.work / budget
	load.maxShare = max(load.maxShare, fraction)
	if fraction > 1 {
		load.failed, load.failedByNotified = true, load.notified > notifiedShare*load.work
		s.stop()
		s.down = true
	}
}

// end ends the server's process with all that it holds. Agents see its connections close,
// but for those of a machine that went silent.
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

// vanish is the end of a server's machine: nothing more comes from it.
func (s *server) vanish() {
	s.silent = true
	s.stop()
}

// begin starts a new process, which is cold.
func (s *server) start() {
	s.silent, s.down, s.startedAt = false, false, s.m.now
	s.warmup = warmupLoad{maxShare: s.warmup.maxShare, maxActualShare: s.warmup.maxActualShare}
	for _, client := range s.service.clients {
		delete(client.agent.knownStarts, s)
	}
}

func (s *server) addPending(n int) {
	s.pending += n
	s.m.pending += n
}

// leave takes an attempt that is no longer waited for out of the queue. One that is being
// served is served to its end.
func (s *server) abandon(attempt *attempt) {
	if attempt.queued && !s.m.cfg.ServesAbandoned {
		attempt.queued = false
		s.addPending(-1)
	}
}

// serve takes the next in turn.
func (s *server) serve() {
	m := s.m
	if s.pending < maxPendingPerCore*m.cfg.Cores {
		s.overloadedSince = 0
	} else if s.overloadedSince == 0 {
		s.overloadedSince = m.now
	}
	if s.overloadedSince > 0 && m.now-s.overloadedSince > overloadMs {
		s.slowed = true
	}
	for s.busy < m.cfg.Cores && !s.down {
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
		m.schedule(m.now+m.serviceTime(attempt.request)/s.capacity(m.now), (*attemptServed)(attempt))
	}
}

func (f *attemptServed) fire(m *Model) {
	attempt := (*attempt)(f)
	server, zone := attempt.server, attempt.request.agent.client.zone
	if attempt.serverProcess != server.process { // its process has ended
		if !server.silent {
			attempt.end(policy.StatusReset)
		}
		return
	}
	server.busy--
	server.addPending(-1)
	if m.linked(server.zone, zone) {
		m.schedule(m.now+m.hop(server.zone, zone), (*attemptAnswered)(attempt))
	}
	server.serve()
}
