package policy

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

// classPlay is one agent whose requests come faster than its endpoints answer them: each endpoint
// answers one at a time, after answerMs.
type classPlay struct {
	t        *testing.T
	b        *Balancer
	rng      *rand.Rand
	now      float64
	todo     dues
	next     RequestID
	class    map[RequestID]int
	tries    map[RequestID]int
	free     map[Addr]float64 // when each endpoint has answered all that it was sent
	answerMs float64
	asked    []int
	served   []int // within the latency objective
}

func newClassPlay(t *testing.T, set Settings, servers int, seed uint64) *classPlay {
	t.Helper()
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	p := &classPlay{t: t, b: b, rng: rand.New(rand.NewPCG(seed, 5)), now: fleetStart, class: map[RequestID]int{},
		tries: map[RequestID]int{}, free: map[Addr]float64{}, answerMs: 60}
	p.do(b.Start(p.now, nil))
	var all []Entry
	for i := range servers {
		all = append(all, Entry{Server: addr(i), Health: HealthReady, Weight: 1})
	}
	p.handle(&EndpointsUpdated{Kind: ListCached, Entries: all})
	return p
}

func (p *classPlay) handle(ev Event) { p.do(p.b.Handle(p.now, ev, nil)) }

func (p *classPlay) do(actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case ActionSendAttempt:
			at := max(p.free[action.Server], p.now) + p.answerMs
			p.free[action.Server] = at
			ev := &AttemptEnded{Request: action.Request, Attempt: p.tries[action.Request], Server: action.Server, Status: StatusOK,
				LatencyMs: at - p.now, Final: true}
			if at-p.now > action.TimeoutMs {
				at, ev.Status, ev.LatencyMs, ev.Final = p.now+action.TimeoutMs, StatusTimeout, action.TimeoutMs, false
			}
			p.tries[action.Request]++
			heap.Push(&p.todo, due{at, ev})
		case ActionSetTimer:
			heap.Push(&p.todo, due{p.now + action.DelayMs, &TimerFired{Token: action.Token}})
		}
	}
}

// play asks perMs requests a ms for so long, of classes drawn alike, and counts what is asked
// and served within the latency objective.
func (p *classPlay) play(perMs, ms float64) {
	p.asked, p.served = make([]int, len(p.b.classes.all)), make([]int, len(p.b.classes.all))
	end := p.now + ms
	next := p.now + p.rng.ExpFloat64()/perMs
	for p.now < end {
		if len(p.todo) > 0 && p.todo[0].at <= next {
			e := heap.Pop(&p.todo).(due)
			p.now = e.at
			if ended, ok := e.ev.(*AttemptEnded); ok && ended.Status == StatusOK {
				if c := p.class[ended.Request]; ended.LatencyMs <= p.b.classes.all[c].LatencyObjectiveMs {
					p.served[c]++
				}
			}
			p.handle(e.ev)
			continue
		}
		p.now = next
		next += p.rng.ExpFloat64() / perMs
		p.next++
		c := p.rng.IntN(len(p.b.classes.all))
		p.class[p.next] = c
		p.asked[c]++
		p.handle(&RequestArrived{Request: p.next, Class: c, Key: 1 + p.rng.Uint64N(400),
			TimeLeftMs: p.b.classes.all[c].DeadlineMs})
	}
}

// share is the part of a class's requests that was served within its latency objective.
func (p *classPlay) share(class int) float64 {
	return float64(p.served[class]) / float64(p.asked[class])
}

// twoClasses are settings of two classes of equal worth, the first with the shorter latency
// objective.
func twoClasses(worth float64) Settings {
	set := testSettings()
	set.Classes = []Class{
		{Name: "quick", LatencyObjectiveMs: 600, DeadlineMs: 2500, Effect: EffectIdempotent, PriorityWeight: 1},
		{Name: "slow", LatencyObjectiveMs: 1500, DeadlineMs: 5000, Effect: EffectIdempotent, PriorityWeight: worth},
	}
	set.Replicas = 1
	set.Objective = Objective{Whole: 0.55, WorstWindow: 0.15, WorstClass: 0.2, WorstTenant: 0.1}
	return set
}

// A class whose answers were late while the endpoints were slow is served again as soon as they
// are quick. Half as much again is asked as the endpoints can answer, so something is always queued.
func TestClassIsServedAgainAfterLateAnswers(t *testing.T) {
	for _, worth := range []float64{1, 5} {
		for _, seed := range []uint64{1, 2, 3} {
			p := newClassPlay(t, twoClasses(worth), 4, seed)
			perMs := 1.5 * 4 / p.answerMs
			p.play(perMs, 20000)
			before := [2]float64{p.share(0), p.share(1)}
			p.answerMs = 1200
			p.play(perMs, 10000)
			p.answerMs = 60
			p.play(perMs, 5000)
			p.play(perMs, 20000)
			for class, was := range before {
				if is := p.share(class); is < 0.75*was {
					t.Errorf("worth %v, seed %d, class %d: %.2f were served before and %.2f after", worth, seed, class, was, is)
				}
			}
		}
	}
}

// The share of a class served in time follows its last requests: of a class that did well for
// long and is served no more an agent with few requests has to know before long.
func TestWorstClassIsKnownSoon(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	served := func(c *class, inTime bool) {
		r.b.classes.count(c)
		if inTime {
			c.servedInTime += 1.0 / classMemory
		}
	}
	well, badly := r.b.classes.all[0], r.b.classes.all[1]
	for i := range 2000 {
		served(well, true)
		served(badly, i%10 != 0)
	}
	if r.b.classes.worst != badly {
		t.Fatalf("worst is %s", r.b.classes.worst.Name)
	}
	for i := range 40 {
		served(well, false)
		served(badly, i%10 != 0)
	}
	if r.b.classes.worst != well {
		t.Errorf("worst is still %s: %.2f of %s and %.2f of %s are served", r.b.classes.worst.Name, well.servedInTime, well.Name,
			badly.servedInTime, badly.Name)
	}
}

// What answers took is forgotten over the time after which clients give up.
func TestExpectedTimeIsForgotten(t *testing.T) {
	c := newRig(t, testSettings(), 1).b.classes.all[0]
	calm := c.uncontendedMs()
	for i := range 20 {
		c.learn(float64(i), 2*c.LatencyObjectiveMs)
	}
	late := c.expectedMs(20)
	if late < c.LatencyObjectiveMs {
		t.Fatalf("after 20 late answers %v ms are expected", late)
	}
	if soon := c.expectedMs(20 + c.DeadlineMs/20); soon < late*0.9 {
		t.Errorf("forgotten at once: %v of %v ms", soon, late)
	}
	if then := c.expectedMs(20 + 3*c.DeadlineMs); then > calm+0.1*(late-calm) {
		t.Errorf("after three times as long as clients wait %v ms are expected, calm is %v", then, calm)
	}
}

// Unanswered attempts are taken into what is expected, and yet a third of the endpoints that
// answer nothing does not make a class seem late that the others answer at once.
func TestUnansweredAttemptsCountInExpectedTime(t *testing.T) {
	expect := func(unanswered int) float64 {
		c := newRig(t, testSettings(), 1).b.classes.all[0]
		for i := range 300 {
			now := float64(i) * 20
			if i%3 < unanswered {
				c.unanswered(now, 600)
			} else {
				c.learn(now, 30)
			}
		}
		return c.expectedMs(6000)
	}
	if x := expect(1); x > 150 {
		t.Errorf("a third unanswered: %v ms expected", x)
	}
	if x := expect(3); x < 300 {
		t.Errorf("all unanswered: %v ms expected", x)
	}
}
