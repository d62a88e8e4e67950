package policy

import "testing"

// The classes of testSettings, by index.
const (
	idempotentClass = iota
	nonIdempotentClass
	keyedClass
)

// harness drives one Balancer in a test: it passes in events at a simulated time.
type harness struct {
	t   *testing.T
	b   *Balancer
	now float64   // ms
	id  RequestID // id of the latest request
}

// addr returns the address of the server with the number i.
func addr(i int) Addr { return Addr{10, 0, byte(i >> 8), byte(i), 0x13, 0x8b} }

// ready returns the entry in the endpoint list of server i, with the health ready.
func ready(i int) Entry { return Entry{Server: addr(i), Health: HealthReady, Weight: 1} }

// startedAt returns the entry with the given start of its process, in ms.
func startedAt(entry Entry, startedMs float64) Entry {
	entry.StartedMs = startedMs
	return entry
}

// startedEntries returns the entries of ready servers whose processes started at startedMs; 0: long
// past.
func startedEntries(servers int, startedMs float64) []Entry {
	entries := make([]Entry, servers)
	for i := range entries {
		entries[i] = startedAt(ready(i), startedMs)
	}
	return entries
}

// testSettings returns the settings of one of three agents, with a class of each effect.
func testSettings() Settings {
	s := Settings{
		Classes: []Class{
			{Name: "idempotent", LatencyObjectiveMs: 300, DeadlineMs: 1000, Effect: EffectIdempotent, PriorityWeight: 1},
			{Name: "non-idempotent", LatencyObjectiveMs: 300, DeadlineMs: 1000, Effect: EffectNonIdempotent, PriorityWeight: 4},
			{Name: "keyed", LatencyObjectiveMs: 300, DeadlineMs: 1000, Effect: EffectIdempotentWithKey, Group: GroupCell,
				IdempotencyWindowMs: 500, PriorityWeight: 2},
		},
		Limits: Limits{Cancellation: true, MaxAttempts: 3, MaxRetryAfterMs: 500, HedgedRequests: true,
			ConnectTimeoutMs: 100},
		Contract: Contract{AnswerSlackMs: 20, MaxListAgeMs: 8000, InitialCapacity: 0.2, SlowStartMs: 10000, DrainGraceMs: 500,
			OverloadMultiple: 3, OverloadWindowMs: 1000},
		Membership: MembershipPushed, Replicas: 3, RoundMs: 5, PriorityUnit: "request", Weights: "nominal",
	}
	s.Clients.MarksRetry = true
	return s
}

// fleetStart is the clock time, in ms, at which an agent with fleetSettings starts.
const fleetStart = 1e6

// fleetSettings returns the settings of one agent in a fleet of the given number.
func fleetSettings(agents int) Settings {
	s := testSettings()
	s.Replicas = agents
	s.Limits = Limits{Cancellation: true, HealthChecks: true, MaxAttempts: 5, MaxRetryAfterMs: 2000,
		ConnectTimeoutMs: 250, KeepaliveMs: 15000}
	s.Contract = Contract{AnswerSlackMs: 5, MaxListAgeMs: 10000, InitialCapacity: 0.3, SlowStartMs: 7000, DrainGraceMs: 1500,
		OverloadMultiple: 3, OverloadWindowMs: 1000}
	s.Classes = s.Classes[:1]
	s.Classes[idempotentClass].DeadlineMs = 1500
	s.Prices = Prices{CrossZone: 0.03, Handshake: 0.08, HealthCheck: 0.08, Membership: 0.05, Waste: 0.1}
	s.Weights, s.RoundMs = "off", 1
	return s
}

