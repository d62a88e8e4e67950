package policy

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

// classPlay is one agent whose requests come faster than its servers answer them: each server
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
	free     map[Addr]float64 // when each server has answered all that it was sent
	answerMs float64
	asked    []int
	served   []int // within the aim
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
	p.handle(Event{Kind: EventEndpointList, List: ListCached, Entries: all})
	return p
}

func (p *classPlay) handle(ev Event) { p.do(p.b.Handle(p.now, &ev, nil)) }

func (p *classPlay) do(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ActionSend:
			at := max(p.free[a.Server], p.now) + p.answerMs
			p.free[a.Server] = at
			ev := Event{Kind: EventOutcome, Request: a.Request, Attempt: p.tries[a.Request], Server: a.Server, Status: StatusOK,
				LatencyMs: at - p.now, Final: true}
			if at-p.now > a.DelayMs {
				at, ev.Status, ev.LatencyMs, ev.Final = p.now+a.DelayMs, StatusTimeout, a.DelayMs, false
			}
			p.tries[a.Request]++
			heap.Push(&p.todo, due{at, ev})
		case ActionTimer:
			heap.Push(&p.todo, due{p.now + a.DelayMs, Event{Kind: EventTimer, Token: a.Token}})
		}
	}
}

// play asks perMs requests a ms for so long, of classes drawn alike, and counts what is asked
// and served within the aim.
func (p *classPlay) play(perMs, ms float64) {
	p.asked, p.served = make([]int, len(p.b.classes)), make([]int, len(p.b.classes))
	end := p.now + ms
	next := p.now + p.rng.ExpFloat64()/perMs
	for p.now < end {
		if len(p.todo) > 0 && p.todo[0].at <= next {
			e := heap.Pop(&p.todo).(due)
			p.now = e.at
			if c := p.class[e.ev.Request]; e.ev.Kind == EventOutcome && e.ev.Status == StatusOK &&
				e.ev.LatencyMs <= p.b.classes[c].LatencyObjectiveMs {
				p.served[c]++
			}
			p.handle(e.ev)
			continue
		}
		p.now = next
		next += p.rng.ExpFloat64() / perMs
		p.next++
		c := p.rng.IntN(len(p.b.classes))
		p.class[p.next] = c
		p.asked[c]++
		p.handle(Event{Kind: EventRequest, Request: p.next, Class: c, Key: 1 + p.rng.Uint64N(400),
			TimeLeftMs: p.b.classes[c].DeadlineMs})
	}
}

// share is the part of a class's requests that was served within its aim.
func (p *classPlay) share(class int) float64 {
	return float64(p.served[class]) / float64(p.asked[class])
}

// twoClasses are settings of two classes of equal worth, the first with the shorter aim.
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

// A class whose answers were late while the servers were slow is served again as soon as they
// are quick. Half as much again is asked as the servers can answer, so something is always held.
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
