package policy

import (
	"math"
	"testing"
)

// coldRig is an agent that has met no warm endpoint: all it has listed have just started.
func warmingRig(t *testing.T, replicas, servers int) *rig {
	t.Helper()
	set := testSettings()
	set.Replicas = replicas
	r := newRig(t, set, 0)
	entries := make([]Entry, servers)
	for i := range entries {
		entries[i] = Entry{Server: addr(i), Health: HealthReady, Weight: 1, StartedMs: r.now}
	}
	r.list(ListFull, entries...)
	return r
}

// An agent that has met no warm endpoint sends a warming one an attempt at a time, not none.
func TestColdServersAloneGetOneAttemptAtATime(t *testing.T) {
	r := warmingRig(t, 1, 3)
	id, server := r.sent(0, 0)
	r.now += 20
	r.outcome(id, 0, server, StatusOK, 20)
	seen := map[Addr]bool{}
	for range 3 {
		_, server := r.sent(0, 0)
		if seen[server] {
			t.Fatalf("server %v was sent a second attempt", server)
		}
		seen[server] = true
		r.now += 5
	}
	if _, actions := r.ask(0, 0); find(actions, ActionSendAttempt) != nil {
		t.Errorf("all servers hold one, and another was sent: %+v", actions)
	}
}

// Until the first answer such agents take turns by the latency objective, so that all together have
// no more out than their limit, two an endpoint, though nothing tells yet how long an attempt
// takes.
func TestWarmingEndpointsAloneArePacedUntilTheFirstAnswer(t *testing.T) {
	r := warmingRig(t, 40, 10) // half an attempt for each agent
	id, server := r.sent(0, 0)
	began := r.now
	r.now += 10
	actions := r.outcome(id, 0, server, StatusRejected, 10)
	contract := testSettings().Contract
	for r.now < began+1200 {
		// The latency objective of 300 ms for half an attempt, and longer where the contract allows
		// less.
		ramp := contract.SlowStartFrom + (1-contract.SlowStartFrom)*(r.now-began)/contract.SlowStartMs
		wait := 600 / min(contract.OverloadMultiple*ramp, 1)
		turn := r.now >= began+wait
		if action := find(actions, ActionSendAttempt); action != nil {
			if !turn {
				t.Fatalf("sent again after %.0f ms", r.now-began)
			}
			return
		}
		if r.now >= began+wait+10 {
			t.Fatalf("nothing was sent in its turn, after %.0f ms", r.now-began)
		}
		r.now += 10
		_, actions = r.ask(0, 0)
	}
	t.Error("nothing was sent in its turn")
}

// A warming endpoint gets no more than its share by capacity, even after a quiet time.
func TestColdServerBudget(t *testing.T) {
	r := newRig(t, testSettings(), 5)
	r.list(ListDelta, Entry{Server: addr(4), Health: HealthReady, Weight: 1, StartedMs: r.now - 10})
	got, all := 0, 2000
	for range all {
		r.now++
		id, server := r.sent(0, uint64(r.b.rng.Int64()))
		if server == addr(4) {
			got++
		}
		r.outcome(id, 0, server, StatusOK, 20)
	}
	even := float64(all) / 4
	if limit := even * 0.36 * 0.5 * 1.2; float64(got) > limit || got == 0 {
		t.Errorf("a cold server got %d of %d sends; want some, and at most %.0f", got, all, limit)
	}
}

// Attempts that warm endpoints rejected earn no allowance: a burst of them would let the agents
// overload those that are warming up.
func TestRejectedAttemptsEarnNoAllowance(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	r.list(ListDelta, Entry{Server: addr(4), Health: HealthReady, Weight: 1, StartedMs: r.now})
	cold := r.b.endpoints.byAddr[addr(4)]
	for _, status := range []Status{StatusRejected, StatusOK} {
		cold.slowStart.allowance = -1
		id, server := r.sent(1, 7)
		r.outcome(id, 0, server, status, 20)
		if earned := cold.slowStart.allowance > -1; earned != (status == StatusOK) {
			t.Errorf("ending %d: cold credit went from -1 to %.3f", status, cold.slowStart.allowance)
		}
	}
}

// A request hinted as many mean ones costs as much of the allowance: a burst of such requests would
// overload an endpoint that is warming up.
func TestAllowanceIsChargedForCostlyRequests(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	r.b.latency.hints.mean = 50
	if c := r.b.latency.hints.cost(&request{hint: 1}); c != 1 {
		t.Errorf("a request hinted small costs %.2f mean ones, want 1", c)
	}
	if c := r.b.latency.hints.cost(&request{hint: 200}); c != 4 {
		t.Errorf("a request hinted at four times the mean costs %.2f, want 4", c)
	}
}

