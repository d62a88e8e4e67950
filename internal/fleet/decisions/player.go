package decisions

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"ploverreel/policy"
)

const (
	startMs   = 1e6 // virtual time at which a play begins
	answerMs  = 5.0 // until an answer
	refusedMs = 1.0 // until the outcome of a health check or of a connect that is refused
	keys      = 1000
)

// player drives one balancer through virtual time: it sends requests, answers attempts and health checks, and fires
// timers. All random draws come from the seed.
type player struct {
	workload
	settings policy.Settings
	balancer *policy.Balancer
	rng      *rand.Rand
	now      float64
	nextMs   float64 // time of the next request of an easy load
	freeMs   float64 // when the next answer can come, where requests are queued
	due      dueEvents
	order    int
	actions  []policy.Action
	entries  []policy.Entry
	named    int // addresses given so far
	refusing map[policy.Addr]bool
	untried  map[policy.Addr]bool // of these
	open     map[policy.RequestID]*request
	last     policy.RequestID
	waiting  int // requests that the balancer queues
	meter    *meter
	counts   requestCounts
}

// request is a request without an answer.
type request struct {
	arrivedAtMs float64
	attempts    int
	queued      bool
}

// requestCounts counts how the requests ended.
type requestCounts struct {
	requests, served, rejected, attempts int
	waits                                []float64 // from a request to its first attempt, in ms
}

// newPlayer starts a balancer and gives it the endpoint list. Servers that refuse connections are listed alone first,
// until all of them have been tried: the balancer knows them before anything is measured.
func newPlayer(l workload) (*player, error) {
	p := &player{workload: l, rng: rand.New(rand.NewPCG(l.seed, uint64(l.servers))), now: startMs, nextMs: startMs,
		settings: l.settings(), meter: &meter{}, refusing: map[policy.Addr]bool{},
		untried: map[policy.Addr]bool{}, open: map[policy.RequestID]*request{}}
	bad := int(l.unhealthy * float64(l.servers))
	for i := range l.servers {
		p.entries = append(p.entries, p.entry())
		if i < bad {
			p.refusing[p.entries[i].Server], p.untried[p.entries[i].Server] = true, true
		}
	}
	for i := range int(l.warming * float64(l.servers)) {
		p.entries[bad+i].StartedMs = startMs - warmingAgeMs
	}
	var err error
	if p.balancer, err = policy.New(p.settings, l.seed); err != nil {
		return nil, fmt.Errorf("decide: %w", err)
	}
	p.perform(p.balancer.Start(p.now, nil))
	if bad > 0 {
		p.list(policy.ListFull, p.entries[:bad], wholeList)
		for i := 0; len(p.untried) > 0 && i < 20*bad; i++ {
			p.request()
			for until := p.now + refusedMs; len(p.due) > 0 && p.due[0].at <= until; {
				p.deliver()
			}
		}
	}
	p.nextMs = p.now
	p.list(policy.ListFull, p.entries, wholeList)
	return p, nil
}

// entry returns the list entry of a server with a new address.
func (p *player) entry() policy.Entry {
	i := p.named
	p.named++
	return policy.Entry{Server: policy.Addr{10, byte(i >> 16), byte(i >> 8), byte(i), 0x1f, 0x90},
		Zone: i % max(p.zones, 1), Cell: i / 8, Health: policy.HealthReady, Weight: 1}
}

// advance plays until n more requests have come.
func (p *player) advance(n int) {
	for end := p.last + policy.RequestID(n); p.last < end; {
		p.step()
	}
}

// step plays the next event.
func (p *player) step() {
	if p.queued > 0 && p.waiting < p.queued {
		p.request()
		return
	}
	if p.queued == 0 && (len(p.due) == 0 || p.nextMs <= p.due[0].at) {
		p.now = p.nextMs
		p.nextMs += p.rng.ExpFloat64() * 1000 / p.perAgent
		p.request()
		return
	}
	p.deliver()
}

