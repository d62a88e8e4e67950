package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// fleet plays many agents against a few servers in virtual time, to count what they do
// together. Servers have one core, serve in turn, and slow down when they hold too much
// for too long; agents come by nothing but their own events.
type fleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     float64
	agents  []*fleetAgent
	servers []*fleetServer
	events  fleetEvents
	order   int
	seconds []fleetSecond
	next    RequestID
	workMs  float64
	probes  int
	callMs  float64 // of discovery's work for a call; it takes calls in turn
	discAt  float64 // when it has done all that it was asked
	told    int     // agents that follow the list
}

// fleetSecond counts what happened in one second, all agents together.
type fleetSecond struct {
	asked, won, sends, out, calls, again, opened int
}

type fleetAgent struct {
	b    *Balancer
	rate float64 // requests a ms
	reqs map[RequestID]*fleetReq
}

type fleetReq struct {
	agent   *fleetAgent
	id      RequestID
	cameAt  float64
	tries   int
	final   bool
	retried bool
	out     *fleetTry
}

type fleetTry struct {
	req    *fleetReq
	index  int
	server *fleetServer
	sentAt float64
	over   bool // its agent waits no longer
}

type fleetServer struct {
	addr    Addr
	zone    int
	speed   float64
	bornAt  float64 // cold from here on for coldMs; 0: warm
	down    bool
	queue   []*fleetTry
	busy    bool
	crowded float64 // since when it holds too much; 0: it does not
	choked  bool
	got     []float64 // times at which attempts came
}

type fleetEvent struct {
	at    float64
	order int
	do    func()
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int { return len(e) }
func (e fleetEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e fleetEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)   { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	fleetStart = 1e6
	hop        = 1.5 // ms one way
)

func fleetSettings(agents int) Settings {
	s := testSettings()
	s.Replicas = agents
	s.Limits = Limits{Cancelling: true, Probing: true, MaxAttempts: 5, MaxRetryAfterMs: 2000,
		ConnectTimeoutMs: 250, KeepaliveMs: 15000}
	s.Contract = Contract{AnswerSlackMs: 5, AskWithinMs: 10000, ColdFrom: 0.3, ColdMs: 7000, DrainGraceMs: 1500,
		FallMultiple: 3, TipAfterMs: 1000}
	s.Classes = s.Classes[:1]
	s.Classes[0].GiveUpMs = 1500
	s.Prices = Prices{CrossZone: 0.03, Handshake: 0.08, Probe: 0.08, List: 0.05, Waste: 0.1}
	s.Weights, s.RoundMs = "off", 1
	return s
}

// newFleet makes agents that together ask for load times what the servers can do.
func newFleet(t *testing.T, seed uint64, agents, servers int, load float64) *fleet {
	t.Helper()
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 11)), now: fleetStart, workMs: 30}
	for i := range servers {
		f.servers = append(f.servers, &fleetServer{addr: addr(i), zone: i % 2, speed: 1})
	}
	for i := range agents {
		set := fleetSettings(agents)
		set.Index, set.Zone = i, i%2
		f.agents = append(f.agents, f.agent(set, seed<<16+uint64(i)))
		f.agents[i].rate = load * float64(servers) / f.workMs / float64(agents)
	}
	return f
}

func (f *fleet) agent(set Settings, seed uint64) *fleetAgent {
	b, err := New(set, seed)
	if err != nil {
		f.t.Fatal(err)
	}
	return &fleetAgent{b: b, reqs: map[RequestID]*fleetReq{}}
}

func (f *fleet) at(at float64, do func()) {
	f.order++
	heap.Push(&f.events, fleetEvent{max(at, f.now), f.order, do})
}

// second is the count of the present second.
func (f *fleet) second() *fleetSecond {
	i := int((f.now - fleetStart) / 1000)
	for len(f.seconds) <= i {
		f.seconds = append(f.seconds, fleetSecond{})
	}
	return &f.seconds[i]
}

// list is what discovery says now.
func (f *fleet) list() []Entry {
	var all []Entry
	for _, s := range f.servers {
		e := Entry{Server: s.addr, Zone: s.zone, Cell: s.zone, Health: Ready, Weight: 1, SinceMs: s.bornAt}
		if s.down {
			e.Health = Gone
		}
		all = append(all, e)
	}
	return all
}

func (f *fleet) tell(kind ListKind, entries ...Entry) {
	for _, a := range f.agents {
		f.handle(a, Event{Kind: EvList, List: kind, Entries: entries})
	}
}

