package backend

import (
	"slices"
	"testing"
)

func TestLoadReportIsParsedWholeOrNotAtAll(t *testing.T) {
	got := ParseLoadReport("TEXT util=0.61, qps=7, eps=0, other=x", []string{"qps", "util", "eps"})
	if want := []float32{7, 0.61, 0}; !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for _, c := range []struct{ name, text string }{
		{"empty", ""},
		{"another form", "JSON {}"},
		{"value is no number", "TEXT qps=much, util=1"},
		{"a name is missing", "TEXT qps=1"},
		{"NaN", "TEXT qps=NaN, util=1"},
		{"infinite", "TEXT qps=+Inf, util=1"},
		{"negative", "TEXT qps=-1, util=1"},
		{"a name comes twice", "TEXT qps=1, qps=2, util=1"},
		{"no value", "TEXT qps, util=1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := ParseLoadReport(c.text, []string{"qps", "util"}); got != nil {
				t.Fatalf("ParseLoadReport(%q): got %v, want nil", c.text, got)
			}
		})
	}
}
