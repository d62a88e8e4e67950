package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// world plays random clients, endpoints and lists against one Balancer and
// checks the rules from outside, on the actions alone.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	set      Settings
	b        *Balancer
	now      float64
	next     RequestID
	reqs     map[RequestID]*worldReq
	timers   []worldTimer
	list     map[Addr]Entry
	badSince map[Addr]float64 // told that it drains or is gone
	history  []Action
}

type worldTry struct {
	server Addr
	sentAt float64
	endsAt float64
	status Status
	ended  bool
}

type worldReq struct {
	class    int
	deadline float64
	tries    []*worldTry
	final    int
}

type worldTimer struct {
	at    float64
	token uint32
}

func randomSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.Limits.HedgedRequests = rng.IntN(2) == 0
	s.Limits.Cancellation = rng.IntN(2) == 0
	s.Limits.HealthChecks = rng.IntN(2) == 0
	s.Limits.MaxAttempts = 1 + rng.IntN(5)
	s.Classes[2].Group = []Group{GroupAll, GroupZone, GroupCell}[rng.IntN(3)]
	s.Classes[2].IdempotencyWindowMs = 100 + 900*rng.Float64()
	for i := range s.Classes {
		s.Classes[i].LatencyObjectiveMs = 50 + 400*rng.Float64()
		s.Classes[i].LateWeight = []float64{0, 0.2}[rng.IntN(2)]
	}
	s.Membership = []string{MembershipPushed, MembershipOnRequest, MembershipWatched}[rng.IntN(3)]
	s.Contract.SlowStartMs = []float64{500, 10000}[rng.IntN(2)]
	s.Replicas = 1 + rng.IntN(100)
	s.Index = rng.IntN(s.Replicas)
	if rng.IntN(2) == 0 {
		s.Tenants = []Tenant{{Name: "a", QuotaShare: 0.7, QuotaPerS: 100}, {Name: "b", QuotaShare: 0.3, QuotaPerS: 40}}
		s.OverQuotaWeight = 0.1
	}
	s.Clients.MarksRetry = rng.IntN(2) == 0
	return s
}

func (w *world) apply(actions []Action) {
	w.history = append(w.history, actions...)
	for _, action := range actions {
		r := w.reqs[action.Request]
		switch action.Kind {
		case ActionSendAttempt:
			w.checkSend(r, &action)
			ends := w.now + 1 + 150*w.rng.Float64()
			status := []Status{StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusServerError, StatusRejected, StatusTimeout, StatusConnectFailed, StatusReset}[w.rng.IntN(10)]
			if status == StatusTimeout {
				ends = w.now + action.TimeoutMs
			}
			if w.machineFails() {
				status, ends = []Status{StatusLocalFailure, StatusUnreachable}[len(w.reqs)%2], w.now+0.1
			}
			r.tries = append(r.tries, &worldTry{server: action.Server, sentAt: w.now, endsAt: min(ends, w.now+action.TimeoutMs), status: status})
		case ActionRejectRequest, ActionFailRequest:
			if r.final++; r.final > 1 {
				w.t.Fatalf("request %d: a second final answer", action.Request)
			}
			if w.now > r.deadline+w.set.Contract.AnswerSlackMs {
				w.t.Fatalf("request %d answered %.1f ms after its deadline", action.Request, w.now-r.deadline)
			}
			c := w.set.Classes[r.class]
			if action.Kind == ActionRejectRequest && r.mayHaveRun() && (c.Effect == EffectNonIdempotent || c.Effect == EffectIdempotentWithKey && c.Group != GroupAll) {
				w.t.Fatalf("request %d of effect %s refused though it may have run", action.Request, c.Effect)
			}
		case ActionCancelAttempt:
			if !w.set.Limits.Cancellation {
				w.t.Fatal("cancelled where it is not allowed")
			}
			if try := r.tries[action.Attempt]; !try.ended {
				try.status, try.endsAt = StatusCancelled, w.now+5
			}
		case ActionFetchEndpoints:
			if w.set.Membership != MembershipPushed {
				w.t.Fatal("fetched the list where it is followed")
			}
		case ActionCheckHealth:
			if !w.set.Limits.HealthChecks {
				w.t.Fatal("probed where it is not allowed")
			}
		case ActionSetTimer:
			w.timers = append(w.timers, worldTimer{w.now + action.DelayMs, action.Token})
		}
	}
}

