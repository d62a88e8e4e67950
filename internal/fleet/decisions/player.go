package decisions

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"ploverreel/policy"
)

const (
	began     = 1e6 // virtual time at which a play begins, in ms
	answerMs  = 5.0 // until an answer
	refusedMs = 1.0 // until a probe's answer, or a connect that is refused
	keys      = 1000
	coldAge   = 1000.0 // of cold servers as they are listed, in ms
	// coldFor is the cold time where some servers are cold: they stay so while they are measured.
	coldFor = 3.6e6
)

// Shares of the requests by class and by tenant.
var classShares, tenantShares = []float64{0.7, 0.2, 0.1}, []float64{0.6, 0.25, 0.15}

// workload is what one balancer is played with.
type workload struct {
	servers   int     // listed
	replicas  int     // agents of the fleet
	perAgent  float64 // requests a second of each
	queued    int     // requests kept queued, where answers come no faster than perAgent; 0: an easy load
	cold      float64 // share of the servers that started just now
	unhealthy float64 // share that refuses connections
	zones     int
	seed      uint64
}

// settings are those of a deployment with a class of each effect and three tenants, whose
// quotas are what all agents send.
func (l workload) settings() policy.Settings {
	s := policy.Settings{
		Classes: []policy.Class{
			{Name: "read", LatencyObjectiveMs: 600, DeadlineMs: 2500, Effect: policy.EffectIdempotent, PriorityWeight: 1},
			{Name: "save", LatencyObjectiveMs: 1500, DeadlineMs: 6000, Effect: policy.EffectIdempotentWithKey, Group: policy.GroupCell,
				IdempotencyWindowMs: 4000, PriorityWeight: 2},
			{Name: "submit", LatencyObjectiveMs: 1500, DeadlineMs: 6000, Effect: policy.EffectNonIdempotent, PriorityWeight: 5},
		},
		Limits: policy.Limits{Cancellation: true, HealthChecks: true, MaxAttempts: 5, MaxRetryAfterMs: 2000,
			ConnectTimeoutMs: 250, KeepaliveMs: 15000},
		Contract: policy.Contract{AnswerSlackMs: 5, PollWithinMs: 10000, SlowStartFrom: 0.3, SlowStartMs: 7000,
			DrainGraceMs: 1500, OverloadMultiple: 3, OverloadWindowMs: 1000},
		Prices:     policy.Prices{CrossZone: 0.03, Handshake: 0.08, HealthCheck: 0.04, LateFail: 0.03, Waste: 0.1},
		Objective:  policy.Objective{Whole: 0.55, WorstWindow: 0.15, WorstClass: 0.2, WorstTenant: 0.1},
		Membership: policy.MembershipPushed, Replicas: l.replicas, RoundMs: 1, Weights: "off", WeightBy: "request",
		OverQuotaWeight: 0.2,
	}
	for i, portion := range tenantShares {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: fmt.Sprintf("tenant-%d", i+1), QuotaShare: portion,
			QuotaPerS: portion * l.perAgent * float64(l.replicas)})
	}
	if l.cold > 0 {
		s.Contract.SlowStartMs = coldFor
	}
	return s
}

// player drives one balancer through virtual time: it sends requests, answers attempts and
// probes, and fires timers. All that is random comes from the seed.
type player struct {
	workload
	set      policy.Settings
	balancer *policy.Balancer
	rng      *rand.Rand
	now      float64
	nextMs   float64 // time of the next request of an easy load
	freeMs   float64 // when the next answer can come, where requests are queued
	due      dueEvents
	order    int
	actions  []policy.Action
	entries  []policy.Entry
	named    int // servers named so far
	refusing map[policy.Addr]bool
	untried  map[policy.Addr]bool // of these
	open     map[policy.RequestID]*request
	last     policy.RequestID
	waiting  int // requests that the balancer queues
	meter    *meter
	counts   requestCounts
}

// request is one that is not yet answered.
type request struct {
	cameMs   float64
	attempts int
	queued   bool
}

// requestCounts counts what became of the requests.
type requestCounts struct {
	requests, served, refused, attempts int
	waits                               []float64 // from a request to its first attempt, in ms
}

// dueEvent is an event that is to come.
type dueEvent struct {
	at    float64
	order int
	kind  eventKind
	event policy.Event
}

