package policy

import "testing"

// rig drives one Balancer by hand.
type rig struct {
	t   *testing.T
	b   *Balancer
	now float64
	id  RequestID
}

func addr(i int) Addr { return Addr{10, 0, byte(i >> 8), byte(i), 0x13, 0x8b} }

func testSettings() Settings {
	s := Settings{
		Classes: []Class{
			{Name: "free", LatencyObjectiveMs: 300, DeadlineMs: 1000, Effect: EffectIdempotent, PriorityWeight: 1},
			{Name: "once", LatencyObjectiveMs: 300, DeadlineMs: 1000, Effect: EffectNonIdempotent, PriorityWeight: 4},
			{Name: "keyed", LatencyObjectiveMs: 300, DeadlineMs: 1000, Effect: EffectIdempotentWithKey, Group: GroupCell, IdempotencyWindowMs: 500, PriorityWeight: 2},
		},
		Limits: Limits{Cancellation: true, MaxAttempts: 3, MaxRetryAfterMs: 500, HedgedRequests: true,
			ConnectTimeoutMs: 100},
		Contract: Contract{AnswerSlackMs: 20, PollWithinMs: 8000, SlowStartFrom: 0.2, SlowStartMs: 10000, DrainGraceMs: 500,
			OverloadMultiple: 3, OverloadWindowMs: 1000},
		Membership: "pushed", Replicas: 3, RoundMs: 5, WeightBy: "request", Weights: "nominal",
	}
	s.Clients.MarksRetry = true
	return s
}

func newRig(t *testing.T, s Settings, servers int) *rig {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: 1e6}
	b.Start(r.now, nil)
	entries := make([]Entry, servers)
	for i := range entries {
		entries[i] = Entry{Server: addr(i), Health: HealthReady, Weight: 1, Cell: i % 2, Zone: i % 2}
	}
	r.list(ListCached, entries...)
	return r
}

func (r *rig) do(ev Event) []Action { return r.b.Handle(r.now, ev, nil) }

func (r *rig) list(kind ListKind, entries ...Entry) []Action {
	return r.do(&EndpointsUpdated{Kind: kind, Entries: entries})
}

func (r *rig) ask(class int, key uint64) (RequestID, []Action) {
	r.id++
	return r.id, r.do(&RequestArrived{Request: r.id, Class: class, Key: key, TimeLeftMs: 600})
}

func (r *rig) outcome(id RequestID, try int, server Addr, status Status, rtt float64) []Action {
	return r.do(&AttemptEnded{Request: id, Attempt: try, Server: server, Status: status, LatencyMs: rtt, Final: status == StatusOK})
}

func find(actions []Action, kind ActionKind) *Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}

// sent asks once and returns where the request went.
func (r *rig) sent(class int, key uint64) (RequestID, Addr) {
	r.t.Helper()
	id, actions := r.ask(class, key)
	action := find(actions, ActionSendAttempt)
	if action == nil {
		r.t.Fatalf("request %d of class %d was not sent: %+v", id, class, actions)
	}
	return id, action.Server
}

// tick fires the running timer after ms.
func (r *rig) tick(ms float64) []Action {
	r.now += ms
	return r.do(&TimerFired{Token: timerTick})
}

func contains(s, part string) bool {
	for i := 0; i+len(part) <= len(s); i++ {
		if s[i:i+len(part)] == part {
			return true
		}
	}
	return false
}

// quick is a rig whose agent has learnt that answers take 10 ms.
func quick(t *testing.T, set Settings, servers int) *rig {
	t.Helper()
	r := newRig(t, set, servers)
	for range 300 {
		id, server := r.sent(0, uint64(r.b.rng.Int64()))
		r.now += 10
		r.outcome(id, 0, server, StatusOK, 10)
		id, server = r.sent(1, uint64(r.b.rng.Int64()))
		r.now += 10
		r.outcome(id, 0, server, StatusOK, 10)
	}
	r.b.limiter.scale = 1
	return r
}

func near(x, y float64) bool { return x-y < 1e-9 && y-x < 1e-9 }
