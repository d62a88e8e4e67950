// This file holds how a client's retry is known.

package policy

import "slices"

// unservedRequest holds what is remembered of an unserved request, to know its retry.
type unservedRequest struct {
	class          *class
	key            uint64
	firstArrivedAt float64 // ms
}

// remember keeps when an unserved request first came, so that its retry is judged by the time that
// has passed for the client.
func (q *admissionQueue) rememberUnserved(request *request) {
	q.unserved = slices.DeleteFunc(q.unserved, func(kept unservedRequest) bool {
		return q.now-kept.firstArrivedAt > kept.class.DeadlineMs
	})
	if len(q.unserved) < maxQueued {
		q.unserved = append(q.unserved,
			unservedRequest{request.class, request.key, request.timing.firstArrivedAt})
	}
}

// recall finds and forgets the unserved request that this one repeats.
func (q *admissionQueue) takeUnserved(request *request) (firstArrived float64, found bool) {
	i := slices.IndexFunc(q.unserved, func(kept unservedRequest) bool {
		return kept.class == request.class && kept.key == request.key
	})
	if i < 0 {
		return 0, false
	}
	firstArrived = q.unserved[i].firstArrivedAt
	q.unserved = slices.Delete(q.unserved, i, i+1)
	return firstArrived, true
}

// isRetry reports whether the request seems to be a client's retry, and notes when its first try
// came. Where clients don't mark their retries, a request with the class and the key of an
// unserved one is taken to be its retry: of the few requests that an agent did not serve within
// the time that clients wait, hardly another has the same key.
func (q *admissionQueue) detectRetry(request *request, marked bool) bool {
	if !marked && (q.settings.Clients.MarksRetry || request.key == 0) {
		return false
	}
	firstArrived, found := q.takeUnserved(request)
	if found {
		request.timing.firstArrivedAt = firstArrived
	}
	return marked || found
}

// keepUnserved moves the unserved requests to the classes of new settings, and forgets those whose
// class is named no more.
func (q *admissionQueue) remapUnserved(successor map[*class]*class) {
	kept := q.unserved[:0]
	for _, unserved := range q.unserved {
		if unserved.class = successor[unserved.class]; unserved.class != nil {
			kept = append(kept, unserved)
		}
	}
	q.unserved = kept
}
