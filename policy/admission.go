// This file holds the queue: which requests wait, and in which order.

package policy

import (
	"cmp"
	"slices"
)

// maxQueued bounds the queued requests, and so the work of a decision.
const maxQueued = 512

// admissionQueue holds the open requests and those of them that wait for capacity.
type admissionQueue struct {
	*environment
	classes *classStats
	quotas  *quotaTracker
	latency *latencyTracker

	open     map[RequestID]*request
	queued   []*request // in order of priority after each dispatch
	scarce   bool       // requests that would go to any endpoint find no capacity
	unserved []unservedRequest
}

// newAdmissionQueue returns an empty queue that asks the components given.
func newAdmissionQueue(env *environment, classes *classStats, quotas *quotaTracker,
	latency *latencyTracker) admissionQueue {
	return admissionQueue{environment: env, classes: classes, quotas: quotas, latency: latency,
		open: map[RequestID]*request{}}
}

// add takes in a request that is not open yet.
func (q *admissionQueue) add(added *request) { q.open[added.id] = added }

// forget drops a request that is closed and has no attempt in flight.
func (q *admissionQueue) forget(closed *request) { delete(q.open, closed.id) }

// push queues a request.
func (q *admissionQueue) push(request *request) { q.queued = append(q.queued, request) }

// remove takes a request from the queue.
func (q *admissionQueue) remove(request *request) {
	if i := slices.Index(q.queued, request); i >= 0 {
		q.queued = slices.Delete(q.queued, i, i+1)
	}
}

// removeAt takes the request at the index from the queue.
func (q *admissionQueue) removeAt(index int) { q.queued = slices.Delete(q.queued, index, index+1) }

// last returns the queued request with the least priority as of the last sort.
func (q *admissionQueue) last() *request { return q.queued[len(q.queued)-1] }

// setScarce notes whether requests that would go to any endpoint find no capacity.
func (q *admissionQueue) setScarce(scarce bool) { q.scarce = scarce }

// priorityOf returns what a unit of an endpoint's time spent on the request earns, by the objective's
// weights: its class's priority weight counts as a part of the whole, and in full of the worst
// class if it is of it.
func (q *admissionQueue) priorityOf(request *request) float64 {
	class, objective := request.class, &q.set.Objective
	priority := class.PriorityWeight * (objective.Whole + objective.WorstWindow)
	if class == q.classes.worst {
		priority += objective.WorstClass * q.classes.meanPriority / class.requestShare
	}
	if q.now+q.latency.expectedMs(request) > request.timing.objectiveAt {
		priority *= class.LateShare + q.set.Prices.LateFailure
	}
	if q.quotas.over(request.tenant) {
		priority *= q.set.OverQuotaFactor
	}
	if q.set.PriorityUnit != "work" {
		priority /= class.expectedMs(q.now)
	}
	return priority
}

// sort orders the queue by priority; of equals the newest goes first, as under overload the
// oldest would only end late.
func (q *admissionQueue) sort() {
	q.work += uint64(len(q.queued))
	for _, request := range q.queued {
		request.priority = q.priorityOf(request)
	}
	slices.SortFunc(q.queued, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority),
			cmp.Compare(y.timing.arrived, x.timing.arrived), cmp.Compare(x.id, y.id))
	})
}

// full reports whether more requests are queued than the agent can bear beside those in flight:
// past the requests it may have open, clients would wait for a connection with nobody to answer.
func (q *admissionQueue) full(inFlight int) bool {
	most := q.set.Limits.MaxOpenRequests
	return len(q.queued) > maxQueued ||
		len(q.queued) > 0 && most > 0 && len(q.queued)+inFlight > most
}
