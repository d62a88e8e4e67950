package model

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Events come in the order of their times, and events of one time in the order in which they were
// added.
func TestQueueKeepsOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var q queue
	type mark struct {
		at    float64
		order int
	}
	var want, got []mark
	take := func() {
		e := q.pop()
		got = append(got, mark{e.at, int(e.sequence)})
	}
	now := 0.0
	for i := range 5000 {
		at := now + float64(rng.IntN(50))
		want = append(want, mark{at, i + 1})
		if i%2 == 0 {
			q.push(at, call(nil))
		} else {
			q.pushOrdered(at+20, call(nil))
			want[i].at += 20
		}
		if i%3 == 0 {
			now = q.next().at
			take()
		}
	}
	for !q.empty() {
		take()
	}
	slices.SortFunc(want, func(a, b mark) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.order - b.order
	})
	if !slices.Equal(got, want) {
		t.Errorf("got events in the order %v, want %v", got, want)
	}
}
