package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
)

// overloadSimulation simulates one agent whose requests arrive faster than its endpoints answer
// them. Each endpoint serves one request at a time, for answerMs.
type overloadSimulation struct {
	b        *Balancer
	rng      *rand.Rand
	now      float64
	due      dueEvents
	latest   RequestID
	class    map[RequestID]int
	attempts map[RequestID]int
	idleAt   map[Addr]float64 // when each endpoint will have served all its requests, in ms
	answerMs float64
	requests []int // by class
	inTime   []int // served within the latency objective, by class
}

func newOverloadSimulation(t *testing.T, set Settings, servers int, seed uint64) *overloadSimulation {
	t.Helper()
	p := &overloadSimulation{b: newBalancer(t, set, seed), rng: rand.New(rand.NewPCG(seed, 5)), now: fleetStart,
		class: map[RequestID]int{}, attempts: map[RequestID]int{}, idleAt: map[Addr]float64{}, answerMs: 60}
	p.carryOut(p.b.Start(p.now, nil))
	p.handle(&EndpointsUpdated{Kind: ListCached, Entries: startedEntries(servers, 0)})
	return p
}

func (p *overloadSimulation) handle(event Event) { p.carryOut(p.b.Handle(p.now, event, nil)) }

func (p *overloadSimulation) carryOut(actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case ActionSendAttempt:
			endsAt := max(p.idleAt[action.Server], p.now) + p.answerMs
			p.idleAt[action.Server] = endsAt
			ended := &AttemptEnded{Request: action.Request, Attempt: p.attempts[action.Request], Server: action.Server,
				Status: StatusOK, LatencyMs: endsAt - p.now, Final: true}
			if endsAt-p.now > action.TimeoutMs {
				endsAt = p.now + action.TimeoutMs
				ended.Status, ended.LatencyMs, ended.Final = StatusTimeout, action.TimeoutMs, false
			}
			p.attempts[action.Request]++
			heap.Push(&p.due, dueEvent{endsAt, ended})
		case ActionSetTimer:
			heap.Push(&p.due, dueEvent{p.now + action.DelayMs, &TimerFired{Token: action.Token}})
		}
	}
}

// run sends perMs requests per ms for ms milliseconds, with classes drawn uniformly at random. It
// counts the requests, and those served within the latency objective.
func (p *overloadSimulation) run(perMs, ms float64) {
	classes := p.b.classes.all
	p.requests, p.inTime = make([]int, len(classes)), make([]int, len(classes))
	end := p.now + ms
	next := p.now + p.rng.ExpFloat64()/perMs
	for p.now < end {
		if len(p.due) > 0 && p.due[0].at <= next {
			due := heap.Pop(&p.due).(dueEvent)
			p.now = due.at
			if ended, ok := due.event.(*AttemptEnded); ok && ended.Status == StatusOK {
				if class := p.class[ended.Request]; ended.LatencyMs <= classes[class].LatencyObjectiveMs {
					p.inTime[class]++
				}
			}
			p.handle(due.event)
			continue
		}
		p.now = next
		next += p.rng.ExpFloat64() / perMs
		p.latest++
		class := p.rng.IntN(len(classes))
		p.class[p.latest] = class
		p.requests[class]++
		p.handle(&RequestArrived{Request: p.latest, Class: class, Key: 1 + p.rng.Uint64N(400),
			TimeLeftMs: classes[class].DeadlineMs})
	}
}

// share returns the fraction of a class's requests that was served within its latency objective.
func (p *overloadSimulation) share(class int) float64 {
	return float64(p.inTime[class]) / float64(p.requests[class])
}

// twoClassSettings returns settings with two classes. The first has the shorter latency objective,
// the second the given priority weight.
func twoClassSettings(priorityWeight float64) Settings {
	set := testSettings()
	set.Classes = []Class{
		{Name: "quick", LatencyObjectiveMs: 600, DeadlineMs: 2500, Effect: EffectIdempotent, PriorityWeight: 1},
		{Name: "slow", LatencyObjectiveMs: 1500, DeadlineMs: 5000, Effect: EffectIdempotent, PriorityWeight: priorityWeight},
	}
	set.Replicas = 1
	set.Objective = Objective{Whole: 0.55, WorstWindow: 0.15, WorstClass: 0.2, WorstTenant: 0.1}
	return set
}

