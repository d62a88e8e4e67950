package policy

import (
	"fmt"
	"testing"
)

// failingMachine simulates a machine that fails the attempts of its agent for some time.
type failingMachine struct {
	*harness
	status   Status  // status of the failed attempts
	until    float64 // end of the failures, in ms
	failed   int     // number of attempts that the machine failed
	sent     int     // number of attempts
	rejected int     // number of requests that were rejected or failed
}

// newFailingMachine returns a machine with an agent and four endpoints. It fails all attempts with the
// status for the given time in ms.
func newFailingMachine(t *testing.T, status Status, ms float64) *failingMachine {
	t.Helper()
	set := testSettings()
	for i := range set.Classes {
		class := &set.Classes[i]
		class.LatencyObjectiveMs, class.DeadlineMs, class.IdempotencyWindowMs = 15000, 30000, 10000
	}
	m := &failingMachine{harness: newHarness(t, set, 4), status: status}
	m.liftLimit()
	m.until = m.now + ms
	return m
}

// arriveWithTime passes in a request whose client waits for 20 s.
func (m *failingMachine) arriveWithTime(class int) (RequestID, []Action) {
	m.id++
	return m.id, m.handle(&RequestArrived{Request: m.id, Class: class, TimeLeftMs: 20000})
}

// carryOut ends each attempt at once: with the machine's status until it has recovered, and then with
// StatusOK.
func (m *failingMachine) carryOut(actions []Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action.Kind {
		case ActionSendAttempt:
			m.sent++
			number := m.b.queue.open[action.Request].attempts.sent - 1
			if m.now < m.until {
				m.failed++
				actions = append(actions, m.endAttempt(action.Request, number, action.Server, m.status, 0.1)...)
			} else {
				actions = append(actions, m.endAttempt(action.Request, number, action.Server, StatusOK, 20)...)
			}
		case ActionRejectRequest, ActionFailRequest:
			m.rejected++
		}
	}
}

// run passes in the given number of requests at once, and then advances the clock to one second after
// the machine has recovered.
func (m *failingMachine) run(requests int) {
	for range requests {
		_, actions := m.arriveWithTime(int(m.id) % 3)
		m.carryOut(actions)
	}
	for end := m.until + 1000; m.now < end; {
		m.carryOut(m.tick(1))
	}
}

// Attempts that this machine cannot make have no side effects: no request is rejected because of them,
// no endpoint is ejected, and the concurrency limit and the retry budget don't change. Their number is
// small.
func TestLocalFailureHasNoSideEffects(t *testing.T) {
	for _, status := range []Status{StatusLocalFailure, StatusUnreachable} {
		for _, ms := range []float64{100, 5000} {
			t.Run(fmt.Sprintf("status %d for %v ms", status, ms), func(t *testing.T) {
				m := newFailingMachine(t, status, ms)
				m.run(200)
				if served := m.sent - m.failed; served != 200 || m.rejected != 0 {
					t.Errorf("got %d of 200 requests served and %d rejected, want all served", served, m.rejected)
				}
				// The first backoff is at least 5 ms and the others at least 10 ms. Two more attempts
				// are sent before it is known that the machine is at fault.
				if most := int(ms/maxLocalBackoffMs) + 4; m.failed > most {
					t.Errorf("got %d failed attempts, want %d at most", m.failed, most)
				}
				if m.b.retries.tokens != retryBurst || m.b.limiter.scale < 1e6 {
					t.Errorf("got a retry budget of %v and a limit of %v times its floor, want both unchanged",
						m.b.retries.tokens, m.b.limiter.scale)
				}
				for _, listed := range m.b.endpoints.all {
					health := &listed.health
					if health.state > StateUnknown || health.unreachableSince != 0 || health.failureRate != 0 ||
						health.ejectionCount != 0 || listed.traffic.abandoned != 0 {
						t.Errorf("endpoint %v: got %+v and %d abandoned, want it unaffected", listed.id, health, listed.traffic.abandoned)
					}
				}
				if len(m.b.queue.open) != 0 || m.b.limiter.inFlight != 0 || m.b.localFailure.failures != 0 || len(m.b.localFailure.trials) != 0 {
					t.Errorf("got %d open requests, %d in flight and %+v, want none and no limit", len(m.b.queue.open),
						m.b.limiter.inFlight, m.b.localFailure)
				}
			})
		}
	}
}

