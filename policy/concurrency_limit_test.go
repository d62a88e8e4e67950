package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Warming endpoints count in the agent's part of the limit by what they can do: what they may not
// be sent yet the warm ones would be.
func TestWarmingEndpointsCountInPartBesideWarmOnes(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	whole := r.b.limiter.floor()
	cold := make([]Entry, 4)
	for i := range cold {
		cold[i] = Entry{Server: addr(4 + i), Health: HealthReady, Weight: 1, StartedMs: r.now}
	}
	r.list(ListDelta, cold...)
	if got, want := r.b.limiter.floor(), whole*(1+r.b.set.Contract.SlowStartFrom); math.Abs(got-want) > 1e-9 {
		t.Errorf("with as many cold ones %v, want %v", got, want)
	}
	r.b.now += r.b.set.Contract.SlowStartMs
	if got := r.b.limiter.floor(); got != 2*whole {
		t.Errorf("when they are warm %v, want %v", got, 2*whole)
	}
}

// While answers are late an agent's part goes down to minAttemptsPerEndpoint an endpoint, and no
// further.
func TestLimitFallsToItsLeast(t *testing.T) {
	r := quick(t, testSettings(), 30)
	least := minAttemptsPerEndpoint / attemptsPerEndpoint
	for range 100 {
		id, server := r.sent(0, 0)
		r.now += 500
		r.outcome(id, 0, server, StatusOK, 500)
	}
	if r.b.limiter.scale != least {
		t.Errorf("%v times its part, want %v", r.b.limiter.scale, least)
	}
}

// A longer list does not take back what late answers took of the limit.
func TestLongerListKeepsALoweredLimit(t *testing.T) {
	r := quick(t, testSettings(), 3)
	r.b.set.Replicas = 100
	r.b.limiter.scale = minAttemptsPerEndpoint / attemptsPerEndpoint
	var more []Entry
	for i := range 60 {
		more = append(more, Entry{Server: addr(3 + i), Health: HealthReady, Weight: 1})
	}
	r.list(ListDelta, more...)
	if r.b.limiter.scale != minAttemptsPerEndpoint/attemptsPerEndpoint {
		t.Errorf("%v times its part", r.b.limiter.scale)
	}
}

// due is something that happens to an agent in virtual time.
type due struct {
	at float64
	ev Event
}

type dues []due

func (d dues) Len() int { return len(d) }

func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }

func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *dues) Push(x any) { *d = append(*d, x.(due)) }

func (d *dues) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// One agent of a healthy service in a fleet of 2,000: its settings tell the replicas and the quota of
// the whole fleet, its list names the endpoints of the service. Each call is answered after 5 ms, so it
// must be sent, and hardly ever shed: two attempts an endpoint must not be divided among all the
// fleet's agents.
func TestLimitOfAServiceInALargeFleet(t *testing.T) {
	for _, quota := range []float64{220000, 0} {
		for _, servers := range []int{12, 60, 200} {
			for _, seed := range []uint64{1, 2} {
				set := fleetSettings(2000)
				if quota > 0 {
					set.Tenants = []Tenant{{Name: "a", QuotaShare: 1, QuotaPerS: quota}}
				}
				asked, refused, held := playService(t, set, servers, seed)
				if refused > 0 {
					t.Errorf("quota %v, %d servers: %d of %d refused", quota, servers, refused, asked)
				}
				slices.Sort(held)
				if late := held[len(held)*99/100]; late > 0 {
					t.Errorf("quota %v, %d servers: one in a hundred waits for %v ms and longer", quota, servers, late)
				}
			}
		}
	}
}

