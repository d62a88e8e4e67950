package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Warming endpoints count in the agent's part of the limit by what they can do: what they may not
// be sent yet the warm ones would be.
func TestLimiterCountsWarmingEndpointsInPart(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	whole := h.b.limiter.floor()
	warming := make([]Entry, 4)
	for i := range warming {
		warming[i] = startedAt(ready(4+i), h.now)
	}
	h.updateEndpoints(ListDelta, warming...)
	if got, want := h.b.limiter.floor(), whole*(1+h.b.settings.Contract.SlowStartFrom); math.Abs(got-want) > 1e-9 {
		t.Errorf("with as many warming endpoints got a floor of %v, want %v", got, want)
	}
	h.b.now += h.b.settings.Contract.SlowStartMs
	if got := h.b.limiter.floor(); got != 2*whole {
		t.Errorf("when they are warm got a floor of %v, want %v", got, 2*whole)
	}
}

// While answers are late an agent's part goes down to minAttemptsPerEndpoint an endpoint, and no
// further.
func TestLimiterFallsToItsMinimum(t *testing.T) {
	h := newTrainedHarness(t, testSettings(), 30)
	for range 100 {
		h.serve(idempotentClass, 0, 500)
	}
	if want := minAttemptsPerEndpoint / attemptsPerEndpoint; h.b.limiter.scale != want {
		t.Errorf("got %v times the floor, want %v", h.b.limiter.scale, want)
	}
}

// A longer list does not take back what late answers took of the limit.
func TestLimiterKeepsALoweredLimitOnALongerList(t *testing.T) {
	h := newTrainedHarness(t, testSettings(), 3)
	h.b.settings.Replicas = 100
	lowered := minAttemptsPerEndpoint / attemptsPerEndpoint
	h.b.limiter.scale = lowered
	var more []Entry
	for i := range 60 {
		more = append(more, ready(3+i))
	}
	h.updateEndpoints(ListDelta, more...)
	if h.b.limiter.scale != lowered {
		t.Errorf("got %v times the floor, want %v", h.b.limiter.scale, lowered)
	}
}

// dueEvent is an event that is to be handed in at a time.
type dueEvent struct {
	at    float64 // ms
	event Event
}

// dueEvents is a heap of events, the first to be handed in on top.
type dueEvents []dueEvent

func (d dueEvents) Len() int { return len(d) }

func (d dueEvents) Less(i, j int) bool { return d[i].at < d[j].at }

func (d dueEvents) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *dueEvents) Push(x any) { *d = append(*d, x.(dueEvent)) }

func (d *dueEvents) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// One agent of a healthy service in a fleet of 2,000: its settings tell the replicas and the quota of
// the whole fleet, its list names the endpoints of the service. Each call is answered after 5 ms, so it
// must be sent, and hardly ever shed: two attempts an endpoint must not be divided among all the
// fleet's agents.
func TestLimiterAllowsAServiceOfALargeFleet(t *testing.T) {
	for _, quota := range []float64{220000, 0} {
		for _, servers := range []int{12, 60, 200} {
			for _, seed := range []uint64{1, 2} {
				t.Run(fmt.Sprintf("quota %v, %d servers, seed %d", quota, servers, seed), func(t *testing.T) {
					set := fleetSettings(2000)
					if quota > 0 {
						set.Tenants = []Tenant{{Name: "a", QuotaShare: 1, QuotaPerS: quota}}
					}
					p := newServicePlay(t, set, servers, seed)
					p.play()
					if p.rejected > 0 {
						t.Errorf("got %d of %d requests rejected, want none", p.rejected, p.requests)
					}
					slices.Sort(p.queuedMs)
					if late := p.queuedMs[len(p.queuedMs)*99/100]; late > 0 {
						t.Errorf("got %v ms or more in the queue for one in a hundred, want 0", late)
					}
				})
			}
		}
	}
}

// servicePlay plays one agent whose client sends 110 requests a second for 40 s, each of which is
// answered 5 ms after it is sent. It counts after 10 s of warming up.
type servicePlay struct {
	b        *Balancer
	rng      *rand.Rand
	due      dueEvents
	arrived  map[RequestID]float64 // when each request arrived, in ms
	attempts map[RequestID]int

	requests, rejected int
	queuedMs           []float64 // until the first attempt
}

// newServicePlay starts an agent with so many servers.
func newServicePlay(t *testing.T, set Settings, servers int, seed uint64) *servicePlay {
	t.Helper()
	p := &servicePlay{b: newBalancer(t, set, seed), rng: rand.New(rand.NewPCG(seed, 3)),
		arrived: map[RequestID]float64{}, attempts: map[RequestID]int{}}
	entries := startedEntries(servers, 0)
	for i := range entries {
		entries[i].Zone, entries[i].Cell = i%3, i%3
	}
	p.carryOut(fleetStart, p.b.Start(fleetStart, nil))
	p.carryOut(fleetStart, p.b.Handle(fleetStart, &EndpointsUpdated{Kind: ListCached, Entries: entries}, nil))
	return p
}