// play runs the fleet for so many seconds.
func (f *fleet) play(seconds float64) {
	end := f.now + seconds*1000
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// start boots all agents with the list as it is and lets their clients ask.
func (f *fleet) start() {
	for _, a := range f.agents {
		f.boot(a)
		var ask func()
		ask = func() {
			f.ask(a, f.now, false)
			f.at(f.now+f.rng.ExpFloat64()/a.rate, ask)
		}
		f.at(f.now+f.rng.ExpFloat64()/a.rate, ask)
	}
}

func (f *fleet) boot(a *fleetAgent) {
	f.act(a, a.b.Start(f.now, nil))
	f.handle(a, Event{Kind: EvList, List: ListCached, Entries: f.list()})
}

// ask is a client's request; one that is turned away comes once more after the advice.
func (f *fleet) ask(a *fleetAgent, first float64, retry bool) {
	f.next++
	r := &fleetReq{agent: a, id: f.next, cameAt: first, retried: retry}
	a.reqs[r.id] = r
	if !retry {
		f.second().asked++
	}
	f.handle(a, Event{Kind: EvRequest, Request: r.id, Key: 1 + f.rng.Uint64N(400), LeftMs: 1000, Retry: retry})
	f.at(f.now+1000, func() {
		if !r.final {
			r.final = true
			f.handle(a, Event{Kind: EvDropped, Request: r.id})
		}
	})
}

func (f *fleet) handle(a *fleetAgent, ev Event) { f.act(a, a.b.Handle(f.now, &ev, nil)) }

func (f *fleet) act(a *fleetAgent, actions []Action) {
	for _, act := range actions {
		r := a.reqs[act.Request]
		switch act.Kind {
		case ActSend:
			f.send(r, &act)
		case ActCancel:
			if try := r.out; try != nil && try.index == act.Attempt {
				f.end(try, Cancelled)
			}
		case ActRefuse, ActFail:
			r.final = true
			if !r.retried && act.Kind == ActRefuse {
				f.at(f.now+30+200*f.rng.Float64(), func() { f.ask(a, r.cameAt, true) })
			}
		case ActTimer:
			f.at(f.now+act.Ms, func() { f.handle(a, Event{Kind: EvTimer, Token: act.Token}) })
		case ActProbe:
			f.probes++
			f.probe(a, act.Server)
		case ActFollow, ActFetch:
			f.second().calls++
			f.discAt = max(f.discAt, f.now) + f.callMs
			if wait := f.discAt - f.now; wait > 2000 { // its work is done for nobody
				f.at(f.now+2000, func() { f.handle(a, Event{Kind: EvList, List: ListFailed}) })
			} else {
				f.at(f.discAt, func() {
					f.told++
					f.handle(a, Event{Kind: EvList, List: ListFull, Entries: f.list()})
				})
			}
		}
	}
}

func (f *fleet) server(at Addr) *fleetServer {
	for _, s := range f.servers {
		if s.addr == at {
			return s
		}
	}
	f.t.Fatalf("no server %v", at)
	return nil
}

func (f *fleet) probe(a *fleetAgent, at Addr) {
	s := f.server(at)
	f.at(f.now+2*hop, func() {
		ev := Event{Kind: EvProbed, Server: at, Status: OK, LatencyMs: 2 * hop}
		if s.down {
			ev.Status = ConnectFailed
		}
		f.handle(a, ev)
	})
}

func (f *fleet) send(r *fleetReq, act *Action) {
	s := f.server(act.Server)
	sec := f.second()
	sec.sends++
	if r.tries > 0 {
		sec.again++
	}
	try := &fleetTry{req: r, index: r.tries, server: s, sentAt: f.now}
	r.tries++
	r.out = try
	f.at(f.now+hop, func() {
		s.got = append(s.got, f.now)
		if s.down {
			f.end(try, ConnectFailed)
			return
		}
		if !try.over {
			s.queue = append(s.queue, try)
		}
		out := 0
		for _, o := range f.servers {
			out += len(o.queue)
		}
		sec := f.second()
		sec.out = max(sec.out, out)
		f.serve(s)
	})
	f.at(f.now+act.Ms, func() { f.end(try, Timeout) })
}

// capacity is the part of its full speed at which a server works now.
func (s *fleetServer) capacity(now float64) float64 {
	c := s.speed
	if s.choked {
		c /= 3
	}
	if age := now - s.bornAt; s.bornAt > 0 && age < 7000 {
		c *= 0.3 + 0.7*age/7000
	}
	return c
}

// serve takes the next in turn. A server that holds seven or more for 2 s works three
// times slower until it has been empty.
func (f *fleet) serve(s *fleetServer) {
	if len(s.queue) < 7 {
		s.crowded = 0
	} else if s.crowded == 0 {
		s.crowded = f.now
	}
	if s.crowded > 0 && f.now-s.crowded > 2000 {
		s.choked = true
	}
	if s.busy || s.down {
		return
	}
	if len(s.queue) == 0 {
		s.choked = false
		return
	}
	try := s.queue[0]
	s.busy = true
	f.at(f.now+f.rng.ExpFloat64()*f.workMs/s.capacity(f.now), func() {
		s.busy = false
		if len(s.queue) > 0 && s.queue[0] == try {
			s.queue = s.queue[1:]
			f.at(f.now+hop, func() { f.end(try, OK) })
		}
		f.serve(s)
	})
}

// end is how an attempt ends for its agent; what is no longer waited for is not served.
func (f *fleet) end(try *fleetTry, st Status) {
	if try.over {
		return
	}
	try.over = true
	for i, o := range try.server.queue {
		if o == try && (i > 0 || !try.server.busy) {
			try.server.queue = append(try.server.queue[:i:i], try.server.queue[i+1:]...)
			break
		}
	}
	r := try.req
	r.out = nil
	if st == OK && !r.final {
		r.final = true
		if f.now-r.cameAt <= r.agent.b.set.Classes[0].AimMs {
			f.second().won++
		}
	}
	f.handle(r.agent, Event{Kind: EvOutcome, Request: r.id, Attempt: try.index, Server: try.server.addr,
		Status: st, LatencyMs: f.now - try.sentAt, Final: r.final})
}

// Half the servers vanish, and the rest can't carry what is asked. However many agents
// there are, they go on serving what can be served: a throttle in each that shut on
// failures and opened in step left the servers idle one second and drowned the next.
func TestManyAgentsKeepFewServersBusy(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		f := newFleet(t, seed, 60, 20, 0.75)
		f.start()
		f.play(4)
		var gone []Entry
		for i, s := range f.servers {
			if i%2 == 0 {
				s.down = true
				gone = append(gone, f.list()[i])
			}
		}
		f.play(1)
		f.tell(ListDelta, gone...)
		f.play(10)
		// Ten servers at 30 ms a request, from the third second after on.
		can, won := 10*1000/f.workMs, 0
		for i, s := range f.seconds[8:] {
			won += s.won
			if s.out > 10*8 {
				t.Errorf("seed %d, second %d: %d out at once on 10 servers", seed, i+8, s.out)
			}
		}
		if mean := float64(won) / float64(len(f.seconds[8:])); mean < 0.25*can {
			t.Errorf("seed %d: %.0f a second served in time of %.0f that the servers can do", seed, mean, can)
		}
	}
}

