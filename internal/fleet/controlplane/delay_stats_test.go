package controlplane

import (
	"testing"
	"time"

	"ploverreel/internal/fleet"
)

// An agent that was not reached has no delay. A quantile that would need its delay is left out.
func TestDelayStatsLeaveOutQuantilesOfUnreachedAgents(t *testing.T) {
	f := &fleetRun{events: [][]event{{{Seq: 2, At: 2_000_000}}, {{Seq: 1, At: 1_000_000}}}}
	delays, c := newDelayStats(), fleet.Case{}
	if err := delays.addVersion(f, []int{0, 1}, version{2, time.Unix(0, 0)}, sameStart(time.Unix(1, 0))); err != nil {
		t.Fatal(err)
	}
	delays.addFigures(&c, "x")
	if without, _ := c.Figure("x_without"); without != 1 {
		t.Errorf("got %v agents without the version, want 1", without)
	}
	if at, ok := c.Figure("x_p50"); !ok || at < 0.999 || at > 1.001 {
		t.Errorf("got p50 %v s, want 1 s", at)
	}
	if _, ok := c.Figure("x_p99"); ok {
		t.Error("got a p99 with 1 of 2 agents reached, want none")
	}
}
