package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// An endpoint that is warming up must raise the floor only by its capacity fraction. If it counted
// in full, the attempts that it may not be sent yet would go to the warm endpoints.
func TestLimiterCountsWarmingEndpointsInPart(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	whole := h.b.limiter.floor()
	warming := make([]Entry, 4)
	for i := range warming {
		warming[i] = startedAt(ready(4+i), h.now)
	}
	h.updateEndpoints(ListDelta, warming...)
	if got, want := h.b.limiter.floor(), whole*(1+h.b.settings.Contract.InitialCapacity); math.Abs(got-want) > 1e-9 {
		t.Errorf("with as many warming endpoints got a floor of %v, want %v", got, want)
	}
	h.b.now += h.b.settings.Contract.SlowStartMs
	if got := h.b.limiter.floor(); got != 2*whole {
		t.Errorf("when they are warm got a floor of %v, want %v", got, 2*whole)
	}
}

// While answers are late the limit falls to the agent's part of minAttemptsPerEndpoint attempts per
// endpoint, and no further.
func TestLimiterFallsToItsMinimum(t *testing.T) {
	h := newTrainedHarness(t, testSettings(), 30)
	for range 100 {
		h.serve(idempotentClass, 0, 500)
	}
	if want := minAttemptsPerEndpoint / attemptsPerEndpoint; h.b.limiter.scale != want {
		t.Errorf("got %v times the floor, want %v", h.b.limiter.scale, want)
	}
}

// A longer endpoint list must not undo the decrease of the limit after late answers.
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

// dueEvent is an event with the time at which the Balancer is to handle it.
type dueEvent struct {
	at    float64 // ms
	event Event
}

// dueEvents is a heap of events, the earliest on top.
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

// Guards against load shedding by an agent of a healthy service in a fleet of 2,000 agents. The
// settings contain the replicas and the quota of the whole fleet, but the list names only the
// service's endpoints. Dividing two attempts per endpoint among all agents of the fleet made the
// limit too low, although each request is answered after 5 ms.
func TestLimiterAllowsAServiceOfALargeFleet(t *testing.T) {
	for _, quota := range []float64{220000, 0} {
		for _, servers := range []int{12, 60, 200} {
			for _, seed := range []uint64{1, 2} {
				t.Run(fmt.Sprintf("quota %v, %d servers, seed %d", quota, servers, seed), func(t *testing.T) {
					set := fleetSettings(2000)
					if quota > 0 {
						set.Tenants = []Tenant{{Name: "a", QuotaShare: 1, QuotaPerS: quota}}
					}
					p := newServiceSimulation(t, set, servers, seed)
					p.run()
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

// serviceSimulation simulates one agent whose client sends 110 requests per second for 40 s. Each
// request is answered 5 ms after it is sent. The first 10 s are not counted.
type serviceSimulation struct {
	b        *Balancer
	rng      *rand.Rand
	due      dueEvents
	arrived  map[RequestID]float64 // when each request arrived, in ms
	attempts map[RequestID]int

	requests, rejected int
	queuedMs           []float64 // time from each request's arrival to its first attempt
}

// newServiceSimulation starts an agent with the given number of servers.
func newServiceSimulation(t *testing.T, set Settings, servers int, seed uint64) *serviceSimulation {
	t.Helper()
	p := &serviceSimulation{b: newBalancer(t, set, seed), rng: rand.New(rand.NewPCG(seed, 3)),
		arrived: map[RequestID]float64{}, attempts: map[RequestID]int{}}
	entries := startedEntries(servers, 0)
	for i := range entries {
		entries[i].Zone, entries[i].Cell = i%3, i%3
	}
	p.carryOut(fleetStart, p.b.Start(fleetStart, nil))
	p.carryOut(fleetStart, p.b.Handle(fleetStart, &EndpointsUpdated{Kind: ListCached, Entries: entries}, nil))
	return p
}

// counts reports whether events at the time now are counted.
func (p *serviceSimulation) counts(now float64) bool { return now-fleetStart >= 10000 }

// run sends the requests.
func (p *serviceSimulation) run() {
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

func (p *serviceSimulation) carryOut(now float64, actions []Action) {
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

// The quota of settings that cover only the listed endpoints must not be capped. Uncontended answers
// of a loaded deployment take a multiple of the service time. A limiter that used them as the
// service time allowed too many attempts in flight under overload.
func TestLimiterFloorFollowsTheQuotasOfASingleService(t *testing.T) {
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

// A limit below one attempt doubles with each good answer, and late answers lower it to the floor. A
// longer list must not multiply a limit that has grown.
func TestLimiterDoublesFromBelowOneAttempt(t *testing.T) {
	set := fleetSettings(2000)
	h := newHarness(t, set, 12)
	h.now += 60000 // a long time without requests: the settings determine the floor
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