// sent counts the attempts that came to a server since a time.
func (s *fleetServer) sent(since float64) int {
	n := 0
	for _, at := range s.got {
		if at >= since {
			n++
		}
	}
	return n
}

// A quarter of the servers is slow. Each agent meets each server once in seconds, and
// still the slow ones must get what they can do, not an even share.
func TestSlowServersGetLessThoughSeldomMet(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		f := newFleet(t, seed, 60, 20, 0.5)
		for _, s := range f.servers[:5] {
			s.speed = 0.3
		}
		f.start()
		f.play(5)
		since := f.now
		f.play(10)
		slow, others := 0, 0
		for i, s := range f.servers {
			if i < 5 {
				slow += s.sent(since)
			} else {
				others += s.sent(since)
			}
		}
		if part := float64(slow) / 5 / (float64(others) / 15); part > 0.5 {
			t.Errorf("seed %d: a slow server gets %.2f of what another gets", seed, part)
		}
	}
}

// Eighty agents start at once, and discovery serves fifteen calls a second in turn. All of
// them get the list at their first call and before it counts as told, as they come one after
// the other; when they came within a second, and fetched it besides after each failure, most
// never did.
func TestAgentsTakeTurnsAtDiscovery(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		f := newFleet(t, seed, 80, 20, 0.5)
		f.callMs = 1000.0 / 15
		for i, a := range f.agents {
			set := a.b.set
			set.Membership = OnRequest
			rate := a.rate
			f.agents[i] = f.agent(set, seed<<16+uint64(i))
			f.agents[i].rate = rate
		}
		f.servers[0].down = true // so that there are failures to refetch for
		f.start()
		f.play(6)
		if f.told != 80 {
			t.Errorf("seed %d: %d of 80 agents were told the list within 6 s", seed, f.told)
		}
		f.play(6)
		calls := 0
		for _, s := range f.seconds {
			calls += s.calls
		}
		if calls != 80 {
			t.Errorf("seed %d: 80 agents called %d times", seed, calls)
		}
	}
}