// A class whose answers were late while the endpoints were slow must be served again once they are
// fast. The offered load is 1.5 times what the endpoints can serve, so requests are always queued.
func TestClassIsServedAgainAfterLateAnswers(t *testing.T) {
	for _, weight := range []float64{1, 5} {
		for _, seed := range []uint64{1, 2, 3} {
			t.Run(fmt.Sprintf("priority weight %v, seed %d", weight, seed), func(t *testing.T) {
				p := newOverloadSimulation(t, twoClassSettings(weight), 4, seed)
				perMs := 1.5 * 4 / p.answerMs
				p.run(perMs, 20000)
				before := [2]float64{p.share(0), p.share(1)}
				p.answerMs = 1200
				p.run(perMs, 10000)
				p.answerMs = 60
				p.run(perMs, 5000)
				p.run(perMs, 20000)
				for class, share := range before {
					if got := p.share(class); got < 0.75*share {
						t.Errorf("class %d: got a share of %.2f served in time, want 0.75 of the %.2f before", class, got, share)
					}
				}
			})
		}
	}
}

// The share of a class served in time covers its latest requests. When a class that was served well
// for a long time is no longer served, an agent with few requests must detect it soon.
func TestClassStatsFindTheWorstClassSoon(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	serve := func(c *class, inTime bool) {
		h.b.classes.countRequest(c)
		if inTime {
			c.servedInTime += 1.0 / classHistory
		}
	}
	well, badly := h.b.classes.all[0], h.b.classes.all[1]
	for i := range 2000 {
		serve(well, true)
		serve(badly, i%10 != 0)
	}
	if got := h.b.classes.worst; got != badly {
		t.Fatalf("got %s as the worst class, want %s", got.Name, badly.Name)
	}
	for i := range 40 {
		serve(well, false)
		serve(badly, i%10 != 0)
	}
	if got := h.b.classes.worst; got != well {
		t.Errorf("got %s as the worst class, want %s: shares served in time %.2f and %.2f", got.Name, well.Name,
			got.servedInTime, well.servedInTime)
	}
}

// The expected answer time decays after late answers, with the time after which clients give up as
// the time constant.
func TestClassExpectedTimeDecaysAfterLateAnswers(t *testing.T) {
	c := newHarness(t, testSettings(), 1).b.classes.all[idempotentClass]
	uncontendedMs := c.uncontendedMs()
	for i := range 20 {
		c.observeLatency(float64(i), 2*c.LatencyObjectiveMs)
	}
	late := c.expectedMs(20)
	if late < c.LatencyObjectiveMs {
		t.Fatalf("after 20 late answers got %v ms expected, want %v at least", late, c.LatencyObjectiveMs)
	}
	if soon := c.expectedMs(20 + c.DeadlineMs/20); soon < late*0.9 {
		t.Errorf("soon after got %v ms expected, want 0.9 of %v at least", soon, late)
	}
	most := uncontendedMs + 0.1*(late-uncontendedMs)
	if got := c.expectedMs(20 + 3*c.DeadlineMs); got > most {
		t.Errorf("after three times as long as clients wait got %v ms expected, want %v at most", got, most)
	}
}

// Unanswered attempts raise the expected answer time. A third of the endpoints without any answer
// must still not make a class seem late whose requests the others answer at once.
func TestClassCountsUnansweredAttemptsInItsExpectedTime(t *testing.T) {
	expectedMs := func(unanswered int) float64 {
		c := newHarness(t, testSettings(), 1).b.classes.all[idempotentClass]
		for i := range 300 {
			now := float64(i) * 20
			if i%3 < unanswered {
				c.observeUnanswered(now, 600)
			} else {
				c.observeLatency(now, 30)
			}
		}
		return c.expectedMs(6000)
	}
	if got := expectedMs(1); got > 150 {
		t.Errorf("a third unanswered: got %v ms expected, want 150 at most", got)
	}
	if got := expectedMs(3); got < 300 {
		t.Errorf("all unanswered: got %v ms expected, want 300 at least", got)
	}
}