// machineFails tells whether the agent's machine can't open connections: in one of eight
// stretches of half a second.
func (w *world) machineFails() bool { return int(w.now/500)%8 == 3 }

func (r *worldReq) mayHaveRun() bool {
	return slices.ContainsFunc(r.tries, func(t *worldTry) bool { return !t.ended || !t.status.NeverRan() })
}

func (w *world) checkSend(r *worldReq, action *Action) {
	c := w.set.Classes[r.class]
	if r.final > 0 || w.now > r.deadline {
		w.t.Fatalf("request %d sent after its end", action.Request)
	}
	counted := 0 // what this machine could not make costs no attempt
	for _, t := range r.tries {
		if !t.ended || t.status != StatusLocalFailure && t.status != StatusUnreachable {
			counted++
		}
	}
	if counted >= w.set.Limits.MaxAttempts {
		w.t.Fatalf("request %d: attempt %d of at most %d", action.Request, counted+1, w.set.Limits.MaxAttempts)
	}
	if since, bad := w.badSince[action.Server]; bad && w.now-since > w.set.Contract.DrainGraceMs {
		w.t.Fatalf("sent to %v %.0f ms after it was told to drain", action.Server, w.now-since)
	}
	for _, t := range r.tries {
		if !t.ended && !w.set.Limits.HedgedRequests {
			w.t.Fatalf("request %d: two attempts out at once", action.Request)
		}
		if t.ended && t.status.NeverRan() {
			continue
		}
		x, y := w.list[t.server], w.list[action.Server]
		switch {
		case c.Effect == EffectNonIdempotent:
			w.t.Fatalf("request %d sent again though it may have run", action.Request)
		case c.Effect == EffectIdempotentWithKey && w.now-t.sentAt > c.IdempotencyWindowMs:
			w.t.Fatalf("request %d sent again %.0f ms after it may have run", action.Request, w.now-t.sentAt)
		case c.Effect == EffectIdempotentWithKey && (c.Group == GroupZone && x.Zone != y.Zone || c.Group == GroupCell && x.Cell != y.Cell):
			w.t.Fatalf("request %d sent again outside its group", action.Request)
		}
	}
}

func (w *world) handle(ev Event) {
	w.apply(w.b.Handle(w.now, ev, nil))
	w.checkSets()
}

func (w *world) step() {
	w.now += w.set.RoundMs
	for i := 0; i < len(w.timers); i++ {
		if t := w.timers[i]; t.at <= w.now {
			w.timers = slices.Delete(w.timers, i, i+1)
			i--
			w.handle(&TimerFired{Token: t.token})
		}
	}
	for id := RequestID(1); id <= w.next; id++ {
		r := w.reqs[id]
		if r == nil {
			continue
		}
		open := false
		for i, t := range r.tries {
			if t.ended {
				continue
			}
			if t.endsAt > w.now {
				open = true
				continue
			}
			t.ended = true
			if t.status == StatusOK {
				r.final++ // a second copy's answer changes nothing
				r.final = min(r.final, 1)
			}
			w.handle(&AttemptEnded{Request: id, Attempt: i, Server: t.server, Status: t.status,
				LatencyMs: w.now - t.sentAt, Final: r.final > 0})
		}
		if r.final == 0 && w.now > r.deadline+w.set.Contract.AnswerSlackMs {
			w.t.Fatalf("request %d of class %d lost: no answer %.0f ms after its deadline", id, r.class, w.now-r.deadline)
		}
		if r.final > 0 && !open && len(r.tries) > 0 && w.now > r.deadline+100 {
			delete(w.reqs, id)
		}
	}
}

