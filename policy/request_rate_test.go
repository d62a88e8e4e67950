package policy

import (
	"fmt"
	"math"
	"testing"
)

// Where clients don't mark their retries, a request like an unserved one is not counted as
// one more that the fleet has to bear: in a burst of retries every agent's part of what may be
// in flight grew with them.
func TestRequestRateLeavesOutUnmarkedRetries(t *testing.T) {
	for _, marks := range []bool{false, true} {
		t.Run(fmt.Sprintf("clients mark retries %v", marks), func(t *testing.T) {
			set := testSettings()
			set.Clients.MarksRetry = marks
			h := newHarness(t, set, 0) // nothing to send to: each goes unserved
			again := 0.0
			if marks {
				again = 1
			}
			for _, test := range []struct {
				name string
				key  uint64
				want float64
			}{{"first", 7, 1}, {"same key", 7, again}, {"another key", 8, 1}, {"no key", 0, 1}, {"no key again", 0, 1}} {
				before := h.b.requestRate.recent
				id, _ := h.arrive(idempotentClass, test.key)
				h.handle(&ClientDisconnected{Request: id})
				if got := h.b.requestRate.recent - before; got != test.want {
					t.Fatalf("%s: got %v counted, want %v", test.name, got, test.want)
				}
			}
		})
	}
}

// Requests that come evenly are measured at their rate, from soon after the start on; retries
// count for the lifetime alone.
func TestRequestRateMeasuresAnEvenRate(t *testing.T) {
	env := &environment{now: 1000, settings: Settings{Limits: Limits{KeepaliveMs: 10000}}}
	rate := newRequestRate(env)
	rate.start()
	for i := range 60000 {
		env.now += 0.5
		rate.count(i%2 == 1)
		if i > 10000 && math.Abs(rate.perMs()-1) > 0.05 {
			t.Fatalf("after %.0f ms got %.3f requests a ms, want 1", env.now-1000, rate.perMs())
		}
	}
	if got := rate.lifetimePerMs(); math.Abs(got-2) > 1e-9 {
		t.Errorf("over the lifetime got %.3f requests a ms, want 2", got)
	}
	env.now += 100000
	if got := rate.perMs(); got > 0.001 {
		t.Errorf("after ten spans without requests got %.3f requests a ms, want 0", got)
	}
}