// newBalancer returns a Balancer with the given settings, which must be valid.
func newBalancer(t *testing.T, set Settings, seed uint64) *Balancer {
	t.Helper()
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// newHarness returns a harness whose Balancer has started with the given number of ready servers. They
// alternate between zone and cell 0 and zone and cell 1.
func newHarness(t *testing.T, set Settings, servers int) *harness {
	t.Helper()
	h := &harness{t: t, b: newBalancer(t, set, 1), now: 1e6}
	h.b.Start(h.now, nil)
	entries := startedEntries(servers, 0)
	for i := range entries {
		entries[i].Cell, entries[i].Zone = i%2, i%2
	}
	h.updateEndpoints(ListCached, entries...)
	return h
}

// newWarmingHarness returns a harness whose Balancer has started with the given number of servers,
// whose processes have all just started.
func newWarmingHarness(t *testing.T, set Settings, servers int) *harness {
	t.Helper()
	h := newHarness(t, set, 0)
	h.updateEndpoints(ListFull, startedEntries(servers, h.now)...)
	return h
}

// newTrainedHarness returns a harness whose Balancer expects answers after 10 ms.
func newTrainedHarness(t *testing.T, set Settings, servers int) *harness {
	t.Helper()
	h := newHarness(t, set, servers)
	for range 300 {
		h.serve(idempotentClass, h.randomKey(), 10)
		h.serve(nonIdempotentClass, h.randomKey(), 10)
	}
	h.b.limiter.scale = 1
	return h
}

// liftLimit makes the agent's concurrency limit so high that it never applies.
func (h *harness) liftLimit() { h.b.limiter.scale = 1e6 }

// randomKey returns a key that no other request has.
func (h *harness) randomKey() uint64 { return h.b.rng.Uint64() }

// endpoint returns the agent's state of the server with the number i.
func (h *harness) endpoint(i int) *endpoint { return h.endpointAt(addr(i)) }

// endpointAt returns the agent's state of a server.
func (h *harness) endpointAt(server Addr) *endpoint { return h.b.endpoints.byAddr[server] }

// handle passes in an event and returns the resulting actions.
func (h *harness) handle(event Event) []Action { return h.b.Handle(h.now, event, nil) }

// updateEndpoints passes in an endpoint list.
func (h *harness) updateEndpoints(kind ListKind, entries ...Entry) []Action {
	return h.handle(&EndpointsUpdated{Kind: kind, Entries: entries})
}

// arrive passes in a new request whose client waits for 600 ms.
func (h *harness) arrive(class int, key uint64) (RequestID, []Action) {
	h.id++
	return h.id, h.handle(&RequestArrived{Request: h.id, Class: class, Key: key, TimeLeftMs: 600})
}

// endAttempt passes in the end of an attempt. With StatusOK the request is finished.
func (h *harness) endAttempt(id RequestID, attempt int, server Addr, status Status, latencyMs float64) []Action {
	return h.handle(&AttemptEnded{Request: id, Attempt: attempt, Server: server, Status: status, LatencyMs: latencyMs,
		Final: status == StatusOK})
}

// mustSend passes in a new request and returns the server that it is sent to. It fails the test if the
// request is not sent at once.
func (h *harness) mustSend(class int, key uint64) (RequestID, Addr) {
	h.t.Helper()
	id, actions := h.arrive(class, key)
	send := findAction(actions, ActionSendAttempt)
	if send == nil {
		h.t.Fatalf("request %d of class %d: got %+v, want it sent", id, class, actions)
	}
	return id, send.Server
}

// serve passes in a new request and its answer after latencyMs, and returns the server.
func (h *harness) serve(class int, key uint64, latencyMs float64) Addr {
	h.t.Helper()
	id, server := h.mustSend(class, key)
	h.now += latencyMs
	h.endAttempt(id, 0, server, StatusOK, latencyMs)
	return server
}

// serveAtOnce is like serve, but no time passes on the agent's clock.
func (h *harness) serveAtOnce(class int, key uint64, latencyMs float64) Addr {
	h.t.Helper()
	id, server := h.mustSend(class, key)
	h.endAttempt(id, 0, server, StatusOK, latencyMs)
	return server
}

// tick advances the clock by ms and fires the timer of timerTick.
func (h *harness) tick(ms float64) []Action {
	h.now += ms
	return h.handle(&TimerFired{Token: timerTick})
}

// findAction returns the first action of the kind, or nil if there is none.
func findAction(actions []Action, kind ActionKind) *Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}

// near reports whether two numbers are equal except for rounding errors.
func near(x, y float64) bool { return x-y < 1e-9 && y-x < 1e-9 }