// Agents and their restarts don't wait alike after a failed call.
func TestFailedCallsAreSpread(t *testing.T) {
	waits := map[float64]int{}
	for i := range 20 {
		for seed := range uint64(5) {
			set := fleetSettings(20)
			set.Membership, set.Index = OnRequest, i
			b, err := New(set, seed<<8+uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Start(fleetStart, nil)
			for failure := range 8 {
				a := find(b.Handle(fleetStart, &Event{Kind: EvList, List: ListFailed}, nil), ActTimer)
				if a == nil || a.Ms < 500 || a.Ms > set.Contract.AskWithinMs {
					t.Fatalf("failure %d: asks again by %+v", failure, a)
				}
				waits[a.Ms]++
			}
		}
	}
	if len(waits) != 20*5*8 {
		t.Errorf("%d different waits of %d", len(waits), 20*5*8)
	}
}

// Six of twenty servers are replaced at once while the rest is busy. All agents together
// send each new one far less than would push it over in any second, and yet a fair part of
// what it can do: what is left out would crowd the others.
func TestColdServersAreUsedAndNotPushedOver(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		f := newFleet(t, seed, 60, 20, 0.7)
		f.start()
		f.play(6)
		born := f.now
		for _, s := range f.servers[:6] {
			s.bornAt = born
		}
		f.tell(ListDelta, f.list()[:6]...)
		f.play(6)
		c := &f.agents[0].b.set.Contract
		used := 0
		for i, s := range f.servers[:6] {
			used += s.sent(born)
			for at := born; at < f.now-c.TipAfterMs; at += 50 {
				can := s.capacity(at) * c.TipAfterMs / f.workMs
				if got := s.sent(at) - s.sent(at+c.TipAfterMs); float64(got) > 0.8*c.FallMultiple*can {
					t.Fatalf("seed %d: server %d got %d in the second after %.0f ms, when it could do %.0f",
						seed, i, got, at-born, can)
				}
			}
		}
		// 0.6 of its capacity on the mean of its first six seconds.
		if part := float64(used) / 6 / (0.6 * 6000 / f.workMs); part < 0.28 {
			t.Errorf("seed %d: cold servers were sent %.2f of what they could do", seed, part)
		}
	}
}

// However many agents there are, each asks within the time after which the contract takes
// it as told.
func TestTurnsFitTheContract(t *testing.T) {
	for _, index := range []int{0, 500, 999} {
		set := fleetSettings(1000)
		set.Membership, set.Index = OnRequest, index
		b, err := New(set, uint64(index))
		if err != nil {
			t.Fatal(err)
		}
		if a := find(b.Start(fleetStart, nil), ActTimer); a == nil || a.Ms >= set.Contract.AskWithinMs {
			t.Errorf("agent %d of 1000 asks first by %+v", index, a)
		}
	}
}

// caller is one agent of a fleet where discovery is one service for all.
func caller(t *testing.T, mode string, index, agents int) *Balancer {
	t.Helper()
	set := testSettings()
	set.Membership, set.Index, set.Replicas = mode, index, agents
	set.Contract.AskWithinMs = 10000
	b, err := New(set, uint64(index))
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0, nil)
	return b
}

// after tells the agent at now how its call went, and gives the wait before the next one.
func after(t *testing.T, b *Balancer, now float64, how ListKind) float64 {
	t.Helper()
	a := find(b.Handle(now, &Event{Kind: EvList, List: how}, nil), ActTimer)
	if a == nil || a.Token != followToken {
		t.Fatalf("no call follows: %+v", a)
	}
	return a.Ms
}

// call lets the agent make its next call at now.
func call(t *testing.T, b *Balancer, now float64) {
	t.Helper()
	if find(b.Handle(now, &Event{Kind: EvTimer, Token: followToken}, nil), ActFollow) == nil {
		t.Fatal("the agent does not call")
	}
}

