package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// startWatching starts an agent at the time 0 that has to call discovery, and returns the delay of its
// first call in ms.
func startWatching(t *testing.T, set Settings, seed uint64) (b *Balancer, delayMs float64) {
	t.Helper()
	b = newBalancer(t, set, seed)
	actions := b.Start(0, nil)
	action := findAction(actions, ActionSetTimer)
	if action == nil || action.Token != timerWatch {
		t.Fatalf("agent %d of %d: got %+v, want a first call", set.Index, set.Replicas, actions)
	}
	return b, action.DelayMs
}

// watchSettings returns the settings of one of many agents, with the given membership mode.
func watchSettings(mode string, index, agents int) Settings {
	set := testSettings()
	set.Membership, set.Index, set.Replicas = mode, index, agents
	set.Contract.MaxListAgeMs = 10000
	return set
}

// callDelay passes in the end of the agent's latest call, and returns the delay of the next one in ms.
func callDelay(t *testing.T, b *Balancer, now float64, end Event) float64 {
	t.Helper()
	actions := b.Handle(now, end, nil)
	action := findAction(actions, ActionSetTimer)
	if action == nil || action.Token != timerWatch {
		t.Fatalf("got %+v, want another call", actions)
	}
	return action.DelayMs
}

// call fires the timer of the agent's next call at the time now.
func call(t *testing.T, b *Balancer, now float64) {
	t.Helper()
	if actions := b.Handle(now, &TimerFired{Token: timerWatch}, nil); findAction(actions, ActionOpenWatch) == nil {
		t.Fatalf("got %+v, want a watch opened", actions)
	}
}

// However long an outage of discovery lasts, and however quiet it was before, the first call after the
// outage is made in time: the backoff is bounded by what the contract allows.
func TestWatchSchedulerBoundsDelaysInALongOutage(t *testing.T) {
	const hour = 3600e3
	for _, mode := range []string{MembershipOnRequest, MembershipWatched} {
		for _, agents := range []int{4, 300, 2000} {
			for _, callMs := range []float64{0, 2000, 2500} {
				t.Run(fmt.Sprintf("%s, %d agents, calls take %.0f ms", mode, agents, callMs), func(t *testing.T) {
					b, _ := startWatching(t, watchSettings(mode, agents-1, agents), uint64(agents-1))
					most := notifyDeadlineMs - maxWatchCallMs - watchCallMarginMs - callMs
					if mode == MembershipWatched {
						most = localWatchMaxDelayMs
					}
					call(t, b, 0)
					now := 50 * hour // the list didn't change before the watch ends
					delayMs := callDelay(t, b, now, &WatchEnded{})
					for failure := range 3000 { // an outage of several hours
						if delayMs > most+1e-6 {
							t.Fatalf("failure %d: got a delay of %v ms, want %v at most", failure, delayMs, most)
						}
						now += delayMs
						call(t, b, now)
						now += callMs
						delayMs = callDelay(t, b, now, &DiscoveryFailed{})
					}
					now += delayMs
					call(t, b, now)
					b.Handle(now+200, &EndpointsUpdated{Kind: ListDelta}, nil) // discovery has recovered
					now += 20 * hour
					if delayMs := callDelay(t, b, now, &WatchEnded{}); delayMs > watchEndedBackoffMs {
						t.Fatalf("watch that ended after the outage: got a delay of %v ms, want %v at most", delayMs, watchEndedBackoffMs)
					}
				})
			}
		}
	}
}

// In the modes that agents on sockets use, lists come only from the watch: failures at endpoints don't
// cause an agent to fetch the whole list.
func TestWatchSchedulerFetchesNothingIfItWatches(t *testing.T) {
	for _, mode := range []string{MembershipOnRequest, MembershipWatched} {
		t.Run(mode, func(t *testing.T) {
			set := fleetSettings(10)
			set.Membership = mode
			h := newHarness(t, set, 3)
			failed := 0
			for range 200 {
				h.now += 100
				id, actions := h.arrive(idempotentClass, 0)
				for attempt, status := range []Status{StatusConnectFailed, StatusOK} {
					send := findAction(actions, ActionSendAttempt)
					if send == nil {
						break
					}
					if status != StatusOK {
						failed++
					}
					actions = h.endAttempt(id, attempt, send.Server, status, 1)
					if findAction(actions, ActionFetchEndpoints) != nil {
						t.Fatalf("got %+v, want no fetch", actions)
					}
				}
			}
			if failed < 100 {
				t.Fatalf("got %d failed attempts, want 100 at least", failed)
			}
		})
	}
}

