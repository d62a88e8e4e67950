package policy

import (
	"math"
	"testing"
)

// An error in a server's age within the tolerance makes it count as ageErrorFactor times what it
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
			right := b.ramp(&endpoint{startedAt: b.now - age, listedAt: b.now - age})
			older := b.now - age - tolerance
			if taken := b.ramp(&endpoint{startedAt: older, listedAt: older}); taken > ageErrorFactor*right+1e-9 {
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
