package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// However long an outage of discovery lasts, and however quiet it was before, the call that follows
// its end still comes in time: the wait before it grows no further than the contract allows.
func TestCallsAfterALongOutage(t *testing.T) {
	const hour = 3600e3
	for _, mode := range []string{MembershipOnRequest, MembershipWatched} {
		for _, agents := range []int{4, 300, 2000} {
			for _, took := range []float64{0, 2000, 2500} {
				t.Run(fmt.Sprintf("%s, %d agents, calls take %.0f ms", mode, agents, took), func(t *testing.T) {
					b := caller(t, mode, agents-1, agents)
					most := notifyWithinMs - watchCallMaxMs - watchCallMarginMs - took
					if mode == MembershipWatched {
						most = localWatchMaxDelayMs
					}
					call(t, b, 0)
					now := 50 * hour // of quiet; then the watch falls silent
					wait := after(t, b, now, &WatchEnded{})
					for failure := range 3000 { // hours without discovery
						if wait > most+1e-6 {
							t.Fatalf("failure %d waits for %v ms of %v", failure, wait, most)
						}
						now += wait
						call(t, b, now)
						now += took
						wait = after(t, b, now, &DiscoveryFailed{})
					}
					now += wait
					call(t, b, now)
					b.Handle(now+200, &EndpointsUpdated{Kind: ListDelta}, nil) // it is back
					now += 20 * hour
					if wait := after(t, b, now, &WatchEnded{}); wait > watchEndedBackoffMs {
						t.Fatalf("a watch that is lost after the outage is opened anew after %v ms", wait)
					}
				})
			}
		}
	}
}

// Lists come by the watch alone: no failure at endpoints has an agent ask for the whole list, in the
// modes that agents on sockets use.
func TestFailuresFetchNoList(t *testing.T) {
	for _, mode := range []string{MembershipOnRequest, MembershipWatched} {
		set := fleetSettings(10)
		set.Membership = mode
		r := newRig(t, set, 3)
		failed := 0
		for range 200 {
			r.now += 100
			id, actions := r.ask(0, 0)
			for try, status := range []Status{StatusConnectFailed, StatusOK} { // at first, and then served
				action := find(actions, ActionSendAttempt)
				if action == nil {
					break
				}
				if status != StatusOK {
					failed++
				}
				actions = r.outcome(id, try, action.Server, status, 1)
				if find(actions, ActionFetchEndpoints) != nil {
					t.Fatalf("%s: fetches the list", mode)
				}
			}
		}
		if failed < 100 {
			t.Fatalf("%s: %d attempts failed", mode, failed)
		}
	}
}

const fleetStart = 1e6

// fleetSettings are those of one of many agents.
func fleetSettings(agents int) Settings {
	s := testSettings()
	s.Replicas = agents
	s.Limits = Limits{Cancellation: true, HealthChecks: true, MaxAttempts: 5, MaxRetryAfterMs: 2000,
		ConnectTimeoutMs: 250, KeepaliveMs: 15000}
	s.Contract = Contract{AnswerSlackMs: 5, PollWithinMs: 10000, SlowStartFrom: 0.3, SlowStartMs: 7000, DrainGraceMs: 1500,
		OverloadMultiple: 3, OverloadWindowMs: 1000}
	s.Classes = s.Classes[:1]
	s.Classes[0].DeadlineMs = 1500
	s.Prices = Prices{CrossZone: 0.03, Handshake: 0.08, HealthCheck: 0.08, Membership: 0.05, Waste: 0.1}
	s.Weights, s.RoundMs = "off", 1
	return s
}

// The list that an agent starts with may be old, and what it misses may count as notified before the
// agent has started: its first call comes within the drains' grace, whatever its number.
func TestFirstCallComesWithinTheDrainsGrace(t *testing.T) {
	for _, agents := range []int{4, 300, 2000} {
		for _, grace := range []float64{250, 1000, 1500, 30000} {
			last := 0.0
			for index := range agents {
				set := fleetSettings(agents)
				set.Membership, set.Index, set.Contract.DrainGraceMs = MembershipOnRequest, index, grace
				b, err := New(set, uint64(index))
				if err != nil {
					t.Fatal(err)
				}
				last = max(last, find(b.Start(0, nil), ActionSetTimer).DelayMs)
			}
			if last > grace || last > 6000-watchCallMaxMs {
				t.Errorf("%d agents, %v ms of grace: the last call comes after %v ms", agents, grace, last)
			}
		}
	}
}

