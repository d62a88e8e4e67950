package policy

import (
	"math"
	"testing"
)

func TestClampFiniteMakesEventNumbersSafe(t *testing.T) {
	cases := []struct {
		name     string
		in, want float64
	}{
		{"plain", 12.5, 12.5},
		{"zero", 0, 0},
		{"negative", -3, 0},
		{"not a number", math.NaN(), 0},
		{"infinite", math.Inf(1), maxFinite},
		{"negative infinite", math.Inf(-1), 0},
		{"huge", math.MaxFloat64, maxFinite},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := clampFinite(test.in); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestEWMAStartsAtTheFirstSample(t *testing.T) {
	if got := ewma(0, 8, 0.25); got != 8 {
		t.Errorf("the first sample 8: got %v, want 8", got)
	}
	if got := ewma(8, 4, 0.25); got != 7 {
		t.Errorf("4 after 8 at a weight of a quarter: got %v, want 7", got)
	}
}