// playService plays one agent that asks 110 times a second for 40 s, and counts what is
// asked and rejected, after 10 s of warming up; held are the waits in the agent before the
// first attempt, in ms.
func playService(t *testing.T, set Settings, servers int, seed uint64) (asked, refused int, held []float64) {
	t.Helper()
	const answer, perMs, warmUp, length = 5.0, 0.110, 10000.0, 40000.0
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	var todo dues
	cameAt := map[RequestID]float64{}
	tries := map[RequestID]int{}
	begin := fleetStart
	do := func(now float64, actions []Action) {
		for _, action := range actions {
			counts := now-begin >= warmUp
			switch action.Kind {
			case ActionSendAttempt:
				if counts && tries[action.Request] == 0 {
					held = append(held, now-cameAt[action.Request])
				}
				heap.Push(&todo, due{now + answer, &AttemptEnded{Request: action.Request, Attempt: tries[action.Request],
					Server: action.Server, Status: StatusOK, LatencyMs: answer, Final: true}})
				tries[action.Request]++
			case ActionRejectRequest, ActionFailRequest:
				if counts {
					refused++
				}
			case ActionSetTimer:
				heap.Push(&todo, due{now + action.DelayMs, &TimerFired{Token: action.Token}})
			}
		}
	}
	var all []Entry
	for i := range servers {
		all = append(all, Entry{Server: addr(i), Zone: i % 3, Cell: i % 3, Health: HealthReady, Weight: 1})
	}
	do(begin, b.Start(begin, nil))
	do(begin, b.Handle(begin, &EndpointsUpdated{Kind: ListCached, Entries: all}, nil))
	id := RequestID(0)
	next := begin
	for next < begin+length {
		next += rng.ExpFloat64() / perMs
		for len(todo) > 0 && todo[0].at <= next {
			e := heap.Pop(&todo).(due)
			do(e.at, b.Handle(e.at, e.ev, nil))
		}
		id++
		cameAt[id] = next
		if next-begin >= warmUp {
			asked++
		}
		do(next, b.Handle(next, &RequestArrived{Request: id, Key: 1 + rng.Uint64N(5000), TimeLeftMs: 1000}, nil))
	}
	return asked, refused, held
}

// Settings that tell of the listed endpoints alone are left alone: uncontended answers of a loaded
// deployment take a multiple of their work, and a limit that took them for the work itself let
// in flight too much when more was asked than the endpoints could do.
func TestLimitOfAPlainDeploymentIsItsSettings(t *testing.T) {
	set := fleetSettings(30)
	set.Limits.KeepaliveMs = 15000
	const servers, work = 16, 30.0
	set.Tenants = []Tenant{{Name: "a", QuotaShare: 1, QuotaPerS: 0.9 * servers * 1000 / work}}
	r := newRig(t, set, servers)
	for range 400 {
		id, server := r.sent(0, r.b.rng.Uint64())
		r.now += 10
		r.outcome(id, 0, server, StatusOK, 3.5*work)
	}
	want := attemptsPerEndpoint * servers * r.b.traffic.perMs() / (set.Tenants[0].QuotaPerS / 1000)
	if got := r.b.limiter.floor(); !near(got, max(want, 1)) {
		t.Errorf("may always have %v out, its part of the settings' is %v", got, want)
	}
}

// Below one attempt the limit doubles with each good answer, and late ones take it back to the
// floor. A list that grows does not multiply what it has grown to.
func TestLimitStartsSlowly(t *testing.T) {
	set := fleetSettings(2000)
	r := newRig(t, set, 12)
	r.now += 60000 // alone for long: the floor is the settings'
	limit := func() float64 { return r.b.limiter.floor() * r.b.limiter.scale }
	answer := func(took float64) {
		id, server := r.sent(0, r.b.rng.Uint64())
		r.now += 60000
		r.outcome(id, 0, server, StatusOK, took)
	}
	floor := limit()
	if floor > 0.02 {
		t.Fatalf("begins with %v", floor)
	}
	for i := range 5 {
		before := limit()
		if answer(5); limit() < 1.9*before {
			t.Fatalf("answer %d: %v after %v", i+1, limit(), before)
		}
	}
	for range 5 {
		answer(5)
	}
	grown := limit()
	if grown < 1 || grown > 3 {
		t.Fatalf("%v after ten good answers", grown)
	}
	var more []Entry
	for i := range 2000 {
		more = append(more, Entry{Server: addr(i), Health: HealthReady, Weight: 1})
	}
	if r.list(ListFull, more...); limit() > max(grown, 2) {
		t.Errorf("%v with 2,000 servers listed, %v before", limit(), grown)
	}
	for range 60 {
		answer(2 * set.Classes[0].LatencyObjectiveMs)
	}
	if r.b.limiter.scale > 1.01 {
		t.Errorf("%v times the floor after late answers", r.b.limiter.scale)
	}
}
