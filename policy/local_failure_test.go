package policy

import "testing"

// machine plays agents' machines that fail attempts for a time.
type machine struct {
	*rig
	status  Status
	until   float64
	failed  int // attempts that failed so
	sent    int
	servers map[Addr]int // attempts that went out after that, by endpoint
	refused int
}

// carry answers each attempt at once: as the machine fails it, or OK.
func (m *machine) carry(actions []Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action.Kind {
		case ActionSendAttempt:
			m.sent++
			number := m.b.queue.open[action.Request].tries.sent - 1
			if m.now < m.until {
				m.failed++
				actions = append(actions, m.outcome(action.Request, number, action.Server, m.status, 0.1)...)
				continue
			}
			m.servers[action.Server]++
			actions = append(actions, m.outcome(action.Request, number, action.Server, StatusOK, 20)...)
		case ActionRejectRequest, ActionFailRequest:
			m.refused++
		}
	}
}

// long asks with much time left.
func (m *machine) long(class int) (RequestID, []Action) {
	m.id++
	return m.id, m.do(&RequestArrived{Request: m.id, Class: class, TimeLeftMs: 20000})
}

// playFailingMachine has requests come at once at an agent of four endpoints whose machine fails
// for so many ms.
func playFailingMachine(t *testing.T, status Status, requests int, ms float64) *machine {
	set := testSettings()
	for i := range set.Classes {
		set.Classes[i].LatencyObjectiveMs, set.Classes[i].DeadlineMs, set.Classes[i].IdempotencyWindowMs = 15000, 30000, 10000
	}
	m := &machine{rig: newRig(t, set, 4), status: status, servers: map[Addr]int{}}
	m.b.limiter.scale = 1e6 // the agent's own limit is not at issue
	m.until = m.now + ms
	for range requests {
		_, actions := m.long(int(m.id) % 3)
		m.carry(actions)
	}
	for end := m.until + 1000; m.now < end; {
		m.carry(m.tick(1))
	}
	return m
}

// Attempts that this machine can't make cost nothing: no request is rejected for them, no endpoint
// is blamed, nothing is taken from limit and retry budget, and they are few.
func TestAttemptsThatThisMachineFails(t *testing.T) {
	for _, status := range []Status{StatusLocalFailure, StatusUnreachable} {
		for _, ms := range []float64{100, 5000} {
			m := playFailingMachine(t, status, 200, ms)
			if n := m.sent - m.failed; n != 200 || m.refused != 0 {
				t.Errorf("%d, %v ms: %d of 200 requests got through, %d refused", status, ms, n, m.refused)
			}
			// One backoff is 5 ms at the least and 10 ms after the first; two more went out before
			// it was known that the machine is at fault.
			if most := int(ms/lastLocalBackoffMs) + 4; m.failed > most {
				t.Errorf("%d, %v ms: %d attempts failed, at most %d wanted", status, ms, m.failed, most)
			}
			if m.b.retries.tokens != retryBurst || m.b.limiter.scale < 1e6 {
				t.Errorf("%d, %v ms: a retry budget of %v and a limit of %v times its floor are left",
					status, ms, m.b.retries.tokens, m.b.limiter.scale)
			}
			for _, target := range m.b.endpoints.all {
				if target.health.state > StateUnknown || target.health.unreachableAt != 0 || target.health.failureRate != 0 || target.health.consecutiveEjections != 0 || target.traffic.abandoned != 0 {
					t.Errorf("%d, %v ms: server %v was blamed: %+v", status, ms, target.id, target)
				}
			}
			if len(m.b.queue.open) != 0 || m.b.limiter.inFlight != 0 || m.b.local.row != 0 || len(m.b.local.trials) != 0 {
				t.Errorf("%d, %v ms: left over: %d requests, %d out, %+v", status, ms, len(m.b.queue.open), m.b.limiter.inFlight, m.b.local)
			}
		}
	}
}

// A request whose time ends while this machine fails never ran: it is rejected, with when to come
// back, whatever its class, and after more attempts than the class may have.
func TestRejectedWhileThisMachineFails(t *testing.T) {
	for class := range 3 {
		r := newRig(t, testSettings(), 4)
		id, actions := r.ask(class, 0)
		sends := 0
		for range 200 {
			for i := 0; i < len(actions); i++ {
				switch action := actions[i]; action.Kind {
				case ActionSendAttempt:
					actions = append(actions, r.outcome(id, sends, action.Server, StatusLocalFailure, 0.1)...)
					sends++
				case ActionFailRequest:
					t.Errorf("class %d: failed", class)
				case ActionRejectRequest:
					if action.RetryAfterMs <= 0 || sends <= r.b.set.Limits.MaxAttempts {
						t.Errorf("class %d: refused for %v ms after %d attempts", class, action.RetryAfterMs, sends)
					}
					id = 0
				}
			}
			if id == 0 {
				break
			}
			actions = r.tick(5)
		}
		if id != 0 || len(r.b.queue.open) != 0 || len(r.b.queue.queued) != 0 {
			t.Errorf("class %d: never answered", class)
		}
	}
}

