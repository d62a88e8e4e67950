package agent

import (
	"context"
	"testing"

	"ploverreel/internal/endpointlist"
)

// isType reports whether an input is of the type T.
func isType[T input](in input) bool {
	_, ok := in.(T)
	return ok
}

// An input needs at most one allocation on its way through the queue, and none if it is a pointer.
func TestInputsAllocateAtMostOnce(t *testing.T) {
	l := &loop{ctx: context.Background(), inputs: make(chan input, 1)}
	arrived, ended := &request{}, &attempt{}
	for _, c := range []struct {
		name string
		post func()
		want float64
	}{
		{"a request", func() { l.post(requestArrived{request: arrived}) }, 0},
		{"a client's disconnect", func() { l.post(clientDisconnected{request: arrived}) }, 0},
		{"an attempt's end", func() { l.post(attemptEnded{attempt: ended}) }, 1},
		{"a timer", func() { l.post(timerFired{token: 1 << 20}) }, 1},
		{"a list", func() { l.post(watchEvent{list: endpointlist.List{Seq: 1}}) }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := testing.AllocsPerRun(100, func() { c.post(); <-l.inputs }); got > c.want {
				t.Errorf("got %v allocations, want at most %v", got, c.want)
			}
		})
	}
}
