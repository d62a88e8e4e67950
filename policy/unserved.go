// This file holds the detection of clients' retries of unserved requests.

package policy

import "slices"

// unservedRequest is the part of an unserved request that is kept to detect its retry.
type unservedRequest struct {
	class          *class
	key            uint64
	firstArrivedAt float64 // arrival of the client's first try, in ms
}

// rememberUnserved stores the first arrival time of an unserved request, so that the latency objective
// of its retry starts at the client's first try. It drops entries older than their class's deadline.
func (q *admissionQueue) rememberUnserved(request *request) {
	q.unserved = slices.DeleteFunc(q.unserved, func(kept unservedRequest) bool {
		return q.now-kept.firstArrivedAt > kept.class.DeadlineMs
	})
	if len(q.unserved) < maxQueued {
		q.unserved = append(q.unserved,
			unservedRequest{request.class, request.key, request.timing.firstArrivedAt})
	}
}

// takeUnserved removes the unserved request with the same class and key, and returns when its first
// try arrived.
func (q *admissionQueue) takeUnserved(request *request) (firstArrivedAt float64, found bool) {
	i := slices.IndexFunc(q.unserved, func(kept unservedRequest) bool {
		return kept.class == request.class && kept.key == request.key
	})
	if i < 0 {
		return 0, false
	}
	firstArrivedAt = q.unserved[i].firstArrivedAt
	q.unserved = slices.Delete(q.unserved, i, i+1)
	return firstArrivedAt, true
}

// detectRetry reports whether the request seems to be a client's retry, and sets the arrival of its
// first try if that is known. If clients don't mark their retries, a request with the class and key
// of an unserved one is assumed to be its retry. That is rarely wrong: an agent leaves few requests
// unserved within the time that clients wait, and hardly two of them have the same key.
func (q *admissionQueue) detectRetry(request *request, marked bool) bool {
	if !marked && (q.settings.Clients.MarksRetry || request.key == 0) {
		return false
	}
	firstArrivedAt, found := q.takeUnserved(request)
	if found {
		request.timing.firstArrivedAt = firstArrivedAt
	}
	return marked || found
}

// remapUnserved moves the unserved requests to the classes of new settings. It drops those whose
// class no longer exists.
func (q *admissionQueue) remapUnserved(successor map[*class]*class) {
	kept := q.unserved[:0]
	for _, unserved := range q.unserved {
		if unserved.class = successor[unserved.class]; unserved.class != nil {
			kept = append(kept, unserved)
		}
	}
	q.unserved = kept
}