// A watch that has lived and ended is opened anew while what it misses does not yet count
// as told: 6 s after it fell silent, of which noticing takes 3 and a call up to 2. So in
// either mode, however large the fleet and however often it happens.
func TestLostWatchIsOpenedAnewInTime(t *testing.T) {
	for _, mode := range []string{OnRequest, Watched} {
		for _, agents := range []int{1, 6, 300, 2000} {
			b := caller(t, mode, agents-1, agents)
			spans := map[bool]int{}
			for i := range 200 {
				now := float64(i) * 5000
				call(t, b, now)
				wait := after(t, b, now+3000, ListLost) // no word but the first
				if wait > 1000 {
					t.Fatalf("%s, %d agents: after a lost watch a wait of %v ms", mode, agents, wait)
				}
				spans[wait > min(callGap*float64(agents), 1000)/2]++
			}
			if mode == OnRequest && (spans[true] < 60 || spans[false] < 60) {
				t.Fatalf("%d agents call in step: %v", agents, spans)
			}
		}
	}
}

// A watch that tells and ends at once is opened anew as soon as any, the first time: what it
// should have told counts soon. Each further time waits longer, as long as that still counts
// by the contract, or discovery would be called for ever.
func TestWatchThatEndsAsSoonAsItHasTold(t *testing.T) {
	for _, agents := range []int{4, 300, 2000} {
		b := caller(t, OnRequest, agents-1, agents)
		for range 5 { // discovery is down
			call(t, b, 0)
			after(t, b, 2000, ListFailed)
		}
		last := 0.0
		for i := range 6 {
			now := 10000 * float64(i+1)
			call(t, b, now)
			b.Handle(now+200, &Event{Kind: EvList, List: ListDelta}, nil) // nothing new
			wait := after(t, b, now+1200, ListLost)
			most, least := 1000*math.Pow(2, max(float64(i-1), 0)), last/2
			if wait > min(most, toldWithin-callMost-1200) || wait < min(least, 500) {
				t.Fatalf("%d agents: a wait of %v ms after %d watches that ended at once", agents, wait, i+1)
			}
			last = wait
		}
	}
}

// Whatever went wrong before, an agent is told 6 s after discovery could be reached: what a
// call still took that failed just as discovery came back, the wait after it and the next
// call, which may wait for 2 s, are together shorter. So in a fleet of any size, after any
// number of failures, at a discovery that refuses at once or hangs, and for the first call.
// And the agents don't come back together: of any fifth of the last wait no more than
// three fifths of them call in it.
func TestCallsHoldTheContractInAFleetOfAnySize(t *testing.T) {
	for _, agents := range []int{4, 300, 2000} {
		for _, took := range []float64{0, 2000, 2500} {
			var waits []float64
			for index := range agents {
				set := testSettings()
				set.Membership, set.Index, set.Replicas = OnRequest, index, agents
				b, err := New(set, uint64(index))
				if err != nil {
					t.Fatal(err)
				}
				now := 0.0
				if a := find(b.Start(now, nil), ActTimer); a == nil || a.Ms+callMost > 6000-callMargin {
					t.Fatalf("agent %d of %d calls first by %+v", index, agents, a)
				}
				for failure := range 8 {
					call(t, b, now)
					now += took
					wait := after(t, b, now, ListFailed)
					if took+wait+callMost > 6000-callMargin+1e-6 {
						t.Fatalf("%d agents, calls take %v ms: failure %d waits for %v ms", agents, took, failure, wait)
					}
					if wait < 500 {
						t.Fatalf("%d agents: a wait of %v ms", agents, wait)
					}
					now += wait
					if failure == 7 {
						waits = append(waits, wait)
					}
				}
			}
			if agents < 300 {
				continue
			}
			slices.Sort(waits)
			fifth := waits[len(waits)-1] / 5
			for i, w := range waits {
				if j, _ := slices.BinarySearch(waits, w+fifth); j-i > agents*3/5 {
					t.Fatalf("%d of %d agents call within %v ms", j-i, agents, fifth)
				}
			}
		}
	}
}

// What the agent's own discovery has when it is back counts as told at once: no wait before
// a call may take the drains' grace, however many calls have failed.
func TestLocalDiscoveryIsCalledOften(t *testing.T) {
	set := testSettings()
	set.Membership = Watched
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0, nil)
	for i := range 50 {
		a := find(b.Handle(float64(i), &Event{Kind: EvList, List: ListFailed}, nil), ActTimer)
		if a == nil || a.Token != followToken || a.Ms > 500 {
			t.Fatalf("after %d failed calls %+v", i+1, a)
		}
	}
}
