package model

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Events fire in the order of their times. Events with the same time fire in the order in which they
// were added.
func TestQueueKeepsOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var q queue
	type position struct {
		at    float64
		order int
	}
	var want, got []position
	popOne := func() {
		e := q.pop()
		got = append(got, position{e.at, int(e.sequence)})
	}
	now := 0.0
	for i := range 5000 {
		at := now + float64(rng.IntN(50))
		want = append(want, position{at, i + 1})
		if i%2 == 0 {
			q.push(at, callback(nil))
		} else {
			q.pushOrdered(at+20, callback(nil))
			want[i].at += 20
		}
		if i%3 == 0 {
			now = q.next().at
			popOne()
		}
	}
	for !q.empty() {
		popOne()
	}
	slices.SortFunc(want, func(a, b position) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.order - b.order
	})
	if !slices.Equal(got, want) {
		t.Errorf("got order of events %v, want %v", got, want)
	}
}