// The only endpoint is tried again after a failure of this machine, and a warming one gets the work
// back that its slow start paid for.
func TestEndpointIsTriedAgainAfterLocalFailure(t *testing.T) {
	r := newRig(t, testSettings(), 0)
	r.list(ListFull, Entry{Server: addr(0), Health: HealthReady, Weight: 1, StartedMs: r.now - 100},
		Entry{Server: addr(1), Health: HealthDraining, Weight: 1})
	target := r.b.endpoints.byAddr[addr(0)]
	target.slowStart.allowance = 5
	id, _ := r.sent(1, 0)
	if target.slowStart.allowance >= 5 {
		t.Fatal("its slow start was charged nothing")
	}
	r.outcome(id, 0, target.id, StatusLocalFailure, 0.1)
	if target.slowStart.allowance != 5 {
		t.Errorf("a credit of %v is left of 5", target.slowStart.allowance)
	}
	for range 10 {
		if action := find(r.tick(5), ActionSendAttempt); action != nil {
			if action.Server != target.id || action.Request != id {
				t.Errorf("sent %+v", action)
			}
			return
		}
	}
	t.Error("not tried again")
}

// A failure of long ago holds nothing back, though no trial was made since.
func TestLocalFailureIsForgotten(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	id, server := r.sent(0, 0)
	r.outcome(id, 0, server, StatusLocalFailure, 0.1)
	r.do(&ClientDisconnected{Request: id})
	r.now += 60000
	r.sent(0, 0)
	r.sent(0, 0)
}

// One endpoint that can't be reached is at fault itself, as are two of five.
func TestServersThatCannotBeReached(t *testing.T) {
	r := newRig(t, testSettings(), 5)
	r.b.limiter.scale = 1e6
	lost := map[Addr]bool{addr(0): true, addr(1): true}
	for range 200 {
		r.now += 3
		id, actions := r.ask(0, 0)
		for try := 0; ; try++ {
			action := find(actions, ActionSendAttempt)
			if action == nil {
				break
			}
			status := StatusOK
			if lost[action.Server] {
				status = StatusUnreachable
			}
			actions = r.outcome(id, try, action.Server, status, 1)
		}
	}
	for _, target := range r.b.endpoints.all {
		if lost[target.id] != (target.health.state > StateUnknown) || lost[target.id] && target.health.unreachableAt == 0 {
			t.Errorf("server %v, lost %v, is in state %d", target.id, lost[target.id], target.health.state)
		}
	}
}

// Trials that do not fail let attempts go out freely again, step by step: those that are
// answered, and those that are out for so long that they must have a connection.
func TestTrialsAfterLocalFailure(t *testing.T) {
	for _, answered := range []bool{true, false} {
		m := playFailingMachine(t, StatusLocalFailure, 0, 0)
		for _, target := range m.b.endpoints.all {
			target.window.size = 1e6 // capacity is not at issue
		}
		id, actions := m.long(0)
		m.outcome(id, 0, find(actions, ActionSendAttempt).Server, StatusLocalFailure, 0.1)
		for range 100 {
			if _, actions := m.long(0); find(actions, ActionSendAttempt) != nil {
				t.Fatal("sent before the backoff is over")
			}
		}
		m.now = m.b.local.until
		actions = m.tick(0)
		out, allowed := 0, 1
		for successes := 0; out < 101 && successes < 10; successes++ {
			sent := 0
			for _, action := range actions {
				if action.Kind == ActionSendAttempt {
					sent++
					id = action.Request
				}
			}
			if out += sent; m.b.local.row > 0 && sent > allowed {
				t.Fatalf("answered %v: %d sent at once after %d successes", answered, sent, successes)
			}
			r := m.b.queue.open[id]
			if allowed *= 2; answered {
				actions = m.outcome(id, r.tries.sent-1, r.tries.counted[0].endpoint.id, StatusOK, 1)
			} else {
				allowed = unlimitedWindow
				actions = m.tick(settledAfterMs)
			}
		}
		if out != 101 {
			t.Errorf("answered %v: %d of 101 requests sent in the end", answered, out)
		}
	}
}
