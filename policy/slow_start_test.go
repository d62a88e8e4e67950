package policy

import (
	"fmt"
	"math"
	"testing"
)

// warmingSettings are those of one of so many agents.
func warmingSettings(replicas int) Settings {
	set := testSettings()
	set.Replicas = replicas
	return set
}

// An agent that has met no warm endpoint sends a warming one an attempt at a time, not none.
func TestSlowStartSendsOneAttemptAtATimeWithoutWarmEndpoints(t *testing.T) {
	h := newWarmingHarness(t, warmingSettings(1), 3)
	h.serve(idempotentClass, 0, 20)
	sent := map[Addr]bool{}
	for range 3 {
		_, server := h.mustSend(idempotentClass, 0)
		if sent[server] {
			t.Fatalf("got a second attempt sent to %v, want one at a time", server)
		}
		sent[server] = true
		h.now += 5
	}
	if _, actions := h.arrive(idempotentClass, 0); findAction(actions, ActionSendAttempt) != nil {
		t.Errorf("with an attempt in flight at each server got %+v, want none sent", actions)
	}
}

// Until the first answer such agents take turns by the latency objective, so that all together have
// no more in flight than their limit, two an endpoint, though nothing tells yet how long an attempt
// takes.
func TestSlowStartPacesAttemptsUntilTheFirstAnswer(t *testing.T) {
	h := newWarmingHarness(t, warmingSettings(40), 10) // half an attempt for each agent
	id, server := h.mustSend(idempotentClass, 0)
	began := h.now
	h.now += 10
	actions := h.endAttempt(id, 0, server, StatusRejected, 10)
	contract := testSettings().Contract
	for h.now < began+1200 {
		// The latency objective of 300 ms for half an attempt, and longer where the contract allows
		// less.
		capacity := contract.SlowStartFrom + (1-contract.SlowStartFrom)*(h.now-began)/contract.SlowStartMs
		turnMs := 600 / min(contract.OverloadMultiple*capacity, 1)
		if findAction(actions, ActionSendAttempt) != nil {
			if h.now < began+turnMs {
				t.Fatalf("got the next attempt after %.0f ms, want it after %.0f", h.now-began, turnMs)
			}
			return
		}
		if h.now >= began+turnMs+10 {
			t.Fatalf("got no attempt after %.0f ms, want one after %.0f", h.now-began, turnMs)
		}
		h.now += 10
		_, actions = h.arrive(idempotentClass, 0)
	}
	t.Error("got no attempt within 1200 ms, want one in its turn")
}

// A warming endpoint gets no more than its share by capacity, even after a quiet time.
func TestSlowStartBoundsTheShareOfAWarmingEndpoint(t *testing.T) {
	const requests = 2000
	h := newHarness(t, testSettings(), 5)
	h.updateEndpoints(ListDelta, startedAt(ready(4), h.now-10))
	got := 0
	for range requests {
		h.now++
		if server := h.serveAtOnce(idempotentClass, h.randomKey(), 20); server == addr(4) {
			got++
		}
	}
	even := requests / 4.0
	if most := even * 0.36 * 0.5 * 1.2; float64(got) > most || got == 0 {
		t.Errorf("got %d of %d requests at the warming endpoint, want some, and %.0f at most", got, requests, most)
	}
}

// Attempts that warm endpoints rejected earn no allowance: a burst of them would let the agents
// overload those that are warming up.
func TestSlowStartEarnsNoAllowanceFromRejections(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.updateEndpoints(ListDelta, startedAt(ready(4), h.now))
	warming := h.endpoint(4)
	for _, status := range []Status{StatusRejected, StatusOK} {
		warming.slowStart.allowance = -1
		id, server := h.mustSend(nonIdempotentClass, 7)
		h.endAttempt(id, 0, server, status, 20)
		if got := warming.slowStart.allowance; (got > -1) != (status == StatusOK) {
			t.Errorf("status %d: got an allowance of %.3f after -1, want it raised: %v", status, got, status == StatusOK)
		}
	}
}