// Many quiet agents: each earns a warming endpoint a small part of one request. Together
// they are to send it what the parts add up to: neither nothing nor one each.
func TestManyQuietAgentsShareAColdServersCredit(t *testing.T) {
	got, agents, each := 0, 400, 20
	for seed := range agents {
		b, err := New(testSettings(), uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, b: b, now: 1e6}
		entries := make([]Entry, 10)
		for i := range entries {
			entries[i] = Entry{Server: addr(i), Health: HealthReady, Weight: 1}
		}
		entries[0].StartedMs = r.now
		r.list(ListFull, entries...)
		for range each {
			id, server := r.sent(0, b.rng.Uint64())
			if server == addr(0) {
				got++
			}
			r.outcome(id, 0, server, StatusOK, 20)
		}
	}
	c := testSettings().Contract
	share := float64(agents*each) / 9 * c.SlowStartFrom * c.OverloadMultiple / slowStartMargin
	if float64(got) > share*1.3 || float64(got) < share*0.2 {
		t.Errorf("%d agents sent a cold server %d requests, want up to about %.0f", agents, got, share)
	}
}

// Where a zone is lost and only endpoints that are warming up are left, these serve.
func TestWarmingEndpointsServeWhenTheWarmOnesFailed(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	for range 200 {
		r.now += 10
		id, server := r.sent(0, uint64(r.b.rng.Int64()))
		r.outcome(id, 0, server, StatusOK, 20)
	}
	r.list(ListDelta, Entry{Server: addr(2), Health: HealthReady, Weight: 1, StartedMs: r.now})
	r.b.endpoints.byAddr[addr(2)].traffic.sentAt = 0
	for i := range 2 {
		r.b.outliers.eject(r.b.endpoints.byAddr[addr(i)], true)
	}
	if _, server := r.sent(0, 9); server != addr(2) {
		t.Errorf("sent to %v, want the cold server", server)
	}
}

// An endpoint that comes back after no connect reached it for long may be a new process that the list
// does not tell yet: it gets slow start.
func TestReturnFromSilenceGetsSlowStart(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	id, server := r.sent(0, 9)
	r.outcome(id, 0, server, StatusConnectFailed, 100)
	r.now += r.b.set.Contract.OverloadWindowMs + 500
	for key := uint64(9); ; key++ {
		id, to := r.sent(0, 9)
		r.now += 20
		r.outcome(id, 0, to, StatusOK, 20)
		if to == server {
			break
		}
		if key > 50 {
			t.Fatal("the silent server was never checked again")
		}
	}
	if target := r.b.endpoints.byAddr[server]; r.b.capacityFraction(target) >= 0.5 {
		t.Errorf("a server back from silence is taken for warm: ramp %.2f", r.b.capacityFraction(target))
	}
}

// The fleet doubled, and quiet agents, each sending to a subset, earned the new
// endpoints the allowance of a whole fleet's share: they idled while the old ones were crowded.
func TestAllowanceIsReckonedByTheSubset(t *testing.T) {
	earned := func(keepalive float64) float64 {
		set := testSettings()
		set.Limits.KeepaliveMs, set.Prices.Handshake = keepalive, 0.1
		r := newRig(t, set, 64)
		r.list(ListDelta, Entry{Server: addr(99), Health: HealthReady, Weight: 1, StartedMs: r.now})
		cold := r.b.endpoints.byAddr[addr(99)]
		cold.slowStart.allowance = 0
		r.b.slowStart.earn(r.b.endpoints.byAddr[addr(0)], 1, r.b.subset.size())
		return cold.slowStart.allowance
	}
	if whole, part := earned(0), earned(10000); part < 3.5*whole || whole <= 0 {
		t.Errorf("credit earned: %.5f sending to 65 servers, %.5f to 16 of them; want four times", whole, part)
	}
}

