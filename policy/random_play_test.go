package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// randomPlay plays random clients, endpoints and lists against one Balancer and
// checks its guarantees from outside, on the actions alone.
type randomPlay struct {
	t        *testing.T
	rng      *rand.Rand
	set      Settings
	b        *Balancer
	now      float64
	latest   RequestID
	requests map[RequestID]*playedRequest
	timers   []playedTimer
	list     map[Addr]Entry
	unusable map[Addr]float64 // since when each server is listed as draining or gone
	history  []Action
}

type playedAttempt struct {
	server Addr
	sentAt float64
	endsAt float64
	status Status
	ended  bool
}

type playedRequest struct {
	class    int
	deadline float64
	attempts []*playedAttempt
	finals   int
}

type playedTimer struct {
	at    float64
	token uint32
}

// mayHaveRun reports whether some attempt of the request may have run.
func (r *playedRequest) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *playedAttempt) bool { return !a.ended || !a.status.NeverRan() })
}

// randomSettings draws settings that allow and forbid all kinds of things.
func randomSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.Limits.HedgedRequests = rng.IntN(2) == 0
	s.Limits.Cancellation = rng.IntN(2) == 0
	s.Limits.HealthChecks = rng.IntN(2) == 0
	s.Limits.MaxAttempts = 1 + rng.IntN(5)
	s.Classes[keyedClass].Group = []Group{GroupAll, GroupZone, GroupCell}[rng.IntN(3)]
	s.Classes[keyedClass].IdempotencyWindowMs = 100 + 900*rng.Float64()
	for i := range s.Classes {
		s.Classes[i].LatencyObjectiveMs = 50 + 400*rng.Float64()
		s.Classes[i].LateShare = []float64{0, 0.2}[rng.IntN(2)]
	}
	s.Membership = []string{MembershipPushed, MembershipOnRequest, MembershipWatched}[rng.IntN(3)]
	s.Contract.SlowStartMs = []float64{500, 10000}[rng.IntN(2)]
	s.Replicas = 1 + rng.IntN(100)
	s.Index = rng.IntN(s.Replicas)
	if rng.IntN(2) == 0 {
		s.Tenants = []Tenant{{Name: "a", QuotaShare: 0.7, QuotaPerS: 100}, {Name: "b", QuotaShare: 0.3, QuotaPerS: 40}}
		s.OverQuotaFactor = 0.1
	}
	s.Clients.MarksRetry = rng.IntN(2) == 0
	return s
}

// newRandomPlay starts a Balancer of random settings with a random list.
func newRandomPlay(t *testing.T, seed uint64) *randomPlay {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	p := &randomPlay{t: t, rng: rng, set: randomSettings(rng), now: 5000, requests: map[RequestID]*playedRequest{},
		list: map[Addr]Entry{}, unusable: map[Addr]float64{}}
	p.b = newBalancer(t, p.set, seed)
	p.carryOut(p.b.Start(p.now, nil))
	for range 10 {
		p.changeList()
	}
	return p
}

// handle hands in an event, carries out what it leads to and checks the sets.
func (p *randomPlay) handle(event Event) {
	p.carryOut(p.b.Handle(p.now, event, nil))
	checkSets(p.t, p.b)
}

// carryOut checks the actions against the guarantees and carries them out.
func (p *randomPlay) carryOut(actions []Action) {
	p.history = append(p.history, actions...)
	for i := range actions {
		action := &actions[i]
		request := p.requests[action.Request]
		switch action.Kind {
		case ActionSendAttempt:
			p.checkSend(request, action)
			p.send(request, action)
		case ActionRejectRequest, ActionFailRequest:
			request.finals++
			p.checkFinal(request, action)
		case ActionCancelAttempt:
			if !p.set.Limits.Cancellation {
				p.t.Fatal("got an attempt cancelled, want none where it is not allowed")
			}
			if attempt := request.attempts[action.Attempt]; !attempt.ended {
				attempt.status, attempt.endsAt = StatusCancelled, p.now+5
			}
		case ActionFetchEndpoints:
			if p.set.Membership != MembershipPushed {
				p.t.Fatal("got the list fetched, want no fetch where it is watched")
			}
		case ActionCheckHealth:
			if !p.set.Limits.HealthChecks {
				p.t.Fatal("got a health check, want none where it is not allowed")
			}
		case ActionSetTimer:
			p.timers = append(p.timers, playedTimer{p.now + action.DelayMs, action.Token})
		}
	}
}