// Agents and their restarts don't wait alike after a failed call.
func TestFailedCallsAreSpread(t *testing.T) {
	waits := map[float64]int{}
	for i := range 20 {
		for seed := range uint64(5) {
			set := fleetSettings(20)
			set.Membership, set.Index = MembershipOnRequest, i
			b, err := New(set, seed<<8+uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Start(fleetStart, nil)
			for failure := range 8 {
				action := find(b.Handle(fleetStart, &DiscoveryFailed{}, nil), ActionSetTimer)
				if action == nil || action.DelayMs < 500 || action.DelayMs > set.Contract.PollWithinMs {
					t.Fatalf("failure %d: asks again by %+v", failure, action)
				}
				waits[action.DelayMs]++
			}
		}
	}
	if len(waits) != 20*5*8 {
		t.Errorf("%d different waits of %d", len(waits), 20*5*8)
	}
}

// However many agents there are, each asks within the time after which the contract takes
// it as notified.
func TestTurnsFitTheContract(t *testing.T) {
	for _, index := range []int{0, 500, 999} {
		set := fleetSettings(1000)
		set.Membership, set.Index = MembershipOnRequest, index
		b, err := New(set, uint64(index))
		if err != nil {
			t.Fatal(err)
		}
		if action := find(b.Start(fleetStart, nil), ActionSetTimer); action == nil || action.DelayMs >= set.Contract.PollWithinMs {
			t.Errorf("agent %d of 1000 asks first by %+v", index, action)
		}
	}
}

// caller is one agent of a fleet where discovery is one service for all.
func caller(t *testing.T, mode string, index, agents int) *Balancer {
	t.Helper()
	set := testSettings()
	set.Membership, set.Index, set.Replicas = mode, index, agents
	set.Contract.PollWithinMs = 10000
	b, err := New(set, uint64(index))
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0, nil)
	return b
}

// after tells the agent at now how its call went, and gives the wait before the next one.
func after(t *testing.T, b *Balancer, now float64, how Event) float64 {
	t.Helper()
	action := find(b.Handle(now, how, nil), ActionSetTimer)
	if action == nil || action.Token != timerWatch {
		t.Fatalf("no call follows: %+v", action)
	}
	return action.DelayMs
}

// call lets the agent make its next call at now.
func call(t *testing.T, b *Balancer, now float64) {
	t.Helper()
	if find(b.Handle(now, &TimerFired{Token: timerWatch}, nil), ActionOpenWatch) == nil {
		t.Fatal("the agent does not call")
	}
}

// A watch that has lived and ended is opened anew while what it misses does not yet count
// as notified: 6 s after it fell silent, of which noticing takes 3 and a call up to 2. So in
// either mode, however large the fleet and however often it happens.
func TestLostWatchIsOpenedAnewInTime(t *testing.T) {
	for _, mode := range []string{MembershipOnRequest, MembershipWatched} {
		for _, agents := range []int{1, 6, 300, 2000} {
			b := caller(t, mode, agents-1, agents)
			spans := map[bool]int{}
			for i := range 200 {
				now := float64(i) * 5000
				call(t, b, now)
				wait := after(t, b, now+3000, &WatchEnded{}) // no word but the first
				if wait > 1000 {
					t.Fatalf("%s, %d agents: after a lost watch a wait of %v ms", mode, agents, wait)
				}
				spans[wait > min(watchStaggerMs*float64(agents), 1000)/2]++
			}
			if mode == MembershipOnRequest && (spans[true] < 60 || spans[false] < 60) {
				t.Fatalf("%d agents call in step: %v", agents, spans)
			}
		}
	}
}