// A request whose deadline passes while this machine fails never ran. It is rejected with a Retry-After,
// whatever its class, and after more attempts than the settings allow, because failures of this machine
// don't count as attempts.
func TestLocalFailureRejectsAtTheDeadline(t *testing.T) {
	for class, settings := range testSettings().Classes {
		t.Run(settings.Name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 4)
			id, actions := h.arrive(class, 0)
			attempts, rejected := 0, false
			for range 200 {
				for i := 0; i < len(actions); i++ {
					switch action := actions[i]; action.Kind {
					case ActionSendAttempt:
						actions = append(actions, h.endAttempt(id, attempts, action.Server, StatusLocalFailure, 0.1)...)
						attempts++
					case ActionFailRequest:
						t.Error("got a failure, want a rejection")
					case ActionRejectRequest:
						if action.RetryAfterMs <= 0 || attempts <= h.b.settings.Limits.MaxAttempts {
							t.Errorf("got a rejection with a Retry-After of %v ms after %d attempts, want a positive Retry-After and more than %d attempts",
								action.RetryAfterMs, attempts, h.b.settings.Limits.MaxAttempts)
						}
						rejected = true
					}
				}
				if rejected {
					break
				}
				actions = h.tick(5)
			}
			if !rejected || len(h.b.queue.open) != 0 || len(h.b.queue.queued) != 0 {
				t.Errorf("got rejected %v, %d open and %d queued requests, want a rejection and none", rejected,
					len(h.b.queue.open), len(h.b.queue.queued))
			}
		})
	}
}

// After a failure of this machine the only endpoint is tried again, and an endpoint that is warming up
// gets the work of the attempt refunded to its allowance.
func TestLocalFailureRetriesTheOnlyEndpoint(t *testing.T) {
	h := newHarness(t, testSettings(), 0)
	h.updateEndpoints(ListFull, startedAt(ready(0), h.now-100), Entry{Server: addr(1), Health: HealthDraining, Weight: 1})
	target := h.endpoint(0)
	target.slowStart.allowance = 5
	id, _ := h.mustSend(nonIdempotentClass, 0)
	if target.slowStart.allowance >= 5 {
		t.Fatalf("after an attempt got an allowance of %v, want less than 5", target.slowStart.allowance)
	}
	h.endAttempt(id, 0, target.id, StatusLocalFailure, 0.1)
	if target.slowStart.allowance != 5 {
		t.Errorf("after a local failure got an allowance of %v, want 5", target.slowStart.allowance)
	}
	for range 10 {
		if send := findAction(h.tick(5), ActionSendAttempt); send != nil {
			if send.Server != target.id || send.Request != id {
				t.Errorf("got %+v, want request %d sent to %v", send, id, target.id)
			}
			return
		}
	}
	t.Error("got no further attempt within 50 ms, want one")
}

// A failure of this machine of long ago no longer limits attempts, even without a trial since.
func TestLocalFailureExpires(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	id, server := h.mustSend(idempotentClass, 0)
	h.endAttempt(id, 0, server, StatusLocalFailure, 0.1)
	h.handle(&ClientDisconnected{Request: id})
	h.now += 60000
	h.mustSend(idempotentClass, 0)
	h.mustSend(idempotentClass, 0)
}

