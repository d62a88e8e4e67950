package policy

import (
	"fmt"
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
					most := toldWithin - callMost - callMargin - took
					if mode == MembershipWatched {
						most = longestWait
					}
					call(t, b, 0)
					now := 50 * hour // of quiet; then the watch falls silent
					wait := after(t, b, now, ListWatchEnded)
					for failure := range 3000 { // hours without discovery
						if wait > most+1e-6 {
							t.Fatalf("failure %d waits for %v ms of %v", failure, wait, most)
						}
						now += wait
						call(t, b, now)
						now += took
						wait = after(t, b, now, ListFailed)
					}
					now += wait
					call(t, b, now)
					b.Handle(now+200, &Event{Kind: EventEndpointList, List: ListDelta}, nil) // it is back
					now += 20 * hour
					if wait := after(t, b, now, ListWatchEnded); wait > lostBackoff {
						t.Fatalf("a watch that is lost after the outage is opened anew after %v ms", wait)
					}
				})
			}
		}
	}
}

// Lists come by the watch alone: no failure at servers has an agent ask for the whole list, in the
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
				a := find(actions, ActionSend)
				if a == nil {
					break
				}
				if status != StatusOK {
					failed++
				}
				actions = r.outcome(id, try, a.Server, status, 1)
				if find(actions, ActionFetch) != nil {
					t.Fatalf("%s: fetches the list", mode)
				}
			}
		}
		if failed < 100 {
			t.Fatalf("%s: %d attempts failed", mode, failed)
		}
	}
}