// counts reports whether what happens now is counted.
func (p *servicePlay) counts(now float64) bool { return now-fleetStart >= 10000 }

// play sends the requests.
func (p *servicePlay) play() {
	const perMs, lengthMs = 0.110, 40000.0
	id := RequestID(0)
	for next := fleetStart; next < fleetStart+lengthMs; {
		next += p.rng.ExpFloat64() / perMs
		for len(p.due) > 0 && p.due[0].at <= next {
			due := heap.Pop(&p.due).(dueEvent)
			p.carryOut(due.at, p.b.Handle(due.at, due.event, nil))
		}
		id++
		p.arrived[id] = next
		if p.counts(next) {
			p.requests++
		}
		p.carryOut(next, p.b.Handle(next, &RequestArrived{Request: id, Key: 1 + p.rng.Uint64N(5000), TimeLeftMs: 1000}, nil))
	}
}

func (p *servicePlay) carryOut(now float64, actions []Action) {
	const answerMs = 5.0
	for _, action := range actions {
		switch action.Kind {
		case ActionSendAttempt:
			if p.counts(now) && p.attempts[action.Request] == 0 {
				p.queuedMs = append(p.queuedMs, now-p.arrived[action.Request])
			}
			heap.Push(&p.due, dueEvent{now + answerMs, &AttemptEnded{Request: action.Request, Attempt: p.attempts[action.Request],
				Server: action.Server, Status: StatusOK, LatencyMs: answerMs, Final: true}})
			p.attempts[action.Request]++
		case ActionRejectRequest, ActionFailRequest:
			if p.counts(now) {
				p.rejected++
			}
		case ActionSetTimer:
			heap.Push(&p.due, dueEvent{now + action.DelayMs, &TimerFired{Token: action.Token}})
		}
	}
}

// Settings that tell of the listed endpoints alone are left alone: uncontended answers of a loaded
// deployment take a multiple of their work, and a limit that took them for the work itself let
// in flight too much when more was offered than the endpoints could do.
func TestLimiterFloorFollowsTheSettingsOfAPlainDeployment(t *testing.T) {
	set := fleetSettings(30)
	set.Limits.KeepaliveMs = 15000
	const servers, workMs = 16, 30.0
	set.Tenants = []Tenant{{Name: "a", QuotaShare: 1, QuotaPerS: 0.9 * servers * 1000 / workMs}}
	h := newHarness(t, set, servers)
	for range 400 {
		id, server := h.mustSend(idempotentClass, h.randomKey())
		h.now += 10
		h.endAttempt(id, 0, server, StatusOK, 3.5*workMs)
	}
	want := attemptsPerEndpoint * servers * h.b.requestRate.perMs() / (set.Tenants[0].QuotaPerS / 1000)
	if got := h.b.limiter.floor(); !near(got, max(want, 1)) {
		t.Errorf("got a floor of %v, want %v", got, max(want, 1))
	}
}

// Below one attempt the limit doubles with each good answer, and late ones take it back to the
// floor. A list that grows does not multiply what it has grown to.
func TestLimiterDoublesFromBelowOneAttempt(t *testing.T) {
	set := fleetSettings(2000)
	h := newHarness(t, set, 12)
	h.now += 60000 // alone for long: the floor is the settings'
	answer := func(latencyMs float64) {
		id, server := h.mustSend(idempotentClass, h.randomKey())
		h.now += 60000
		h.endAttempt(id, 0, server, StatusOK, latencyMs)
	}
	if limit := h.b.limiter.limit(); limit > 0.02 {
		t.Fatalf("got a first limit of %v, want 0.02 at most", limit)
	}
	for i := range 5 {
		before := h.b.limiter.limit()
		if answer(5); h.b.limiter.limit() < 1.9*before {
			t.Fatalf("after answer %d got a limit of %v, want about twice %v", i+1, h.b.limiter.limit(), before)
		}
	}
	for range 5 {
		answer(5)
	}
	grown := h.b.limiter.limit()
	if grown < 1 || grown > 3 {
		t.Fatalf("after ten good answers got a limit of %v, want 1 to 3", grown)
	}
	if h.updateEndpoints(ListFull, startedEntries(2000, 0)...); h.b.limiter.limit() > max(grown, 2) {
		t.Errorf("with 2,000 servers listed got a limit of %v, want at most %v", h.b.limiter.limit(), max(grown, 2))
	}
	for range 60 {
		answer(2 * set.Classes[idempotentClass].LatencyObjectiveMs)
	}
	if h.b.limiter.scale > 1.01 {
		t.Errorf("after late answers got %v times the floor, want 1", h.b.limiter.scale)
	}
}
