package simwire

import (
	"strings"
	"testing"
)

// Unknown keys are ignored. The error for a value of a wrong type names its key.
func TestParseSettingsNamesKeyOfWrongType(t *testing.T) {
	s, err := ParseSettings([]byte(`{"classes": [{"name": "x", "aimMs": 5, "effect": "free", "novel": 1}], "roundMs": 5, "strange": {}}`))
	if err != nil || len(s.Classes) != 1 || s.Classes[0].LatencyObjectiveMs != 5 || s.RoundMs != 5 {
		t.Errorf("got %+v and error %v, want one class with an objective of 5 ms and rounds of 5 ms", s, err)
	}
	if _, err := ParseSettings([]byte("classes:")); err == nil {
		t.Error("text that is no JSON: got no error, want one")
	}
	if _, err := ParseSettings([]byte(`{"roundMs": "five"}`)); err == nil || !strings.Contains(err.Error(), "roundMs") {
		t.Errorf("got error %v, want one that names roundMs", err)
	}
}
