package decisions

import (
	"container/heap"

	"ploverreel/policy"
)

// scheduledEvent is an event that occurs at a given virtual time. Events at the same time occur in
// the order in which they were scheduled.
type scheduledEvent struct {
	atMs  float64
	seq   int
	kind  eventKind
	event policy.Event
}

// eventQueue is a heap of scheduled events, with the earliest one on top.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].atMs < q[j].atMs || q[i].atMs == q[j].atMs && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// popNext removes the earliest event and returns it.
func (q *eventQueue) popNext() scheduledEvent { return heap.Pop(q).(scheduledEvent) }

// schedule schedules an event delayMs after the current virtual time.
func (d *driver) schedule(delayMs float64, kind eventKind, event policy.Event) {
	d.scheduledCount++
	heap.Push(&d.scheduled, scheduledEvent{d.nowMs + delayMs, d.scheduledCount, kind, event})
}