// The list that an agent starts with may be old, and the agent may be treated as notified of changes
// from before its start. Therefore the first call is made within the drain grace, whatever the agent's
// index.
func TestWatchSchedulerCallsFirstWithinTheDrainGrace(t *testing.T) {
	for _, agents := range []int{4, 300, 2000} {
		for _, graceMs := range []float64{250, 1000, 1500, 30000} {
			t.Run(fmt.Sprintf("%d agents, %v ms of grace", agents, graceMs), func(t *testing.T) {
				last := 0.0
				for index := range agents {
					set := fleetSettings(agents)
					set.Membership, set.Index, set.Contract.DrainGraceMs = MembershipOnRequest, index, graceMs
					_, delayMs := startWatching(t, set, uint64(index))
					last = max(last, delayMs)
				}
				if last > graceMs || last > 6000-maxWatchCallMs {
					t.Errorf("got the last call after %v ms, want it within the drain grace and %v ms", last, 6000-maxWatchCallMs)
				}
			})
		}
	}
}

// The backoff after a failed call has jitter: it differs between agents and between restarts of one.
func TestWatchSchedulerSpreadsRetries(t *testing.T) {
	const agents, restarts, failures = 20, 5, 8
	delays := map[float64]int{}
	for i := range agents {
		for seed := range uint64(restarts) {
			set := fleetSettings(agents)
			set.Membership, set.Index = MembershipOnRequest, i
			b := newBalancer(t, set, seed<<8+uint64(i))
			b.Start(fleetStart, nil)
			for failure := range failures {
				delayMs := callDelay(t, b, fleetStart, &DiscoveryFailed{})
				if delayMs < 500 || delayMs > set.Contract.MaxListAgeMs {
					t.Fatalf("failure %d: got a delay of %v ms, want 500 to %v", failure, delayMs, set.Contract.MaxListAgeMs)
				}
				delays[delayMs]++
			}
		}
	}
	if want := agents * restarts * failures; len(delays) != want {
		t.Errorf("got %d different delays, want %d", len(delays), want)
	}
}

// However many agents there are, each makes its first call within the time after which a polled list
// is out of date by the contract.
func TestWatchSchedulerCallsFirstWithinThePollTime(t *testing.T) {
	for _, index := range []int{0, 500, 999} {
		set := fleetSettings(1000)
		set.Membership, set.Index = MembershipOnRequest, index
		b := newBalancer(t, set, uint64(index))
		action := findAction(b.Start(fleetStart, nil), ActionSetTimer)
		if action == nil || action.DelayMs >= set.Contract.MaxListAgeMs {
			t.Errorf("agent %d of 1000: got %+v, want a first call within %v ms", index, action, set.Contract.MaxListAgeMs)
		}
	}
}

// After a working watch has ended, the agent opens a new one before it is treated as notified of the
// changes it missed. That is 6 s after the watch became silent, of which the agent needs 3 s to notice
// and up to 2 s for the call. This holds in both modes, for fleets of any size, and however often it
// happens.
func TestWatchSchedulerReopensAnEndedWatchInTime(t *testing.T) {
	for _, mode := range []string{MembershipOnRequest, MembershipWatched} {
		for _, agents := range []int{1, 6, 300, 2000} {
			t.Run(fmt.Sprintf("%s, %d agents", mode, agents), func(t *testing.T) {
				b, _ := startWatching(t, watchSettings(mode, agents-1, agents), uint64(agents-1))
				late := 0 // number of delays in the second half of their range
				for i := range 200 {
					now := float64(i) * 5000
					call(t, b, now)
					delayMs := callDelay(t, b, now+3000, &WatchEnded{}) // nothing more was delivered
					if delayMs > 1000 {
						t.Fatalf("got a delay of %v ms, want 1000 at most", delayMs)
					}
					if delayMs > min(watchStaggerMs*float64(agents), 1000)/2 {
						late++
					}
				}
				if mode == MembershipOnRequest && (late < 60 || 200-late < 60) {
					t.Fatalf("got %d of 200 delays in the second half of their range, want 60 to 140", late)
				}
			})
		}
	}
}