// Many quiet agents: each earns a warming endpoint a small part of one request. Together
// they are to send it what the parts add up to: neither nothing nor one each.
func TestSlowStartAddsUpTheAllowancesOfQuietAgents(t *testing.T) {
	const agents, requests = 400, 20
	got := 0
	for seed := range uint64(agents) {
		h := &harness{t: t, b: newBalancer(t, testSettings(), seed), now: 1e6}
		entries := startedEntries(10, 0)
		entries[0].StartedMs = h.now
		h.updateEndpoints(ListFull, entries...)
		for range requests {
			if server := h.serveAtOnce(idempotentClass, h.randomKey(), 20); server == addr(0) {
				got++
			}
		}
	}
	contract := testSettings().Contract
	share := float64(agents*requests) / 9 * contract.SlowStartFrom * contract.OverloadMultiple / slowStartMargin
	if float64(got) > share*1.3 || float64(got) < share*0.2 {
		t.Errorf("got %d requests of %d agents at the warming endpoint, want %.0f to %.0f", got, agents, share*0.2, share*1.3)
	}
}

// Where a zone is lost and only endpoints that are warming up are left, these serve.
func TestSlowStartServesWhenTheWarmEndpointsFailed(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for range 200 {
		h.now += 10
		h.serveAtOnce(idempotentClass, h.randomKey(), 20)
	}
	h.updateEndpoints(ListDelta, startedAt(ready(2), h.now))
	h.endpoint(2).traffic.sentAt = 0
	for i := range 2 {
		h.b.outliers.eject(h.endpoint(i), true)
	}
	if _, server := h.mustSend(idempotentClass, 9); server != addr(2) {
		t.Errorf("got a request sent to %v, want the warming %v", server, addr(2))
	}
}

// An endpoint that comes back after no connect reached it for long may be a new process that the list
// does not name yet: it gets slow start.
func TestSlowStartBeginsWhenAnEndpointComesBack(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	id, server := h.mustSend(idempotentClass, 9)
	h.endAttempt(id, 0, server, StatusConnectFailed, 100)
	h.now += h.b.settings.Contract.OverloadWindowMs + 500
	requests := 1
	for ; h.serve(idempotentClass, 9, 20) != server; requests++ {
		if requests > 42 {
			t.Fatalf("got none of %d requests sent to the server that failed, want it tried again", requests)
		}
	}
	if got := h.b.capacityFraction(h.endpointAt(server)); got >= 0.5 {
		t.Errorf("got a capacity of %.2f, want less than 0.5", got)
	}
}

// Of many agents that are notified of endpoints that are all warming up, each makes its first
// attempt in its own turn: together they send no more than two attempts an endpoint in the latency
// objective, and of a warming endpoint what the contract allows it of that, however many of them
// have requests at once.
func TestSlowStartSpreadsTheFirstAttemptsOfManyAgents(t *testing.T) {
	const agents, servers = 900, 20
	first := map[int]int{} // agents by the second of their first attempt
	waited := 0
	for i := range agents {
		set := warmingSettings(agents)
		set.Index = i
		set.Contract.SlowStartFrom = 0.1
		h := newWarmingHarness(t, set, servers)
		delayMs, sent := firstAttemptDelay(h, 3000)
		if sent {
			first[int(delayMs)/1000]++
		}
		if delayMs > 0 {
			waited++
		}
	}
	// Two an endpoint in the latency objective of 300 ms are 133 a second, of which the contract
	// allows so many of endpoints that began at 0.1 of their capacity: in all 0.57, 0.84 and 1 of
	// it after each second.
	for second, most := range []int{80, 155, 200} {
		if n := first[second]; n > most || n == 0 {
			t.Errorf("second %d: got the first attempts of %d agents, want some, and %d at most", second, n, most)
		}
	}
	if least := agents * 9 / 10; waited < least {
		t.Errorf("got %d of %d agents that waited for their turn, want %d at least", waited, agents, least)
	}
}

// firstAttemptDelay hands in a request each 100 ms and returns how long it takes until one is sent, in
// ms, and whether that was in less than mostMs.
func firstAttemptDelay(h *harness, mostMs float64) (delayMs float64, sent bool) {
	began := h.now
	for h.now < began+mostMs {
		if _, actions := h.arrive(idempotentClass, 0); findAction(actions, ActionSendAttempt) != nil {
			return h.now - began, true
		}
		h.now += 100
	}
	return h.now - began, false
}

