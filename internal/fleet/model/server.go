package model

import "molepaddle/policy"

const (
	// crowd is how many requests a server may hold; one that holds as many for crowdMs
	// works crowdSlow times slower until it has been empty.
	crowd, crowdMs, crowdSlow = 7, 2000.0, 3.0
)

// server has one core and serves in turn.
type server struct {
	m       *Model
	addr    policy.Addr
	zone    int
	speed   float64
	bornAt  float64 // cold from here on, as the contract says; 0: warm
	down    bool
	queue   []*try // waiting; those that are over are passed over
	held    int    // served and waiting
	busy    bool
	crowded float64 // since when it holds too much; 0: it does not
	choked  bool
	got     []float64 // times at which attempts came, if they are kept
}

// entry is what discovery says of the server.
func (s *server) entry() policy.Entry {
	e := policy.Entry{Server: s.addr, Zone: s.zone, Cell: s.zone, Health: policy.Ready, Weight: 1, SinceMs: s.bornAt}
	if s.down {
		e.Health = policy.Gone
	}
	return e
}

// ramp is the part of its full speed that a server has warmed up to.
func (s *server) ramp(now float64) float64 {
	c := &s.m.cfg.Settings.Contract
	if age := now - s.bornAt; s.bornAt > 0 && age < c.ColdMs {
		return c.ColdFrom + (1-c.ColdFrom)*age/c.ColdMs
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
	s := t.server
	if m.cfg.KeepArrivals {
		s.got = append(s.got, m.now)
	}
	if s.down {
		t.end(policy.ConnectFailed)
		return
	}
	if !t.over {
		t.waiting = true
		s.queue = append(s.queue, t)
		s.hold(1)
	}
	sec := m.second()
	sec.Held = max(sec.Held, m.held)
	s.serve()
}

func (s *server) hold(n int) {
	s.held += n
	s.m.held += n
}

// leave takes an attempt that is no longer waited for out of the queue. One that is being
// served is served to its end.
func (s *server) leave(t *try) {
	if t.waiting {
		t.waiting = false
		s.hold(-1)
	}
}

// serve takes the next in turn.
func (s *server) serve() {
	m := s.m
	if s.held < crowd {
		s.crowded = 0
	} else if s.crowded == 0 {
		s.crowded = m.now
	}
	if s.crowded > 0 && m.now-s.crowded > crowdMs {
		s.choked = true
	}
	if s.busy || s.down {
		return
	}
	for len(s.queue) > 0 && !s.queue[0].waiting {
		s.queue = s.queue[1:]
	}
	if len(s.queue) == 0 {
		s.choked = false
		return
	}
	t := s.queue[0]
	s.queue = s.queue[1:]
	t.waiting, s.busy = false, true
	m.at(m.now+m.rng.ExpFloat64()*m.cfg.WorkMs/s.capacity(m.now), (*finished)(t))
}

func (f *finished) happen(m *Model) {
	t := (*try)(f)
	s := t.server
	s.busy = false
	s.hold(-1)
	m.at(m.now+m.cfg.HopMs, (*answered)(t))
	s.serve()
}