func (w *world) changeList() {
	server := addr(w.rng.IntN(8))
	e := Entry{Server: server, Zone: int(server[3]) % 2, Cell: int(server[3]) % 3, Weight: 1 + w.rng.Float64(),
		Health: []Health{HealthReady, HealthReady, HealthDraining, HealthGone}[w.rng.IntN(4)]}
	if w.rng.IntN(3) == 0 {
		e.StartedMs = w.now - 100*w.rng.Float64()
	}
	w.list[server] = e
	if e.Health == HealthReady {
		delete(w.badSince, server)
	} else if _, told := w.badSince[server]; !told {
		w.badSince[server] = w.now
	}
	w.handle(&EndpointsUpdated{Kind: ListDelta, Entries: []Entry{e}})
}

func play(t *testing.T, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &world{t: t, rng: rng, set: randomSettings(rng), now: 5000, reqs: map[RequestID]*worldReq{},
		list: map[Addr]Entry{}, badSince: map[Addr]float64{}}
	var err error
	if w.b, err = New(w.set, seed); err != nil {
		t.Fatal(err)
	}
	w.apply(w.b.Start(w.now, nil))
	for range 10 {
		w.changeList()
	}
	for i := range 1500 {
		w.step()
		for i < 1200 && rng.IntN(3) == 0 {
			w.next++
			left := 20 + 800*rng.Float64()
			class := rng.IntN(len(w.set.Classes))
			w.reqs[w.next] = &worldReq{class: class, deadline: w.now + left}
			w.handle(&RequestArrived{Request: w.next, Class: class, Tenant: rng.IntN(2), Key: uint64(rng.IntN(30)),
				TimeLeftMs: left, HasWorkHint: rng.IntN(2) == 0, WorkHintMs: 100 * rng.Float64(), Retry: rng.IntN(5) == 0})
		}
		switch rng.IntN(40) {
		case 0:
			w.changeList()
		case 1:
			if r := w.reqs[w.next]; r != nil && r.final == 0 {
				r.final = 1
				w.handle(&ClientDisconnected{Request: w.next})
			}
		case 2: // what is unknown or over is ignored
			w.handle(&AttemptEnded{Request: 1 << 30, Server: addr(1), Status: StatusOK})
			w.handle(&ClientDisconnected{Request: 1 << 30})
			w.handle(&TimerFired{Token: 99})
			w.handle(&DiscoveryFailed{})
		}
	}
	if n := len(w.b.queue.open); n != 0 || len(w.b.queue.queued) != 0 || w.b.limiter.inFlight != 0 {
		t.Errorf("seed %d: %d requests, %d held, %d in flight left at the end", seed, n, len(w.b.queue.queued), w.b.limiter.inFlight)
	}
	for _, target := range w.b.endpoints.all {
		if len(target.traffic.inFlight) != 0 {
			t.Errorf("seed %d: server %v keeps %d attempts", seed, target.id, len(target.traffic.inFlight))
		}
	}
	if w.b.limiter.scale < minAttemptsPerEndpoint/attemptsPerEndpoint || len(w.b.limiter.abandoned.all) > maxQueued || w.b.retries.tokens < 0 || w.b.retries.tokens > retryBurst {
		t.Errorf("seed %d: %.1f times its share, a budget of %.1f", seed, w.b.limiter.scale, w.b.retries.tokens)
	}
	if len(w.b.queue.unserved) > maxQueued {
		t.Errorf("seed %d: %d past requests remembered", seed, len(w.b.queue.unserved))
	}
	return w.history
}

func TestRulesHoldOnRandomDays(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}

func TestEqualInputsGiveEqualActions(t *testing.T) {
	for seed := range uint64(5) {
		if !reflect.DeepEqual(play(t, seed), play(t, seed)) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}