// An agent that is alone, or one of so few that each may have an attempt in flight, sends at once.
func TestSlowStartSendsTheFirstAttemptOfFewAgentsAtOnce(t *testing.T) {
	for _, replicas := range []int{1, 10} {
		t.Run(fmt.Sprintf("%d agents", replicas), func(t *testing.T) {
			set := warmingSettings(replicas)
			set.Index = replicas - 1
			h := newHarness(t, set, 0)
			h.updateEndpoints(ListFull, startedEntries(20, h.now-set.Contract.SlowStartMs+1)...)
			if _, actions := h.arrive(idempotentClass, 0); findAction(actions, ActionSendAttempt) == nil {
				t.Errorf("got %+v, want an attempt", actions)
			}
		})
	}
}

// Where the settings tell no overload multiple, nothing is overloaded by it: turns go by the latency
// objective alone, and an agent is not kept from warming endpoints for their whole slow start time.
func TestSlowStartTakesTurnsWithoutAnOverloadMultiple(t *testing.T) {
	set := warmingSettings(10)
	set.Index, set.Contract.OverloadMultiple = 9, 0
	h := newWarmingHarness(t, set, 2)
	h.now += 100
	// Two of ten may have one in flight in the latency objective of 300 ms.
	if delayMs, sent := firstAttemptDelay(h, 1500); !sent {
		t.Errorf("got no attempt within %v ms, want one", delayMs)
	}
}

// An error in an endpoint's age within the tolerance makes it count as ageErrorFactor times what it
// can do at most, at any age, and never as warm before its time by more than the tolerance.
func TestContractStartToleranceBoundsTheCapacity(t *testing.T) {
	for _, contract := range []Contract{
		{SlowStartFrom: 0.05, SlowStartMs: 3000}, {SlowStartFrom: 0.2, SlowStartMs: 8000}, {SlowStartFrom: 0.53, SlowStartMs: 7000},
		{SlowStartFrom: 0.9, SlowStartMs: 1000}, {SlowStartFrom: 1, SlowStartMs: 1000}, {SlowStartFrom: 0.3}, {SlowStartMs: 5000},
	} {
		t.Run(fmt.Sprintf("from %v within %v ms", contract.SlowStartFrom, contract.SlowStartMs), func(t *testing.T) {
			toleranceMs := contract.StartToleranceMs()
			if !(toleranceMs >= 0) || toleranceMs > contract.SlowStartMs {
				t.Fatalf("got a tolerance of %v ms, want 0 to %v", toleranceMs, contract.SlowStartMs)
			}
			set := testSettings()
			set.Contract.SlowStartFrom, set.Contract.SlowStartMs = contract.SlowStartFrom, contract.SlowStartMs
			b := newBalancer(t, set, 1)
			b.now = 1e6
			capacity := func(ageMs float64) float64 {
				startedAt := b.now - ageMs
				return b.capacityFraction(&endpoint{slowStart: endpointSlowStart{startedAt: startedAt, listedAt: startedAt}})
			}
			for ageMs := 0.0; ageMs < contract.SlowStartMs; ageMs += contract.SlowStartMs / 100 {
				if got, most := capacity(ageMs+toleranceMs), ageErrorFactor*capacity(ageMs); got > most+1e-9 {
					t.Fatalf("%v ms old: got a capacity of %v when taken for older, want %v at most", ageMs, got, most)
				}
			}
		})
	}
}

func TestContractStartToleranceValues(t *testing.T) {
	contract := Contract{SlowStartFrom: 0.2, SlowStartMs: 8000}
	if got := contract.StartToleranceMs(); got != 1000 {
		t.Errorf("from 0.2 within 8000 ms: got %v ms, want 1000", got)
	}
	if got := (&Contract{}).StartToleranceMs(); math.IsNaN(got) {
		t.Errorf("without slow start: got %v, want a number", got)
	}
}
