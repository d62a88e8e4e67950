package policy

import (
	"fmt"
	"math"
	"testing"
)

// When clients don't mark their retries, a request like an unserved one must not count towards the
// rate. Otherwise a burst of retries would raise every agent's floor of the concurrency limit.
func TestRequestRateIgnoresUnmarkedRetries(t *testing.T) {
	for _, marks := range []bool{false, true} {
		t.Run(fmt.Sprintf("clients mark retries %v", marks), func(t *testing.T) {
			set := testSettings()
			set.Clients.MarksRetry = marks
			h := newHarness(t, set, 0) // no endpoint: all requests go unserved
			again := 0.0
			if marks {
				again = 1
			}
			for _, test := range []struct {
				name string
				key  uint64
				want float64
			}{{"first", 7, 1}, {"same key", 7, again}, {"another key", 8, 1}, {"no key", 0, 1}, {"no key again", 0, 1}} {
				before := h.b.requestRate.recentCount
				id, _ := h.arrive(idempotentClass, test.key)
				h.handle(&ClientDisconnected{Request: id})
				if got := h.b.requestRate.recentCount - before; got != test.want {
					t.Fatalf("%s: got %v counted, want %v", test.name, got, test.want)
				}
			}
		})
	}
}

// The rate of evenly spaced requests is measured correctly from soon after the start. Retries count
// only towards the rate over the lifetime.
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
		t.Errorf("after ten times the time constant without requests got %.3f requests a ms, want 0", got)
	}
}
