package fleet

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Validate names the invalid argument in its error.
func TestSizeValidateNamesInvalidArgument(t *testing.T) {
	if err := TargetSize().Validate(); err != nil {
		t.Fatal(err)
	}
	for arg, change := range map[string]func(*Size){
		"agents":   func(s *Size) { s.Agents = 0 },
		"servers":  func(s *Size) { s.Servers = maxCount + 1 },
		"services": func(s *Size) { s.Services = s.Servers + 1 },
		"regions":  func(s *Size) { s.Regions = s.Zones + 1 },
		"zones":    func(s *Size) { s.Zones = -1 },
		"rate":     func(s *Size) { s.Rate = math.NaN() },
		"depth":    func(s *Size) { s.Depth = 0 },
	} {
		s := TargetSize()
		change(&s)
		var usage *UsageError
		if err := s.Validate(); !errors.As(err, &usage) || usage.Arg != arg {
			t.Errorf("got error %v, want a usage error of --%s", err, arg)
		}
	}
}

// LoadResult returns an error for an unfinished result and for a file in another format.
func TestLoadResultRejectsForeignAndUnfinished(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	r := NewResult("decide", nil, TargetSize())
	r.Cases = []Case{{Name: "a", Figures: []Figure{{"work", "count", 1}}}}
	if err := r.Save(path, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadResult(path); err != nil {
		t.Fatal(err)
	}
	if err := r.Save(path, errors.New("port in use")); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadResult(path); err == nil || !strings.Contains(err.Error(), "port in use") {
		t.Errorf("unfinished: got error %v, want one with the cause, port in use", err)
	}
	if err := os.WriteFile(path, []byte(`{"form":"other","finished":true}`), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadResult(path); err == nil {
		t.Error("foreign: got no error, want one")
	}
}

// A line fitted through points of a straight line predicts the value at the target. Fewer than four
// sizes are an error.
func TestFitLinePredictsTarget(t *testing.T) {
	var cases []Case
	for _, n := range []float64{1, 2, 4, 8, 16} {
		c := Case{Name: "n", Params: map[string]float64{"servers": n}}
		c.Add("work", "count", 3+2*n)
		cases = append(cases, c)
	}
	f, err := FitLine(cases, "work", "servers", 16)
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(f.PredictedAtTarget-35) > 1e-9 || f.MeasuredAtTarget == nil || *f.MeasuredAtTarget != 35 || len(f.Sizes) != 4 || f.RelativeRMSE > 1e-9 {
		t.Errorf("got %+v, want 35 at the target and measured there, 4 sizes and no residual", f)
	}
	if _, err := FitLine(cases[:3], "work", "servers", 16); err == nil {
		t.Error("got a line through three sizes, want an error")
	}
}