type dueEvents []dueEvent

func (d dueEvents) Len() int { return len(d) }
func (d dueEvents) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d dueEvents) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dueEvents) Push(x any)   { *d = append(*d, x.(dueEvent)) }
func (d *dueEvents) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// newPlayer starts a balancer and hands it the list. Servers that refuse are listed alone
// first, until all of them have been tried: their share is known before anything is measured.
func newPlayer(l workload) (*player, error) {
	p := &player{workload: l, rng: rand.New(rand.NewPCG(l.seed, uint64(l.servers))), now: began, nextMs: began,
		set: l.settings(), meter: &meter{}, refusing: map[policy.Addr]bool{},
		untried: map[policy.Addr]bool{}, open: map[policy.RequestID]*request{}}
	bad := int(l.unhealthy * float64(l.servers))
	for i := range l.servers {
		p.entries = append(p.entries, p.entry())
		if i < bad {
			p.refusing[p.entries[i].Server], p.untried[p.entries[i].Server] = true, true
		}
	}
	for i := range int(l.cold * float64(l.servers)) {
		p.entries[bad+i].StartedMs = began - coldAge
	}
	var err error
	if p.balancer, err = policy.New(p.set, l.seed); err != nil {
		return nil, fmt.Errorf("decide: %w", err)
	}
	p.carryOut(p.balancer.Start(p.now, nil))
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

// entry is one of a server that is not named yet.
func (p *player) entry() policy.Entry {
	i := p.named
	p.named++
	return policy.Entry{Server: policy.Addr{10, byte(i >> 16), byte(i >> 8), byte(i), 0x1f, 0x90},
		Zone: i % max(p.zones, 1), Cell: i / 8, Health: policy.HealthReady, Weight: 1}
}

// advance goes on until n more requests came.
func (p *player) advance(n int) {
	for end := p.last + policy.RequestID(n); p.last < end; {
		p.step()
	}
}

// step plays what comes next.
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

// deliver plays the first of the events that are due.
func (p *player) deliver() {
	d := heap.Pop(&p.due).(dueEvent)
	p.now = d.at
	if ended, ok := d.event.(*policy.AttemptEnded); ok {
		// An answer crosses its cancelling, and may come after its request was given up.
		if r := p.open[ended.Request]; r != nil && ended.Final {
			p.counts.served++
			delete(p.open, ended.Request)
		} else if r != nil {
			r.queued = true // until the balancer says otherwise
			p.waiting++
		}
	}
	p.handle(d.kind, d.event)
}

func (p *player) request() {
	p.last++
	class, tenant := p.draw(classShares), p.draw(tenantShares)
	p.open[p.last] = &request{cameMs: p.now, queued: true}
	p.waiting++
	p.counts.requests++
	p.handle(newRequest, &policy.RequestArrived{Request: p.last, Class: class, Tenant: tenant,
		Key: 1 + p.rng.Uint64N(keys), TimeLeftMs: p.set.Classes[class].DeadlineMs})
}

// draw picks by shares that add up to one.
func (p *player) draw(shares []float64) int {
	x := p.rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

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

func (p *player) handle(kind eventKind, event policy.Event) {
	p.carryOut(p.meter.handle(p.balancer, p.now, kind, event, p.actions[:0]))
}

// carryOut does what the balancer asks for.
func (p *player) carryOut(actions []policy.Action) {
	p.actions = actions
	for i := range actions {
		a := &actions[i]
		r := p.open[a.Request]
		switch a.Kind {
		case policy.ActionSendAttempt:
			p.counts.attempts++
			if r.attempts++; r.attempts == 1 {
				p.counts.waits = append(p.counts.waits, p.now-r.cameMs)
			}
			r.queued = false
			p.waiting--
			p.answer(a, r.attempts-1)
		case policy.ActionRejectRequest, policy.ActionFailRequest:
			if r == nil {
				continue
			}
			p.counts.refused++
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
			p.after(a.DelayMs, tick, &policy.TimerFired{Token: a.Token})
		}
	}
}

// answer has an attempt end: at once where its server refuses, after answerMs where servers
// are idle, and as fast as they serve where requests are queued.
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

func (p *player) after(ms float64, kind eventKind, event policy.Event) {
	p.order++
	heap.Push(&p.due, dueEvent{p.now + ms, p.order, kind, event})
}
