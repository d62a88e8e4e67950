// This file holds the admission queue: requests that wait for capacity, ordered by priority.

package policy

import (
	"cmp"
	"slices"
)

// maxQueued is the maximum number of queued requests, and of unserved requests that are remembered.
// It bounds the work of a decision.
const maxQueued = 512

// admissionQueue holds the open requests, those of them that wait for capacity, and recent requests
// that were not served.
type admissionQueue struct {
	*environment
	classes *classStats
	quotas  *quotaTracker
	latency *latencyTracker

	open          map[RequestID]*request
	queued        []*request // in order of priority after each dispatch
	outOfCapacity bool       // see setOutOfCapacity
	unserved      []unservedRequest
}

// newAdmissionQueue returns an empty queue. It uses the given components to compute priorities.
func newAdmissionQueue(env *environment, classes *classStats, quotas *quotaTracker,
	latency *latencyTracker) admissionQueue {
	return admissionQueue{environment: env, classes: classes, quotas: quotas, latency: latency,
		open: map[RequestID]*request{}}
}

// add adds a new open request.
func (q *admissionQueue) add(added *request) { q.open[added.id] = added }

// forget removes a request that is closed and has no attempt in flight.
func (q *admissionQueue) forget(closed *request) { delete(q.open, closed.id) }

// enqueue appends a request to the queue.
func (q *admissionQueue) enqueue(request *request) { q.queued = append(q.queued, request) }

// remove removes a request from the queue, if it is queued.
func (q *admissionQueue) remove(request *request) {
	if i := slices.Index(q.queued, request); i >= 0 {
		q.queued = slices.Delete(q.queued, i, i+1)
	}
}

// removeAt removes the request at the index from the queue.
func (q *admissionQueue) removeAt(index int) { q.queued = slices.Delete(q.queued, index, index+1) }

// lowestPriority returns the queued request with the lowest priority as of the latest sort.
func (q *admissionQueue) lowestPriority() *request { return q.queued[len(q.queued)-1] }

// setOutOfCapacity records whether the latest dispatch found no endpoint with capacity for a request
// that may go to any.
func (q *admissionQueue) setOutOfCapacity(out bool) { q.outOfCapacity = out }

// priorityOf returns how much a unit of endpoint time spent on the request adds to the weighted sum
// of the Objective. Objective.Whole and WorstWindow cover all classes, so a request contributes its
// class's priority weight. Objective.WorstClass covers the worst class alone, so the contribution of
// a request of that class is inversely proportional to the class's share of the requests. With
// Settings.PriorityUnit "work" the weights are already per unit of work.
func (q *admissionQueue) priorityOf(request *request) float64 {
	class, objective := request.class, &q.settings.Objective
	priority := class.PriorityWeight * (objective.Whole + objective.WorstWindow)
	if class == q.classes.worst {
		priority += objective.WorstClass * q.classes.meanPriority / class.requestShare
	}
	if q.now+q.latency.expectedMs(request) > request.timing.objectiveAt {
		priority *= class.LateShare + q.settings.Prices.LateFailure
	}
	if q.quotas.over(request.tenant) {
		priority *= q.settings.OverQuotaFactor
	}
	if q.settings.PriorityUnit != "work" {
		priority /= class.expectedMs(q.now)
	}
	return priority
}

// sort orders the queue by descending priority. Requests of equal priority are ordered newest first,
// because under overload the oldest ones would miss their objectives anyway.
func (q *admissionQueue) sort() {
	q.work += uint64(len(q.queued))
	for _, request := range q.queued {
		request.priority = q.priorityOf(request)
	}
	slices.SortFunc(q.queued, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority),
			cmp.Compare(y.timing.arrivedAt, x.timing.arrivedAt), cmp.Compare(x.id, y.id))
	})
}

// overLimit reports whether more requests are queued than allowed, by maxQueued or, with those in
// flight, by Limits.MaxOpenRequests. Beyond the latter clients would wait for a connection to the
// agent and get no answer.
func (q *admissionQueue) overLimit(inFlight int) bool {
	maxOpen := q.settings.Limits.MaxOpenRequests
	return len(q.queued) > maxQueued ||
		len(q.queued) > 0 && maxOpen > 0 && len(q.queued)+inFlight > maxOpen
}