// deliver plays the first scheduled event.
func (p *player) deliver() {
	d := p.due.next()
	p.now = d.at
	if ended, ok := d.event.(*policy.AttemptEnded); ok {
		// An outcome crosses its cancellation, and may come after its request was given up.
		if r := p.open[ended.Request]; r != nil && ended.Final {
			p.counts.served++
			delete(p.open, ended.Request)
		} else if r != nil {
			r.queued = true // unless the balancer sends or ends it now
			p.waiting++
		}
	}
	p.handle(d.kind, d.event)
}

// request sends the next request.
func (p *player) request() {
	p.last++
	class, tenant := p.draw(classShares), p.draw(tenantShares)
	p.open[p.last] = &request{arrivedAtMs: p.now, queued: true}
	p.waiting++
	p.counts.requests++
	p.handle(newRequest, &policy.RequestArrived{Request: p.last, Class: class, Tenant: tenant,
		Key: 1 + p.rng.Uint64N(keys), TimeLeftMs: p.settings.Classes[class].DeadlineMs})
}

// draw draws an index by shares that add up to one.
func (p *player) draw(shares []float64) int {
	x := p.rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// list passes an endpoint list to the balancer.
func (p *player) list(kind policy.ListKind, entries []policy.Entry, as eventKind) {
	p.handle(as, &policy.EndpointsUpdated{Kind: kind, Entries: entries})
}

// replace takes the oldest server off the list and adds a new one: two deltas.
func (p *player) replace() {
	old := p.entries[0]
	old.Health = policy.HealthGone
	p.entries = append(slices.Delete(p.entries, 0, 1), p.entry())
	p.list(policy.ListDelta, []policy.Entry{old}, delta)
	p.list(policy.ListDelta, p.entries[len(p.entries)-1:], delta)
}

// handle passes an event to the balancer, measures its cost, and performs the actions.
func (p *player) handle(kind eventKind, event policy.Event) {
	p.perform(p.meter.handle(p.balancer, p.now, kind, event, p.actions[:0]))
}

// perform performs the actions of the balancer.
func (p *player) perform(actions []policy.Action) {
	p.actions = actions
	for i := range actions {
		a := &actions[i]
		r := p.open[a.Request]
		switch a.Kind {
		case policy.ActionSendAttempt:
			p.counts.attempts++
			if r.attempts++; r.attempts == 1 {
				p.counts.waits = append(p.counts.waits, p.now-r.arrivedAtMs)
			}
			r.queued = false
			p.waiting--
			p.answer(a, r.attempts-1)
		case policy.ActionRejectRequest, policy.ActionFailRequest:
			if r == nil {
				continue
			}
			p.counts.rejected++
			if r.queued {
				p.waiting--
			}
			delete(p.open, a.Request)
		case policy.ActionCheckHealth:
			status := policy.StatusOK
			if p.refusing[a.Server] {
				status = policy.StatusConnectFailed
			}
			p.after(refusedMs, outcome, &policy.HealthCheckEnded{Server: a.Server, Status: status,
				LatencyMs: refusedMs})
		case policy.ActionSetTimer:
			p.after(a.DelayMs, timerFired, &policy.TimerFired{Token: a.Token})
		}
	}
}

// answer schedules the outcome of an attempt: at once where its server refuses, after answerMs where servers are idle,
// and as fast as they serve where requests are queued.
func (p *player) answer(a *policy.Action, attempt int) {
	ended := &policy.AttemptEnded{Request: a.Request, Attempt: attempt, Server: a.Server}
	if p.refusing[a.Server] {
		delete(p.untried, a.Server)
		ended.Status, ended.LatencyMs = policy.StatusConnectFailed, refusedMs
		p.after(refusedMs, outcome, ended)
		return
	}
	ended.Status, ended.Final, ended.LatencyMs = policy.StatusOK, true, answerMs
	if p.queued > 0 {
		p.freeMs = max(p.freeMs+1000/p.perAgent, p.now+answerMs)
		ended.LatencyMs = p.freeMs - p.now
	}
	p.after(ended.LatencyMs, outcome, ended)
}
