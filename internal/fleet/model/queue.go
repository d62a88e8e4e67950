package model

// event is an action at a virtual time in ms. Events with the same time fire in the order in which they
// were added.
type event struct {
	at     float64
	order  uint64 // sequence number of the push
	action scheduled
}

// scheduled is the effect of an event. Types that implement it should be pointers: an event then needs
// no allocation of its own.
type scheduled interface{ fire(m *Model) }

// call is a function as an event, for rare events that need no type of their own.
type call func()

func (c call) fire(*Model) { c() }

// before reports whether an event fires before another: by time, then by the order of the pushes.
func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// heapArity is the number of children of a node in the heap.
const heapArity = 4

// queue is a priority queue of pending events. It is a heap plus a lane: a FIFO slice in the order of
// time. The lane takes events that follow their cause after a fixed delay, such as the many deadlines,
// at lower cost than the heap.
type queue struct {
	heap  []event
	lane  []event
	first int    // index of the lane's first pending event
	order uint64 // sequence number of the last push
}

// empty reports whether no event is pending.
func (q *queue) empty() bool { return len(q.heap) == 0 && q.first == len(q.lane) }

// push adds an event.
func (q *queue) push(at float64, what scheduled) {
	q.order++
	added := event{at, q.order, what}
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

// pushLate adds an event that is likely to fire after all events that were added by pushLate before. It
// goes to the lane if it does, and to the heap otherwise.
func (q *queue) pushLate(at float64, what scheduled) {
	if n := len(q.lane); n > q.first && q.lane[n-1].at > at {
		q.push(at, what)
		return
	}
	q.order++
	q.lane = append(q.lane, event{at, q.order, what})
}

// next returns the first event without removing it. The queue must not be empty.
func (q *queue) next() *event {
	if q.first == len(q.lane) || len(q.heap) > 0 && q.heap[0].before(&q.lane[q.first]) {
		return &q.heap[0]
	}
	return &q.lane[q.first]
}

// pop removes and returns the first event. The queue must not be empty.
func (q *queue) pop() event {
	first := *q.next()
	if q.first < len(q.lane) && q.lane[q.first].order == first.order {
		q.lane[q.first].action = nil
		if q.first++; 2*q.first > len(q.lane) {
			q.lane = q.lane[:copy(q.lane, q.lane[q.first:])]
			q.first = 0
		}
		return first
	}
	count := len(q.heap) - 1
	last := q.heap[count]
	q.heap[count].action = nil
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
