package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// randomRun simulates random clients, endpoints and endpoint lists for one Balancer. It checks the
// Balancer's guarantees by its actions alone.
type randomRun struct {
	t        *testing.T
	rng      *rand.Rand
	settings Settings
	b        *Balancer
	now      float64
	latest   RequestID
	requests map[RequestID]*simulatedRequest
	timers   []simulatedTimer
	list     map[Addr]Entry
	unusable map[Addr]float64 // since when each server is listed as draining or gone
	history  []Action
}

type simulatedAttempt struct {
	server Addr
	sentAt float64
	endsAt float64
	status Status
	ended  bool
}

type simulatedRequest struct {
	class    int
	deadline float64
	attempts []*simulatedAttempt
	finals   int
}

type simulatedTimer struct {
	at    float64
	token uint32
}

// mayHaveRun reports whether some attempt of the request may have run.
func (r *simulatedRequest) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *simulatedAttempt) bool { return !a.ended || !a.status.NeverRan() })
}

// randomSettings returns random settings, with optional features switched on and off at random.
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

// newRandomRun starts a Balancer with random settings and a random endpoint list.
func newRandomRun(t *testing.T, seed uint64) *randomRun {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	r := &randomRun{t: t, rng: rng, settings: randomSettings(rng), now: 5000, requests: map[RequestID]*simulatedRequest{},
		list: map[Addr]Entry{}, unusable: map[Addr]float64{}}
	r.b = newBalancer(t, r.settings, seed)
	r.execute(r.b.Start(r.now, nil))
	for range 10 {
		r.changeList()
	}
	return r
}

// handle passes an event to the Balancer, executes the resulting actions and checks the endpoint sets.
func (r *randomRun) handle(event Event) {
	r.execute(r.b.Handle(r.now, event, nil))
	checkSets(r.t, r.b)
}

// execute checks the actions against the guarantees and executes them.
func (r *randomRun) execute(actions []Action) {
	r.history = append(r.history, actions...)
	for i := range actions {
		action := &actions[i]
		request := r.requests[action.Request]
		switch action.Kind {
		case ActionSendAttempt:
			r.checkSend(request, action)
			r.send(request, action)
		case ActionRejectRequest, ActionFailRequest:
			request.finals++
			r.checkFinal(request, action)
		case ActionCancelAttempt:
			if !r.settings.Limits.Cancellation {
				r.t.Fatal("got an attempt cancelled, want none where it is not allowed")
			}
			if attempt := request.attempts[action.Attempt]; !attempt.ended {
				attempt.status, attempt.endsAt = StatusCancelled, r.now+5
			}
		case ActionFetchEndpoints:
			if r.settings.Membership != MembershipPushed {
				r.t.Fatal("got the list fetched, want no fetch where it is watched")
			}
		case ActionCheckHealth:
			if !r.settings.Limits.HealthChecks {
				r.t.Fatal("got a health check, want none where it is not allowed")
			}
		case ActionSetTimer:
			r.timers = append(r.timers, simulatedTimer{r.now + action.DelayMs, action.Token})
		}
	}
}

// send starts an attempt with a random outcome.
func (r *randomRun) send(request *simulatedRequest, action *Action) {
	endsAt := r.now + 1 + 150*r.rng.Float64()
	status := []Status{StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusServerError, StatusRejected, StatusTimeout,
		StatusConnectFailed, StatusReset}[r.rng.IntN(10)]
	if status == StatusTimeout {
		endsAt = r.now + action.TimeoutMs
	}
	if r.machineFails() {
		status, endsAt = []Status{StatusLocalFailure, StatusUnreachable}[len(r.requests)%2], r.now+0.1
	}
	request.attempts = append(request.attempts, &simulatedAttempt{server: action.Server, sentAt: r.now,
		endsAt: min(endsAt, r.now+action.TimeoutMs), status: status})
}

// machineFails reports whether the agent's machine can't open connections. That is so in one of every
// eight periods of half a second.
func (r *randomRun) machineFails() bool { return int(r.now/500)%8 == 3 }