// Of many agents that are notified of endpoints that are all warming up, each makes its first
// attempt in its own turn: together they send no more than two attempts an endpoint in the latency
// objective, and of a warming endpoint what the contract allows it of that, however many of them
// are asked at once.
func TestFirstAttemptsAtColdServersTakeTurns(t *testing.T) {
	const agents, servers = 900, 20
	first := map[int]int{} // agents by the second of their first attempt
	waits := 0
	for i := range agents {
		set := testSettings()
		set.Replicas, set.Index = agents, i
		set.Contract.SlowStartFrom = 0.1
		r := newRig(t, set, 0)
		entries := make([]Entry, servers)
		for k := range entries {
			entries[k] = Entry{Server: addr(k), Health: HealthReady, Weight: 1, StartedMs: r.now}
		}
		r.list(ListFull, entries...)
		began := r.now
		for r.now < began+3000 {
			if _, actions := r.ask(0, 0); find(actions, ActionSendAttempt) != nil {
				first[int(r.now-began)/1000]++
				break
			}
			r.now += 100
		}
		if r.now > began {
			waits++
		}
	}
	// Two an endpoint in the latency objective of 300 ms are 133 a second, of which the contract
	// allows so many of endpoints that began at 0.1 of their capacity: in all 0.57, 0.84 and 1 of
	// it after each second.
	for second, most := range []int{80, 155, 200} {
		if n := first[second]; n > most || n == 0 {
			t.Errorf("second %d: %d agents of %d made their first attempt, at most %d may", second, n, agents, most)
		}
	}
	if waits < agents*9/10 {
		t.Errorf("%d agents of %d waited for their turn", waits, agents)
	}
}

// An agent that is alone, or one of so few that each may have an attempt out, sends at once.
func TestFirstAttemptOfFewAgentsIsMadeAtOnce(t *testing.T) {
	for _, replicas := range []int{1, 10} {
		set := testSettings()
		set.Replicas, set.Index = replicas, replicas-1
		r := newRig(t, set, 0)
		entries := make([]Entry, 20)
		for k := range entries {
			entries[k] = Entry{Server: addr(k), Health: HealthReady, Weight: 1, StartedMs: r.now - set.Contract.SlowStartMs + 1}
		}
		r.list(ListFull, entries...)
		if _, actions := r.ask(0, 0); find(actions, ActionSendAttempt) == nil {
			t.Errorf("of %d agents one had to wait: %+v", replicas, actions)
		}
	}
}

// Where the settings tell no multiple, nothing falls by it: turns go by the latency objective
// alone, and an agent is not kept from warming endpoints for their whole slow start time.
func TestFirstAttemptWithoutAMultiple(t *testing.T) {
	set := testSettings()
	set.Replicas, set.Index, set.Contract.OverloadMultiple = 10, 9, 0
	r := newRig(t, set, 0)
	r.list(ListFull, Entry{Server: addr(0), Health: HealthReady, Weight: 1, StartedMs: r.now},
		Entry{Server: addr(1), Health: HealthReady, Weight: 1, StartedMs: r.now})
	for range 15 { // two of ten may have one out in the latency objective of 300 ms
		r.now += 100
		if _, actions := r.ask(0, 0); find(actions, ActionSendAttempt) != nil {
			return
		}
	}
	t.Error("nothing was sent within five times the aim")
}

// An error in an endpoint's age within the tolerance makes it count as ageErrorFactor times what it
// can do at most, at any age, and never as warm before its time by more than the tolerance.
func TestStartToleranceBoundsTheCapacity(t *testing.T) {
	for _, c := range []Contract{
		{SlowStartFrom: 0.05, SlowStartMs: 3000}, {SlowStartFrom: 0.2, SlowStartMs: 8000}, {SlowStartFrom: 0.53, SlowStartMs: 7000},
		{SlowStartFrom: 0.9, SlowStartMs: 1000}, {SlowStartFrom: 1, SlowStartMs: 1000}, {SlowStartFrom: 0.3}, {SlowStartMs: 5000},
	} {
		tolerance := c.StartToleranceMs()
		if !(tolerance >= 0) || tolerance > c.SlowStartMs {
			t.Fatalf("%+v: the tolerance is %v ms", c, tolerance)
		}
		set := testSettings()
		set.Contract.SlowStartFrom, set.Contract.SlowStartMs = c.SlowStartFrom, c.SlowStartMs
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		for age := 0.0; age < c.SlowStartMs; age += c.SlowStartMs / 100 {
			b.now = 1e6
			right := b.capacityFraction(&endpoint{slowStart: endpointSlowStart{startedAt: b.now - age, listedAt: b.now - age}})
			older := b.now - age - tolerance
			if taken := b.capacityFraction(&endpoint{slowStart: endpointSlowStart{startedAt: older, listedAt: older}}); taken > ageErrorFactor*right+1e-9 {
				t.Fatalf("%+v, %v ms old: counts as %v, is %v", c, age, taken, right)
			}
		}
	}
	if (&Contract{SlowStartFrom: 0.2, SlowStartMs: 8000}).StartToleranceMs() != 1000 {
		t.Error("not the tolerance by hand")
	}
	if math.IsNaN((&Contract{}).StartToleranceMs()) {
		t.Error("without slow start there is none")
	}
}
