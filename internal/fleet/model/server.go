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

func (l *warmupLoad) add(a arrival) {
	l.arrivals = append(l.arrivals, a)
	l.work += a.work
	l.actual += a.actual
	if a.notified {
		l.notified += a.work
	}
}

func (l *warmupLoad) dropFirst() {
	a := l.arrivals[l.first]
	l.first++
	l.work -= a.work
	l.actual -= a.actual
	if a.notified {
		l.notified -= a.work
	}
}

// entry is what discovery says of the server.
func (s *server) entry() policy.Entry {
	e := policy.Entry{Server: s.addr, Zone: s.zone, Cell: s.zone, Health: s.listed, Weight: 1, StartedMs: s.startedAt}
	if s.down {
		e.Health = policy.HealthGone
	}
	return e
}

// ramp is the part of its full speed that a server has warmed up to.
func (s *server) ramp(now float64) float64 {
	c := &s.m.cfg.Settings.Contract
	if age := now - s.startedAt; s.startedAt > 0 && age < c.SlowStartMs {
		return c.SlowStartFrom + (1-c.SlowStartFrom)*max(age, 0)/c.SlowStartMs
	}
	return 1
}

// capacity is the part of its full speed at which a server works now.
func (s *server) capacity(now float64) float64 {
	c := s.speed * s.ramp(now)
	if s.slowed {
		c /= overloadSlowdown
	}
	return c
}

func (r *attemptArrived) fire(m *Model) {
	t := (*attempt)(r)
	s, a := t.server, t.request.agent
	process, connected := a.conns[s]
	if s.silent || !m.linked(a.client.zone, s.zone) {
		if !connected {
			m.schedule(t.sentAt+m.cfg.Settings.Limits.ConnectTimeoutMs, (*connectFailed)(t))
		}
		return // on a connection nothing tells it from a slow answer
	}
	if m.cfg.KeepArrivals {
		s.arrivalTimes = append(s.arrivalTimes, m.now)
	}
	if s.down {
		t.end(policy.StatusConnectFailed)
		return
	}
	stale := connected && process != s.process // the machine knows the connection no more
	if !stale {
		s.countWarmup(t.request, a.knownStarts[s])
	}
	if stale || s.down {
		m.schedule(m.now+m.hop(a.client.zone, s.zone), (*attemptReset)(t))
		return
	}
	if !t.ended {
		t.queued = true
		s.queue = append(s.queue, t)
		s.addPending(1)
		s.maxPending = max(s.maxPending, s.pending)
	}
	sec := m.second()
	sec.MaxPending = max(sec.MaxPending, m.pending)
	s.serve()
}

// budget is how many requests of mean work a cold server bears in a window that began at a
// time, with what is put down to chance.
func (s *server) budget(began float64) float64 {
	c := &s.m.cfg.Settings.Contract
	n := c.OverloadMultiple * s.ramp(began) * s.speed * float64(s.m.cfg.Cores) * c.OverloadWindowMs / s.m.cfg.WorkMs
	if n < smallBudget-1e-9 { // 30 as a product of fractions may come out below it
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// weigh counts an attempt that came to a cold server; one over its budget brings it down for
// good. The window's first capacity counts, as it is the least.
func (s *server) countWarmup(r *request, known bool) {
	m, l := s.m, &s.warmup
	if s.startedAt == 0 || s.ramp(m.now) == 1 {
		return
	}
	window := m.cfg.Settings.Contract.OverloadWindowMs
	l.add(arrival{m.now, m.classWorkFactor(r), m.classWorkFactor(r) * r.workFactor, known})
	for l.arrivals[l.first].at <= m.now-window {
		l.dropFirst()
	}
	budget := s.budget(max(m.now-window, s.startedAt))
	l.maxActualShare = max(l.maxActualShare, l.actual/budget)
	part := l.work / budget
	l.maxShare = max(l.maxShare, part)
	if part > 1 {
		l.failed, l.failedByNotified = true, l.notified > notifiedShare*l.work
		s.stop()
		s.down = true
	}
}

// end ends the server's process with all that it holds. Agents see its connections close,
// but for those of a machine that went silent.
func (s *server) stop() {
	s.process++
	for _, t := range s.queue {
		if t.queued {
			t.queued = false
			if !s.silent {
				s.m.schedule(s.m.now+s.m.hop(s.zone, t.request.agent.client.zone), (*attemptReset)(t))
			}
		}
	}
	if !s.silent {
		for _, c := range s.service.clients {
			delete(c.agent.conns, s)
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
	for _, c := range s.service.clients {
		delete(c.agent.knownStarts, s)
	}
}

func (s *server) addPending(n int) {
	s.pending += n
	s.m.pending += n
}

// leave takes an attempt that is no longer waited for out of the queue. One that is being
// served is served to its end.
func (s *server) abandon(t *attempt) {
	if t.queued && !s.m.cfg.ServesAbandoned {
		t.queued = false
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
		t := s.queue[0]
		s.queue = s.queue[1:]
		t.queued, t.serverProcess = false, s.process
		s.busy++
		m.schedule(m.now+m.serviceTime(t.request)/s.capacity(m.now), (*attemptServed)(t))
	}
}

func (f *attemptServed) fire(m *Model) {
	t := (*attempt)(f)
	s, zone := t.server, t.request.agent.client.zone
	if t.serverProcess != s.process { // its process has ended
		if !s.silent {
			t.end(policy.StatusReset)
		}
		return
	}
	s.busy--
	s.addPending(-1)
	if m.linked(s.zone, zone) {
		m.schedule(m.now+m.hop(s.zone, zone), (*attemptAnswered)(t))
	}
	s.serve()
}
