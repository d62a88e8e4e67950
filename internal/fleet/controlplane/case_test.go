package controlplane

import (
	"context"
	"errors"
	"testing"
)

// After a step fails, the later steps of the case do not run, and the case keeps the error of that
// step.
func TestCaseRunStopsAtFirstError(t *testing.T) {
	f := newFleetRun(smallPlan(), nil, nil)
	c := f.newCase(t.Context(), "failing")
	cause := errors.New("a step failed")
	ran := 0
	step := func(err error) { c.runStep(func(context.Context) error { ran++; return err }) }
	step(nil)
	step(cause)
	step(errors.New("another step failed"))
	if v := c.publish(); v != (version{}) {
		t.Errorf("got version %+v of a change published after the error, want none", v)
	}
	if ran != 2 || !errors.Is(c.err, cause) {
		t.Errorf("got %d steps run and error %v, want 2 and %v", ran, c.err, cause)
	}
}
