package model

import (
	"math"

	"ploverreel/policy"
)

const (
	// crowd is how many requests a server may hold for each core; one that holds as many for
	// crowdMs works crowdSlow times slower until it has been empty.
	crowd, crowdMs, crowdSlow = 7, 2000.0, 3.0
	// knownShare is the part of a fallen server's load from agents that were told of its
	// start, from which on its fall is theirs.
	knownShare = 2.0 / 3
	// fewCalls is under how many requests a cold server's budget leaves more to chance.
	fewCalls = 30.0
)

// server serves as many at once as it has cores, in turn.
type server struct {
	m       *Model
	service *service
	addr    policy.Addr
	zone    int
	speed   float64
	bornAt  float64       // cold from here on, as the contract says; 0: warm
	down    bool          // refuses connections
	dark    bool          // is silent: what is sent to it is lost
	listed  policy.Health // what discovery says of it, if it is not down
	process int           // counts its processes
	queue   []*try        // waiting; those that are over are passed over
	held    int           // served and waiting
	most    int           // that it ever held
	busy    int           // cores
	crowded float64       // since when it holds too much; 0: it does not
	choked  bool
	got     []float64 // times at which attempts came, if they are kept
	cold    coldLoad
	seen    view // what agents see that see it late
}

// coldLoad is what came to a cold server in the last window of the contract.
type coldLoad struct {
	came  []arrival
	first int
	work  float64 // of all of them, in requests of mean work
	very  float64 // the same by their very work
	known float64 // of it, from agents that were told of the start
	most  float64 // the most of its budget that it ever got
	worst float64 // the same by very work, which nobody knows beforehand: it brings none down
	fell  bool
	ours  bool // it fell by agents that were told
}

type arrival struct {
	at    float64
	work  float64 // mean work of its class, in requests of mean work
	very  float64 // its very work, in the same
	known bool
}

func (l *coldLoad) add(a arrival) {
	l.came = append(l.came, a)
	l.work += a.work
	l.very += a.very
	if a.known {
		l.known += a.work
	}
}

func (l *coldLoad) dropFirst() {
	a := l.came[l.first]
	l.first++
	l.work -= a.work
	l.very -= a.very
	if a.known {
		l.known -= a.work
	}
}

// entry is what discovery says of the server.
func (s *server) entry() policy.Entry {
	e := policy.Entry{Server: s.addr, Zone: s.zone, Cell: s.zone, Health: s.listed, Weight: 1, StartedMs: s.bornAt}
	if s.down {
		e.Health = policy.HealthGone
	}
	return e
}

// ramp is the part of its full speed that a server has warmed up to.
func (s *server) ramp(now float64) float64 {
	c := &s.m.cfg.Settings.Contract
	if age := now - s.bornAt; s.bornAt > 0 && age < c.SlowStartMs {
		return c.SlowStartFrom + (1-c.SlowStartFrom)*max(age, 0)/c.SlowStartMs
	}
	return 1
}

// capacity is the part of its full speed at which a server works now.
func (s *server) capacity(now float64) float64 {
	c := s.speed * s.ramp(now)
	if s.choked {
		c /= crowdSlow
	}
	return c
}

func (r *reached) happen(m *Model) {
	t := (*try)(r)
	s, a := t.server, t.req.agent
	process, connected := a.conns[s]
	if s.dark || !m.linked(a.client.zone, s.zone) {
		if !connected {
			m.at(t.sentAt+m.cfg.Settings.Limits.ConnectTimeoutMs, (*unconnected)(t))
		}
		return // on a connection nothing tells it from a slow answer
	}
	if m.cfg.KeepArrivals {
		s.got = append(s.got, m.now)
	}
	if s.down {
		t.end(policy.StatusConnectFailed)
		return
	}
	stale := connected && process != s.process // the machine knows the connection no more
	if !stale {
		s.weigh(t.req, a.knows[s])
	}
	if stale || s.down {
		m.at(m.now+m.hop(a.client.zone, s.zone), (*wasReset)(t))
		return
	}
	if !t.over {
		t.waiting = true
		s.queue = append(s.queue, t)
		s.hold(1)
		s.most = max(s.most, s.held)
	}
	sec := m.second()
	sec.Held = max(sec.Held, m.held)
	s.serve()
}