// If a minority of the endpoints, here two of five, is unreachable, the endpoints are at fault and not
// this machine.
func TestLocalFailureEjectsAMinorityOfUnreachableEndpoints(t *testing.T) {
	h := newHarness(t, testSettings(), 5)
	h.liftLimit()
	unreachable := map[Addr]bool{addr(0): true, addr(1): true}
	for range 200 {
		h.now += 3
		id, actions := h.arrive(idempotentClass, 0)
		for attempt := 0; ; attempt++ {
			send := findAction(actions, ActionSendAttempt)
			if send == nil {
				break
			}
			status := StatusOK
			if unreachable[send.Server] {
				status = StatusUnreachable
			}
			actions = h.endAttempt(id, attempt, send.Server, status, 1)
		}
	}
	for _, listed := range h.b.endpoints.all {
		ejected, recorded := listed.health.state > StateUnknown, listed.health.unreachableSince != 0
		if want := unreachable[listed.id]; ejected != want || want && !recorded {
			t.Errorf("endpoint %v: got ejected %v and unreachable %v, want %v", listed.id, ejected, recorded, want)
		}
	}
}

// Trials that don't fail increase the window until attempts are no longer limited. A trial counts as
// successful when it is answered, or when it has been in flight for so long that it must have a
// connection.
func TestLocalFailureWindowGrowsWithTrials(t *testing.T) {
	t.Run("answered", func(t *testing.T) {
		m, last, actions := newTrialMachine(t)
		double := func(allowed int) int { return 2 * allowed }
		runTrials(t, m, last, actions, double, func(id RequestID) []Action {
			request := m.b.queue.open[id]
			return m.endAttempt(id, request.attempts.sent-1, request.attempts.counted[0].endpoint.id, StatusOK, 1)
		})
	})
	t.Run("in flight", func(t *testing.T) {
		m, last, actions := newTrialMachine(t)
		open := func(int) int { return maxTrialWindow }
		runTrials(t, m, last, actions, open, func(RequestID) []Action { return m.tick(connectedAfterMs) })
	})
}

// newTrialMachine returns a machine that has failed one attempt and has 101 requests queued since. It
// also returns the request of that attempt, and the actions at the end of the backoff.
func newTrialMachine(t *testing.T) (m *failingMachine, last RequestID, actions []Action) {
	t.Helper()
	m = newFailingMachine(t, StatusLocalFailure, 0)
	m.run(0)
	for _, listed := range m.b.endpoints.all {
		listed.window.size = 1e6 // so that windows don't limit attempts
	}
	last, actions = m.arriveWithTime(idempotentClass)
	m.endAttempt(last, 0, findAction(actions, ActionSendAttempt).Server, StatusLocalFailure, 0.1)
	for range 100 {
		if _, actions := m.arriveWithTime(idempotentClass); findAction(actions, ActionSendAttempt) != nil {
			t.Fatalf("before the backoff is over got %+v, want nothing sent", actions)
		}
	}
	m.now = m.b.localFailure.backoffUntil
	return m, last, m.tick(0)
}

// runTrials carries out the actions and lets the last trial of each round succeed, until all 101
// requests are sent. It checks that a round sends no more attempts than allowed: one at first, and
// next(allowed) after each success.
func runTrials(t *testing.T, m *failingMachine, last RequestID, actions []Action, next func(allowed int) int,
	succeed func(RequestID) []Action) {
	t.Helper()
	sent, allowed := 0, 1
	for successes := 0; sent < 101 && successes < 10; successes++ {
		round := 0
		for _, action := range actions {
			if action.Kind == ActionSendAttempt {
				round++
				last = action.Request
			}
		}
		if sent += round; m.b.localFailure.failures > 0 && round > allowed {
			t.Fatalf("after %d successes got %d sent at once, want %d at most", successes, round, allowed)
		}
		allowed = next(allowed)
		actions = succeed(last)
	}
	if sent != 101 {
		t.Errorf("got %d of 101 requests sent in the end, want all", sent)
	}
}