// The first time that a watch delivers something and ends soon after, the agent opens a new one as soon
// as after any other watch, because it will soon be treated as notified of the changes it missed. Each
// further time the backoff grows, within the bound of the contract. Otherwise the agent would call
// discovery endlessly.
func TestWatchSchedulerBacksOffAfterShortWatches(t *testing.T) {
	for _, agents := range []int{4, 300, 2000} {
		t.Run(fmt.Sprintf("%d agents", agents), func(t *testing.T) {
			b, _ := startWatching(t, watchSettings(MembershipOnRequest, agents-1, agents), uint64(agents-1))
			for range 5 { // an outage of discovery
				call(t, b, 0)
				callDelay(t, b, 2000, &DiscoveryFailed{})
			}
			last := 0.0
			for i := range 6 {
				now := 10000 * float64(i+1)
				call(t, b, now)
				b.Handle(now+200, &EndpointsUpdated{Kind: ListDelta}, nil) // no changes
				delayMs := callDelay(t, b, now+1200, &WatchEnded{})
				most := min(1000*math.Pow(2, max(float64(i-1), 0)), notifyDeadlineMs-maxWatchCallMs-1200)
				if least := min(last/2, 500); delayMs > most || delayMs < least {
					t.Fatalf("after %d short watches: got a delay of %v ms, want %v to %v", i+1, delayMs, least, most)
				}
				last = delayMs
			}
		})
	}
}

// Whatever failed before, an agent has the current list 6 s after discovery has recovered. The sum of three
// times is shorter than that: the rest of a call that fails just as discovery recovers, the backoff
// after it, and the next call, which may wait for 2 s. This holds for fleets of any size, after any
// number of failures, for a discovery that refuses connections at once or hangs, and for the first
// call. The agents also don't all call at the same time: no more than three fifths of them call within
// any period of a fifth of the longest backoff.
func TestWatchSchedulerNotifiesInTimeInAnyFleet(t *testing.T) {
	for _, agents := range []int{4, 300, 2000} {
		for _, callMs := range []float64{0, 2000, 2500} {
			t.Run(fmt.Sprintf("%d agents, calls take %v ms", agents, callMs), func(t *testing.T) {
				var delays []float64
				for index := range agents {
					delays = append(delays, lastRetryDelay(t, index, agents, callMs))
				}
				if agents < 300 {
					return
				}
				slices.Sort(delays)
				fifth := delays[len(delays)-1] / 5
				for i, delayMs := range delays {
					if j, _ := slices.BinarySearch(delays, delayMs+fifth); j-i > agents*3/5 {
						t.Fatalf("got calls of %d agents within %v ms, want %d at most", j-i, fifth, agents*3/5)
					}
				}
			})
		}
	}
}

// lastRetryDelay starts an agent and fails its first eight calls after callMs each. It checks that
// the next call is made in time if discovery recovers after any of them, and returns the last delay in
// ms.
func lastRetryDelay(t *testing.T, index, agents int, callMs float64) (delayMs float64) {
	t.Helper()
	const most = 6000 - watchCallMarginMs
	b, delayMs := startWatching(t, watchSettings(MembershipOnRequest, index, agents), uint64(index))
	if delayMs+maxWatchCallMs > most {
		t.Fatalf("agent %d: got a first call after %v ms, want it done within %v ms", index, delayMs, most)
	}
	now := 0.0
	for failure := range 8 {
		call(t, b, now)
		now += callMs
		delayMs = callDelay(t, b, now, &DiscoveryFailed{})
		if callMs+delayMs+maxWatchCallMs > most+1e-6 {
			t.Fatalf("agent %d, failure %d: got a delay of %v ms, want the next call done within %v ms", index, failure, delayMs, most)
		}
		if delayMs < 500 {
			t.Fatalf("agent %d, failure %d: got a delay of %v ms, want 500 at least", index, failure, delayMs)
		}
		now += delayMs
	}
	return delayMs
}

// An agent is treated as notified of a change as soon as discovery on its own machine has recovered,
// so no backoff may be as long as the drain grace, however many calls have failed.
func TestWatchSchedulerCallsLocalDiscoveryOften(t *testing.T) {
	b, _ := startWatching(t, watchSettings(MembershipWatched, 0, 3), 1)
	for i := range 50 {
		if delayMs := callDelay(t, b, float64(i), &DiscoveryFailed{}); delayMs > 500 {
			t.Fatalf("after %d failed calls: got a delay of %v ms, want 500 at most", i+1, delayMs)
		}
	}
}

func TestWatchSchedulerCallsAgainAfterFailures(t *testing.T) {
	set := testSettings()
	set.Membership = MembershipOnRequest
	b, first := startWatching(t, set, 3)
	if first > set.Contract.MaxListAgeMs {
		t.Fatalf("got a first call after %v ms, want %v at most", first, set.Contract.MaxListAgeMs)
	}
	call(t, b, first)
	for range 8 {
		if delayMs := callDelay(t, b, first, &DiscoveryFailed{}); delayMs > set.Contract.MaxListAgeMs {
			t.Fatalf("got a delay of %v ms, want %v at most", delayMs, set.Contract.MaxListAgeMs)
		}
	}
}