// send draws how an attempt will end.
func (p *randomPlay) send(request *playedRequest, action *Action) {
	endsAt := p.now + 1 + 150*p.rng.Float64()
	status := []Status{StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusServerError, StatusRejected, StatusTimeout,
		StatusConnectFailed, StatusReset}[p.rng.IntN(10)]
	if status == StatusTimeout {
		endsAt = p.now + action.TimeoutMs
	}
	if p.machineFails() {
		status, endsAt = []Status{StatusLocalFailure, StatusUnreachable}[len(p.requests)%2], p.now+0.1
	}
	request.attempts = append(request.attempts, &playedAttempt{server: action.Server, sentAt: p.now,
		endsAt: min(endsAt, p.now+action.TimeoutMs), status: status})
}

// machineFails reports whether the agent's machine can't open connections: in one of eight
// stretches of half a second.
func (p *randomPlay) machineFails() bool { return int(p.now/500)%8 == 3 }

// step fires the timers and ends the attempts that are due.
func (p *randomPlay) step() {
	p.now += p.set.RoundMs
	for i := 0; i < len(p.timers); i++ {
		if timer := p.timers[i]; timer.at <= p.now {
			p.timers = slices.Delete(p.timers, i, i+1)
			i--
			p.handle(&TimerFired{Token: timer.token})
		}
	}
	for id := RequestID(1); id <= p.latest; id++ {
		request := p.requests[id]
		if request == nil {
			continue
		}
		open := p.endAttempts(id, request)
		if request.finals == 0 && p.now > request.deadline+p.set.Contract.AnswerSlackMs {
			p.t.Fatalf("request %d of class %d: got no answer %.0f ms after its deadline, want one", id, request.class,
				p.now-request.deadline)
		}
		if request.finals > 0 && !open && len(request.attempts) > 0 && p.now > request.deadline+100 {
			delete(p.requests, id)
		}
	}
}

// endAttempts ends the request's attempts that are due, and reports whether any is still in flight.
func (p *randomPlay) endAttempts(id RequestID, request *playedRequest) (open bool) {
	for i, attempt := range request.attempts {
		if attempt.ended {
			continue
		}
		if attempt.endsAt > p.now {
			open = true
			continue
		}
		attempt.ended = true
		if attempt.status == StatusOK {
			request.finals = 1 // the answer of a second attempt changes nothing
		}
		p.handle(&AttemptEnded{Request: id, Attempt: i, Server: attempt.server, Status: attempt.status,
			LatencyMs: p.now - attempt.sentAt, Final: request.finals > 0})
	}
	return open
}

// changeList changes one entry of the list.
func (p *randomPlay) changeList() {
	server := addr(p.rng.IntN(8))
	entry := Entry{Server: server, Zone: int(server[3]) % 2, Cell: int(server[3]) % 3, Weight: 1 + p.rng.Float64(),
		Health: []Health{HealthReady, HealthReady, HealthDraining, HealthGone}[p.rng.IntN(4)]}
	if p.rng.IntN(3) == 0 {
		entry.StartedMs = p.now - 100*p.rng.Float64()
	}
	p.list[server] = entry
	if entry.Health == HealthReady {
		delete(p.unusable, server)
	} else if _, known := p.unusable[server]; !known {
		p.unusable[server] = p.now
	}
	p.handle(&EndpointsUpdated{Kind: ListDelta, Entries: []Entry{entry}})
}

// arrive has a request arrive.
func (p *randomPlay) arrive() {
	p.latest++
	leftMs := 20 + 800*p.rng.Float64()
	class := p.rng.IntN(len(p.set.Classes))
	p.requests[p.latest] = &playedRequest{class: class, deadline: p.now + leftMs}
	p.handle(&RequestArrived{Request: p.latest, Class: class, Tenant: p.rng.IntN(2), Key: uint64(p.rng.IntN(30)),
		TimeLeftMs: leftMs, HasWorkHint: p.rng.IntN(2) == 0, WorkHintMs: 100 * p.rng.Float64(), Retry: p.rng.IntN(5) == 0})
}

// disturb has the list change, a client disconnect, or events come of what is unknown or over.
func (p *randomPlay) disturb() {
	switch p.rng.IntN(40) {
	case 0:
		p.changeList()
	case 1:
		if request := p.requests[p.latest]; request != nil && request.finals == 0 {
			request.finals = 1
			p.handle(&ClientDisconnected{Request: p.latest})
		}
	case 2:
		p.handle(&AttemptEnded{Request: 1 << 30, Server: addr(1), Status: StatusOK})
		p.handle(&ClientDisconnected{Request: 1 << 30})
		p.handle(&TimerFired{Token: 99})
		p.handle(&DiscoveryFailed{})
	}
}
