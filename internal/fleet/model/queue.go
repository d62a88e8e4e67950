package model

// event is an action at a virtual time in ms. Events with the same time fire in the order in which
// they were added.
type event struct {
	at       float64
	sequence uint64 // sequence number of the push
	effect   effect
}

// effect is what an event does when it fires. Types that implement it should be pointers: an event
// then needs no allocation of its own.
type effect interface{ fire(m *Model) }

// callback is a function as an event, for rare events that need no type of their own.
type callback func()

func (c callback) fire(*Model) { c() }

// before reports whether an event fires before another: by time, then by the order of the pushes.
func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// heapArity is the number of children of a node in the heap.
const heapArity = 4

// queue is a priority queue of pending events. It is a heap with heapArity children a node, plus a
// FIFO queue that is sorted by time. The FIFO queue takes events that follow their cause after a
// fixed delay, such as the many deadlines, at lower cost than the heap.
type queue struct {
	heap         []event
	fifo         []event
	fifoStart    int    // index of the first pending event in fifo
	lastSequence uint64 // sequence number of the last push
}

// empty reports whether no event is pending.
func (q *queue) empty() bool { return len(q.heap) == 0 && q.fifoStart == len(q.fifo) }

// push adds an event.
func (q *queue) push(at float64, effect effect) {
	q.lastSequence++
	added := event{at, q.lastSequence, effect}
	index := len(q.heap)
	q.heap = append(q.heap, added)
	for index > 0 {
		parent := (index - 1) / heapArity
		if !added.before(&q.heap[parent]) {
			break
		}
		q.heap[index] = q.heap[parent]
		index = parent
	}
	q.heap[index] = added
}

// pushOrdered adds an event that is likely to fire after all events that pushOrdered added before.
// If it does, it goes to the FIFO queue, else to the heap.
func (q *queue) pushOrdered(at float64, effect effect) {
	if n := len(q.fifo); n > q.fifoStart && q.fifo[n-1].at > at {
		q.push(at, effect)
		return
	}
	q.lastSequence++
	q.fifo = append(q.fifo, event{at, q.lastSequence, effect})
}

// next returns the first event without removing it. The queue must not be empty.
func (q *queue) next() *event {
	if q.fifoStart == len(q.fifo) || len(q.heap) > 0 && q.heap[0].before(&q.fifo[q.fifoStart]) {
		return &q.heap[0]
	}
	return &q.fifo[q.fifoStart]
}

// pop removes and returns the first event. The queue must not be empty.
func (q *queue) pop() event {
	first := *q.next()
	if q.fifoStart < len(q.fifo) && q.fifo[q.fifoStart].sequence == first.sequence {
		q.fifo[q.fifoStart].effect = nil
		if q.fifoStart++; 2*q.fifoStart > len(q.fifo) {
			q.fifo = q.fifo[:copy(q.fifo, q.fifo[q.fifoStart:])]
			q.fifoStart = 0
		}
		return first
	}
	count := len(q.heap) - 1
	last := q.heap[count]
	q.heap[count].effect = nil
	q.heap = q.heap[:count]
	for i := 0; count > 0; {
		least := heapArity*i + 1
		if least >= count {
			q.heap[i] = last
			break
		}
		for j := least + 1; j < min(heapArity*i+heapArity+1, count); j++ {
			if q.heap[j].before(&q.heap[least]) {
				least = j
			}
		}
		if !q.heap[least].before(&last) {
			q.heap[i] = last
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	return first
}
