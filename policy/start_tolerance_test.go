package policy

import (
	"math"
	"testing"
)

// An error in a server's age within the tolerance makes it count as ageErrorFactor times what it
// can do at most, at any age, and never as warm before its time by more than the tolerance.
func TestStartToleranceBoundsTheCapacity(t *testing.T) {
	for _, c := range []Contract{
		{ColdFrom: 0.05, ColdMs: 3000}, {ColdFrom: 0.2, ColdMs: 8000}, {ColdFrom: 0.53, ColdMs: 7000},
		{ColdFrom: 0.9, ColdMs: 1000}, {ColdFrom: 1, ColdMs: 1000}, {ColdFrom: 0.3}, {ColdMs: 5000},
	} {
		tolerance := c.StartToleranceMs()
		if !(tolerance >= 0) || tolerance > c.ColdMs {
			t.Fatalf("%+v: the tolerance is %v ms", c, tolerance)
		}
		set := testSettings()
		set.Contract.ColdFrom, set.Contract.ColdMs = c.ColdFrom, c.ColdMs
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		for age := 0.0; age < c.ColdMs; age += c.ColdMs / 100 {
			b.now = 1e6
			right := b.ramp(&server{startedAt: b.now - age, listedAt: b.now - age})
			older := b.now - age - tolerance
			if taken := b.ramp(&server{startedAt: older, listedAt: older}); taken > ageErrorFactor*right+1e-9 {
				t.Fatalf("%+v, %v ms old: counts as %v, is %v", c, age, taken, right)
			}
		}
	}
	if (&Contract{ColdFrom: 0.2, ColdMs: 8000}).StartToleranceMs() != 1000 {
		t.Error("not the tolerance by hand")
	}
	if math.IsNaN((&Contract{}).StartToleranceMs()) {
		t.Error("without slow start there is none")
	}
}
