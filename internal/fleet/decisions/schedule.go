package decisions

import (
	"container/heap"

	"ploverreel/policy"
)

// dueEvent is a scheduled event. Events of one time come in the order in which they were scheduled.
type dueEvent struct {
	at    float64
	order int
	kind  eventKind
	event policy.Event
}

// dueEvents is a heap of scheduled events, the first one on top.
type dueEvents []dueEvent

func (d dueEvents) Len() int { return len(d) }
func (d dueEvents) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d dueEvents) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dueEvents) Push(x any)   { *d = append(*d, x.(dueEvent)) }
func (d *dueEvents) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// next takes the first event out.
func (d *dueEvents) next() dueEvent { return heap.Pop(d).(dueEvent) }

// after schedules an event so many ms from now.
func (p *player) after(ms float64, kind eventKind, event policy.Event) {
	p.order++
	heap.Push(&p.due, dueEvent{p.now + ms, p.order, kind, event})
}