// step advances the clock by one round, fires the timers and ends the attempts that are due.
func (r *randomRun) step() {
	r.now += r.settings.RoundMs
	for i := 0; i < len(r.timers); i++ {
		if timer := r.timers[i]; timer.at <= r.now {
			r.timers = slices.Delete(r.timers, i, i+1)
			i--
			r.handle(&TimerFired{Token: timer.token})
		}
	}
	for id := RequestID(1); id <= r.latest; id++ {
		request := r.requests[id]
		if request == nil {
			continue
		}
		open := r.endAttempts(id, request)
		if request.finals == 0 && r.now > request.deadline+r.settings.Contract.AnswerSlackMs {
			r.t.Fatalf("request %d of class %d: got no answer %.0f ms after its deadline, want one", id, request.class,
				r.now-request.deadline)
		}
		if request.finals > 0 && !open && len(request.attempts) > 0 && r.now > request.deadline+100 {
			delete(r.requests, id)
		}
	}
}

// endAttempts ends the request's attempts that are due, and reports whether any is still in flight.
func (r *randomRun) endAttempts(id RequestID, request *simulatedRequest) (open bool) {
	for i, attempt := range request.attempts {
		if attempt.ended {
			continue
		}
		if attempt.endsAt > r.now {
			open = true
			continue
		}
		attempt.ended = true
		if attempt.status == StatusOK {
			request.finals = 1 // an answer to a second attempt is no further final answer
		}
		r.handle(&AttemptEnded{Request: id, Attempt: i, Server: attempt.server, Status: attempt.status,
			LatencyMs: r.now - attempt.sentAt, Final: request.finals > 0})
	}
	return open
}

// changeList changes one entry of the list.
func (r *randomRun) changeList() {
	server := addr(r.rng.IntN(8))
	entry := Entry{Server: server, Zone: int(server[3]) % 2, Cell: int(server[3]) % 3, Weight: 1 + r.rng.Float64(),
		Health: []Health{HealthReady, HealthReady, HealthDraining, HealthGone}[r.rng.IntN(4)]}
	if r.rng.IntN(3) == 0 {
		entry.StartedMs = r.now - 100*r.rng.Float64()
	}
	r.list[server] = entry
	if entry.Health == HealthReady {
		delete(r.unusable, server)
	} else if _, known := r.unusable[server]; !known {
		r.unusable[server] = r.now
	}
	r.handle(&EndpointsUpdated{Kind: ListDelta, Entries: []Entry{entry}})
}

// arrive simulates the arrival of a random request.
func (r *randomRun) arrive() {
	r.latest++
	leftMs := 20 + 800*r.rng.Float64()
	class := r.rng.IntN(len(r.settings.Classes))
	r.requests[r.latest] = &simulatedRequest{class: class, deadline: r.now + leftMs}
	r.handle(&RequestArrived{Request: r.latest, Class: class, Tenant: r.rng.IntN(2), Key: uint64(r.rng.IntN(30)),
		TimeLeftMs: leftMs, HasWorkHint: r.rng.IntN(2) == 0, WorkHintMs: 100 * r.rng.Float64(), Retry: r.rng.IntN(5) == 0})
}

// injectEvent sometimes changes the endpoint list, disconnects a client, or sends events about unknown
// or finished requests and timers.
func (r *randomRun) injectEvent() {
	switch r.rng.IntN(40) {
	case 0:
		r.changeList()
	case 1:
		if request := r.requests[r.latest]; request != nil && request.finals == 0 {
			request.finals = 1
			r.handle(&ClientDisconnected{Request: r.latest})
		}
	case 2:
		r.handle(&AttemptEnded{Request: 1 << 30, Server: addr(1), Status: StatusOK})
		r.handle(&ClientDisconnected{Request: 1 << 30})
		r.handle(&TimerFired{Token: 99})
		r.handle(&DiscoveryFailed{})
	}
}