// budget is how many requests of mean work a cold server bears in a window that began at a
// time, with what is put down to chance.
func (s *server) budget(began float64) float64 {
	c := &s.m.cfg.Settings.Contract
	n := c.OverloadMultiple * s.ramp(began) * s.speed * float64(s.m.cfg.Cores) * c.OverloadWindowMs / s.m.cfg.WorkMs
	if n < fewCalls-1e-9 { // 30 as a product of fractions may come out below it
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// weigh counts an attempt that came to a cold server; one over its budget brings it down for
// good. The window's first capacity counts, as it is the least.
func (s *server) weigh(r *request, known bool) {
	m, l := s.m, &s.cold
	if s.bornAt == 0 || s.ramp(m.now) == 1 {
		return
	}
	window := m.cfg.Settings.Contract.OverloadWindowMs
	l.add(arrival{m.now, m.classWork(r), m.classWork(r) * r.work, known})
	for l.came[l.first].at <= m.now-window {
		l.dropFirst()
	}
	budget := s.budget(max(m.now-window, s.bornAt))
	l.worst = max(l.worst, l.very/budget)
	part := l.work / budget
	l.most = max(l.most, part)
	if part > 1 {
		l.fell, l.ours = true, l.known > knownShare*l.work
		s.end()
		s.down = true
	}
}

// end ends the server's process with all that it holds. Agents see its connections close,
// but for those of a machine that went silent.
func (s *server) end() {
	s.process++
	for _, t := range s.queue {
		if t.waiting {
			t.waiting = false
			if !s.dark {
				s.m.at(s.m.now+s.m.hop(s.zone, t.req.agent.client.zone), (*wasReset)(t))
			}
		}
	}
	if !s.dark {
		for _, c := range s.service.clients {
			delete(c.agent.conns, s)
		}
	}
	s.hold(-s.held)
	s.queue, s.busy, s.crowded, s.choked = nil, 0, 0, false
}

// vanish is the end of a server's machine: nothing more comes from it.
func (s *server) vanish() {
	s.dark = true
	s.end()
}

// begin starts a new process, which is cold.
func (s *server) begin() {
	s.dark, s.down, s.bornAt = false, false, s.m.now
	s.cold = coldLoad{most: s.cold.most, worst: s.cold.worst}
	for _, c := range s.service.clients {
		delete(c.agent.knows, s)
	}
}

func (s *server) hold(n int) {
	s.held += n
	s.m.held += n
}

// leave takes an attempt that is no longer waited for out of the queue. One that is being
// served is served to its end.
func (s *server) leave(t *try) {
	if t.waiting && !s.m.cfg.RunsOn {
		t.waiting = false
		s.hold(-1)
	}
}

// serve takes the next in turn.
func (s *server) serve() {
	m := s.m
	if s.held < crowd*m.cfg.Cores {
		s.crowded = 0
	} else if s.crowded == 0 {
		s.crowded = m.now
	}
	if s.crowded > 0 && m.now-s.crowded > crowdMs {
		s.choked = true
	}
	for s.busy < m.cfg.Cores && !s.down {
		for len(s.queue) > 0 && !s.queue[0].waiting {
			s.queue = s.queue[1:]
		}
		if len(s.queue) == 0 {
			if s.busy == 0 {
				s.choked = false
			}
			return
		}
		t := s.queue[0]
		s.queue = s.queue[1:]
		t.waiting, t.process = false, s.process
		s.busy++
		m.at(m.now+m.serviceTime(t.req)/s.capacity(m.now), (*finished)(t))
	}
}

func (f *finished) happen(m *Model) {
	t := (*try)(f)
	s, zone := t.server, t.req.agent.client.zone
	if t.process != s.process { // its process has ended
		if !s.dark {
			t.end(policy.StatusReset)
		}
		return
	}
	s.busy--
	s.hold(-1)
	if m.linked(s.zone, zone) {
		m.at(m.now+m.hop(s.zone, zone), (*answered)(t))
	}
	s.serve()
}
