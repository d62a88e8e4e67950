package policy

import (
	"fmt"
	"math"
	"testing"
)

// warmingSettings returns the test settings with the given number of agents.
func warmingSettings(replicas int) Settings {
	set := testSettings()
	set.Replicas = replicas
	return set
}

// An agent that has never had a warm endpoint must send one attempt at a time to each endpoint that
// is warming up, rather than none.
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

// Before the first answer agents without warm endpoints take turns within the latency objective. All
// together then have at most their limit of two attempts per endpoint in flight, although the answer
// time is not known yet.
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
		capacity := contract.InitialCapacity + (1-contract.InitialCapacity)*(h.now-began)/contract.SlowStartMs
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

// A warming endpoint gets no more than its share by capacity, even after a time without requests.
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

// Attempts that warm endpoints reject must not refill allowances: a burst of rejections would let
// the agents overload the endpoints that are warming up.
func TestSlowStartRefillsNoAllowanceOnRejections(t *testing.T) {
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

// Each of many agents with little traffic refills the allowance of a warming endpoint by only a small
// part of a request. Together they must send it about the sum of these parts: neither nothing, nor one
// request each.
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
	share := float64(agents*requests) / 9 * contract.InitialCapacity * contract.OverloadMultiple / slowStartMargin
	if float64(got) > share*1.3 || float64(got) < share*0.2 {
		t.Errorf("got %d requests of %d agents at the warming endpoint, want %.0f to %.0f", got, agents, share*0.2, share*1.3)
	}
}

// When the warm endpoints have failed, as in the loss of a zone, the warming ones must serve.
func TestSlowStartServesWhenTheWarmEndpointsFailed(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for range 200 {
		h.now += 10
		h.serveAtOnce(idempotentClass, h.randomKey(), 20)
	}
	h.updateEndpoints(ListDelta, startedAt(ready(2), h.now))
	h.endpoint(2).traffic.lastSentAt = 0
	for i := range 2 {
		h.b.outliers.eject(h.endpoint(i), true)
	}
	if _, server := h.mustSend(idempotentClass, 9); server != addr(2) {
		t.Errorf("got a request sent to %v, want the warming %v", server, addr(2))
	}
}

// An endpoint that answers again after connects failed for a long time may be a new process that is
// not in the list yet. It must get a slow start.
func TestSlowStartBeginsWhenAnUnreachableEndpointAnswers(t *testing.T) {
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

// Guards against a burst of first attempts by many agents that are notified of the same warming
// endpoints at once. Each agent makes its first attempt in its own turn. Together they send at most two
// attempts per endpoint within the latency objective, reduced to what the contract allows a warming
// endpoint, however many agents have requests at the same time.
func TestSlowStartSpreadsTheFirstAttemptsOfManyAgents(t *testing.T) {
	const agents, servers = 900, 20
	first := map[int]int{} // number of agents by the second of their first attempt
	waited := 0
	for i := range agents {
		set := warmingSettings(agents)
		set.Index = i
		set.Contract.InitialCapacity = 0.1
		h := newWarmingHarness(t, set, servers)
		delayMs, sent := firstAttemptDelay(h, 3000)
		if sent {
			first[int(delayMs)/1000]++
		}
		if delayMs > 0 {
			waited++
		}
	}
	// Two attempts per endpoint within the latency objective of 300 ms are 133 per second. The
	// endpoints start at 0.1 of their capacity. By the end of the first, second and third second the
	// contract allows them 0.57, 0.84 and 1 of the sum of these attempts since the start.
	for second, most := range []int{80, 155, 200} {
		if n := first[second]; n > most || n == 0 {
			t.Errorf("second %d: got the first attempts of %d agents, want some, and %d at most", second, n, most)
		}
	}
	if least := agents * 9 / 10; waited < least {
		t.Errorf("got %d of %d agents that waited for their turn, want %d at least", waited, agents, least)
	}
}

// firstAttemptDelay passes in a request every 100 ms until one is sent. It returns the time until
// then, in ms, and whether it was less than mostMs.
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

// A single agent, or one of so few that each may have an attempt in flight, sends at once.
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

// Without an overload multiple in the settings the turns depend on the latency objective alone. An
// agent must not be kept from warming endpoints for their whole slow start time.
func TestSlowStartTakesTurnsWithoutAnOverloadMultiple(t *testing.T) {
	set := warmingSettings(10)
	set.Index, set.Contract.OverloadMultiple = 9, 0
	h := newWarmingHarness(t, set, 2)
	h.now += 100
	// With two endpoints four of ten agents may have an attempt in flight within the latency
	// objective of 300 ms.
	if delayMs, sent := firstAttemptDelay(h, 1500); !sent {
		t.Errorf("got no attempt within %v ms, want one", delayMs)
	}
}

// An error in an endpoint's age within the tolerance makes its capacity seem at most
// maxCapacityOverestimate times the actual one, at any age. The endpoint never counts as warm too
// early by more than the tolerance.
func TestContractStartToleranceBoundsTheCapacity(t *testing.T) {
	for _, contract := range []Contract{
		{InitialCapacity: 0.05, SlowStartMs: 3000}, {InitialCapacity: 0.2, SlowStartMs: 8000}, {InitialCapacity: 0.53, SlowStartMs: 7000},
		{InitialCapacity: 0.9, SlowStartMs: 1000}, {InitialCapacity: 1, SlowStartMs: 1000}, {InitialCapacity: 0.3}, {SlowStartMs: 5000},
	} {
		t.Run(fmt.Sprintf("from %v within %v ms", contract.InitialCapacity, contract.SlowStartMs), func(t *testing.T) {
			toleranceMs := contract.StartToleranceMs()
			if !(toleranceMs >= 0) || toleranceMs > contract.SlowStartMs {
				t.Fatalf("got a tolerance of %v ms, want 0 to %v", toleranceMs, contract.SlowStartMs)
			}
			set := testSettings()
			set.Contract.InitialCapacity, set.Contract.SlowStartMs = contract.InitialCapacity, contract.SlowStartMs
			b := newBalancer(t, set, 1)
			b.now = 1e6
			capacity := func(ageMs float64) float64 {
				startedAt := b.now - ageMs
				return b.capacityFraction(&endpoint{slowStart: endpointSlowStart{startedAt: startedAt, listedStartAt: startedAt}})
			}
			for ageMs := 0.0; ageMs < contract.SlowStartMs; ageMs += contract.SlowStartMs / 100 {
				if got, most := capacity(ageMs+toleranceMs), maxCapacityOverestimate*capacity(ageMs); got > most+1e-9 {
					t.Fatalf("%v ms old: got a capacity of %v with the age overestimated, want %v at most", ageMs, got, most)
				}
			}
		})
	}
}

func TestContractStartToleranceValues(t *testing.T) {
	contract := Contract{InitialCapacity: 0.2, SlowStartMs: 8000}
	if got := contract.StartToleranceMs(); got != 1000 {
		t.Errorf("from 0.2 within 8000 ms: got %v ms, want 1000", got)
	}
	if got := (&Contract{}).StartToleranceMs(); math.IsNaN(got) {
		t.Errorf("without slow start: got %v, want a number", got)
	}
}
