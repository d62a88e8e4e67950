package policy

import "testing"

const fleetStart = 1e6

// fleetSettings are those of one of many agents.
func fleetSettings(agents int) Settings {
	s := testSettings()
	s.Replicas = agents
	s.Limits = Limits{Cancelling: true, Probing: true, MaxAttempts: 5, MaxRetryAfterMs: 2000,
		ConnectTimeoutMs: 250, KeepaliveMs: 15000}
	s.Contract = Contract{AnswerSlackMs: 5, AskWithinMs: 10000, ColdFrom: 0.3, ColdMs: 7000, DrainGraceMs: 1500,
		FallMultiple: 3, TipAfterMs: 1000}
	s.Classes = s.Classes[:1]
	s.Classes[0].GiveUpMs = 1500
	s.Prices = Prices{CrossZone: 0.03, Handshake: 0.08, Probe: 0.08, List: 0.05, Waste: 0.1}
	s.Weights, s.RoundMs = "off", 1
	return s
}

// Agents and their restarts don't wait alike after a failed call.
func TestFailedCallsAreSpread(t *testing.T) {
	waits := map[float64]int{}
	for i := range 20 {
		for seed := range uint64(5) {
			set := fleetSettings(20)
			set.Membership, set.Index = OnRequest, i
			b, err := New(set, seed<<8+uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Start(fleetStart, nil)
			for failure := range 8 {
				a := find(b.Handle(fleetStart, &Event{Kind: EvList, List: ListFailed}, nil), ActTimer)
				if a == nil || a.Ms < 500 || a.Ms > set.Contract.AskWithinMs {
					t.Fatalf("failure %d: asks again by %+v", failure, a)
				}
				waits[a.Ms]++
			}
		}
	}
	if len(waits) != 20*5*8 {
		t.Errorf("%d different waits of %d", len(waits), 20*5*8)
	}
}

// However many agents there are, each asks within the time after which the contract takes
// it as told.
func TestTurnsFitTheContract(t *testing.T) {
	for _, index := range []int{0, 500, 999} {
		set := fleetSettings(1000)
		set.Membership, set.Index = OnRequest, index
		b, err := New(set, uint64(index))
		if err != nil {
			t.Fatal(err)
		}
		if a := find(b.Start(fleetStart, nil), ActTimer); a == nil || a.Ms >= set.Contract.AskWithinMs {
			t.Errorf("agent %d of 1000 asks first by %+v", index, a)
		}
	}
}

// A watch that has lived and ended is opened anew while what it misses does not yet count
// as told: 6 s after it fell silent, of which noticing takes 3 and a call up to 2. So in
// either mode, however large the fleet and however often it happens.
func TestLostWatchIsOpenedAnewInTime(t *testing.T) {
	for _, mode := range []string{OnRequest, Watched} {
		for _, agents := range []int{1, 6, 300} {
			set := testSettings()
			set.Membership, set.Replicas, set.Index = mode, agents, agents-1
			set.Contract.AskWithinMs = 10000
			b, err := New(set, uint64(agents))
			if err != nil {
				t.Fatal(err)
			}
			b.Start(0, nil)
			spans := map[bool]int{}
			for i := range 200 {
				a := find(b.Handle(float64(i), &Event{Kind: EvList, List: ListLost}, nil), ActTimer)
				if a == nil || a.Token != followToken || a.Ms > 1000 {
					t.Fatalf("%s, %d agents: after a lost watch %+v", mode, agents, a)
				}
				spans[a.Ms > min(callGap*float64(agents), 1000)/2]++
			}
			if mode == OnRequest && (spans[true] < 60 || spans[false] < 60) {
				t.Fatalf("%d agents call in step: %v", agents, spans)
			}
		}
	}
}

// After any number of failed calls a small fleet calls again while what it misses does not
// yet count as told; a large one keeps to what one discovery can serve.
func TestFailedCallsOfASmallFleet(t *testing.T) {
	for agents, most := range map[int]float64{1: 4000, 6: 4000, 20: 4000, 300: 10000} {
		set := testSettings()
		set.Membership, set.Replicas, set.Index = OnRequest, agents, agents/2
		set.Contract.AskWithinMs = 10000
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0, nil)
		longest := 0.0
		for range 100 {
			longest = max(longest, find(b.Handle(0, &Event{Kind: EvList, List: ListFailed}, nil), ActTimer).Ms)
		}
		if longest > most || longest < most*0.9 {
			t.Errorf("%d agents wait up to %v ms, want %v", agents, longest, most)
		}
	}
}

// What the agent's own discovery has when it is back counts as told at once: no wait before
// a call may take the drains' grace, however many calls have failed.
func TestLocalDiscoveryIsCalledOften(t *testing.T) {
	set := testSettings()
	set.Membership = Watched
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0, nil)
	for i := range 50 {
		a := find(b.Handle(float64(i), &Event{Kind: EvList, List: ListFailed}, nil), ActTimer)
		if a == nil || a.Token != followToken || a.Ms > 500 {
			t.Fatalf("after %d failed calls %+v", i+1, a)
		}
	}
}