// A watch that tells and ends at once is opened anew as soon as any, the first time: what it
// should have told counts soon. Each further time waits longer, as long as that still counts
// by the contract, or discovery would be called for ever.
func TestWatchThatEndsAsSoonAsItHasNotified(t *testing.T) {
	for _, agents := range []int{4, 300, 2000} {
		b := caller(t, MembershipOnRequest, agents-1, agents)
		for range 5 { // discovery is down
			call(t, b, 0)
			after(t, b, 2000, &DiscoveryFailed{})
		}
		last := 0.0
		for i := range 6 {
			now := 10000 * float64(i+1)
			call(t, b, now)
			b.Handle(now+200, &EndpointsUpdated{Kind: ListDelta}, nil) // nothing new
			wait := after(t, b, now+1200, &WatchEnded{})
			most, least := 1000*math.Pow(2, max(float64(i-1), 0)), last/2
			if wait > min(most, notifyWithinMs-watchCallMaxMs-1200) || wait < min(least, 500) {
				t.Fatalf("%d agents: a wait of %v ms after %d watches that ended at once", agents, wait, i+1)
			}
			last = wait
		}
	}
}

// Whatever went wrong before, an agent is notified 6 s after discovery could be reached: what a
// call still took that failed just as discovery came back, the wait after it and the next call,
// which may wait for 2 s, are together shorter. So in a fleet of any size, after any number of
// failures, at a discovery that refuses connections at once or hangs, and for the first call. And
// the agents don't come back together: of any fifth of the last wait no more than three fifths of
// them call in it.
func TestCallsHoldTheContractInAFleetOfAnySize(t *testing.T) {
	for _, agents := range []int{4, 300, 2000} {
		for _, took := range []float64{0, 2000, 2500} {
			var waits []float64
			for index := range agents {
				set := testSettings()
				set.Membership, set.Index, set.Replicas = MembershipOnRequest, index, agents
				b, err := New(set, uint64(index))
				if err != nil {
					t.Fatal(err)
				}
				now := 0.0
				if action := find(b.Start(now, nil), ActionSetTimer); action == nil || action.DelayMs+watchCallMaxMs > 6000-watchCallMarginMs {
					t.Fatalf("agent %d of %d calls first by %+v", index, agents, action)
				}
				for failure := range 8 {
					call(t, b, now)
					now += took
					wait := after(t, b, now, &DiscoveryFailed{})
					if took+wait+watchCallMaxMs > 6000-watchCallMarginMs+1e-6 {
						t.Fatalf("%d agents, calls take %v ms: failure %d waits for %v ms", agents, took, failure, wait)
					}
					if wait < 500 {
						t.Fatalf("%d agents: a wait of %v ms", agents, wait)
					}
					now += wait
					if failure == 7 {
						waits = append(waits, wait)
					}
				}
			}
			if agents < 300 {
				continue
			}
			slices.Sort(waits)
			fifth := waits[len(waits)-1] / 5
			for i, w := range waits {
				if j, _ := slices.BinarySearch(waits, w+fifth); j-i > agents*3/5 {
					t.Fatalf("%d of %d agents call within %v ms", j-i, agents, fifth)
				}
			}
		}
	}
}

// What the agent's own discovery has when it is back counts as notified at once: no wait before
// a call may take the drains' grace, however many calls have failed.
func TestLocalDiscoveryIsCalledOften(t *testing.T) {
	set := testSettings()
	set.Membership = MembershipWatched
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0, nil)
	for i := range 50 {
		action := find(b.Handle(float64(i), &DiscoveryFailed{}, nil), ActionSetTimer)
		if action == nil || action.Token != timerWatch || action.DelayMs > 500 {
			t.Fatalf("after %d failed calls %+v", i+1, action)
		}
	}
}

func TestListIsWatchedAgainAfterFailures(t *testing.T) {
	set := testSettings()
	set.Membership = "on_request"
	b, err := New(set, 3)
	if err != nil {
		t.Fatal(err)
	}
	first := find(b.Start(0, nil), ActionSetTimer)
	if first == nil || first.DelayMs > set.Contract.PollWithinMs {
		t.Fatalf("no subscription within the contract's time: %+v", first)
	}
	if find(b.Handle(first.DelayMs, &TimerFired{Token: first.Token}, nil), ActionOpenWatch) == nil {
		t.Fatal("the timer did not subscribe")
	}
	for range 8 {
		again := find(b.Handle(first.DelayMs, &DiscoveryFailed{}, nil), ActionSetTimer)
		if again == nil || again.DelayMs > set.Contract.PollWithinMs {
			t.Fatalf("a failed call was not repeated in the contract's time: %+v", again)
		}
	}
}
