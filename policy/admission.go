// This file holds which requests wait, which are sent first and which are shed.

package policy

import (
	"cmp"
	"slices"
)

const (
	// infeasibleFraction is the least part of its expected time that a hinted request needs.
	infeasibleFraction = 0.7
	// maxQueued bounds the queued requests, and so the work of a decision.
	maxQueued = 512
	// maxPlacementFailures is how many requests that would go to any endpoint find none before a
	// dispatch stops: a few tell of all.
	maxPlacementFailures = 4
)

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

// newAdmissionQueue gives an empty queue that asks the components given.
func newAdmissionQueue(env *environment, classes *classStats, quotas *quotaTracker,
	latency *latencyTracker) admissionQueue {
	return admissionQueue{environment: env, classes: classes, quotas: quotas, latency: latency,
		open: map[RequestID]*request{}}
}

// push queues a request.
func (q *admissionQueue) push(request *request) { q.queued = append(q.queued, request) }

// remove takes a request from the queue.
func (q *admissionQueue) remove(request *request) {
	if i := slices.Index(q.queued, request); i >= 0 {
		q.queued = slices.Delete(q.queued, i, i+1)
	}
}

// priorityOf is what a unit of an endpoint's time spent on the request earns, by the objective's
// weights: its class's priority weight counts as a part of the whole, and in full of the worst
// class if it is of it.
func (q *admissionQueue) priorityOf(request *request) float64 {
	class, objective := request.class, &q.set.Objective
	priority := class.PriorityWeight * (objective.Whole + objective.WorstWindow)
	if class == q.classes.worst {
		priority += objective.WorstClass * q.classes.meanPriority / class.requestShare
	}
	if q.now+q.latency.expectedMs(request) > request.timing.objectiveAt {
		priority *= class.LateWeight + q.set.Prices.LateFail
	}
	if q.quotas.over(request.tenant) {
		priority *= q.set.OverQuotaWeight
	}
	if q.set.WeightBy != "work" {
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

// full tells whether more requests are queued than the agent can bear beside those in flight:
// past the requests it may have open, clients would wait for a connection with nobody to answer.
func (q *admissionQueue) full(inFlight int) bool {
	most := q.set.Limits.MaxOpenRequests
	return len(q.queued) > maxQueued ||
		len(q.queued) > 0 && most > 0 && len(q.queued)+inFlight > most
}

// onRequestArrived queues a new request, or rejects it at once if nothing can serve it in time.
func (b *Balancer) onRequestArrived(event *RequestArrived) {
	if b.queue.open[event.Request] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(b.classes.all) {
		// It is still owed an answer, and nothing of it ran.
		b.finishUnserved(&request{id: event.Request, class: &class{}})
		return
	}
	request, retry := b.newRequest(event)
	b.queue.open[request.id] = request
	request.class.counts.Requests++
	b.traffic.count(retry)
	b.quotas.count(request.tenant)
	b.classes.count(request.class)
	b.outliers.revalidate()
	b.queue.push(request)
	if b.isInfeasible(request) {
		b.finishUnserved(request)
	}
}

// newRequest gives the request that an event brings, and tells whether it is a client's retry.
func (b *Balancer) newRequest(event *RequestArrived) (created *request, retry bool) {
	class := b.classes.all[event.Class]
	created = &request{id: event.Request, class: class, tenant: event.Tenant, key: event.Key,
		timing: requestTiming{arrived: b.now, firstArrived: b.now},
		tries:  requestTries{limit: b.set.Limits.MaxAttempts}}
	if event.HasWorkHint {
		created.hint = finite(event.WorkHintMs)
	}
	if created.hint > 0 {
		b.latency.hints.note(created.hint)
	}
	leftMs := finite(event.TimeLeftMs)
	timing := &created.timing
	timing.deadline = b.now + leftMs - min(b.set.RoundMs, leftMs/4)
	retry = b.queue.isRetry(created, event.Retry)
	objectiveAt := timing.firstArrived + class.LatencyObjectiveMs + class.ObjectiveStretch*created.hint
	timing.objectiveAt = min(objectiveAt, timing.deadline)
	created.hash = b.selector.hashOf(created.key)
	return created, retry
}

// isInfeasible tells whether a request's hinted work cannot fit its objective anywhere: the costly
// few of a heavy tail would only keep others waiting.
func (b *Balancer) isInfeasible(request *request) bool {
	return request.hint > 0 && request.class.LateWeight == 0 &&
		infeasibleFraction*b.latency.hints.expectedMs(request) > request.timing.objectiveAt-b.now
}

// dispatch sends what is queued as far as there is capacity, in order of priority, and sheds what
// is too much.
func (b *Balancer) dispatch() {
	b.limiter.abandoned.settle(b.now)
	b.queue.sort()
	b.sendQueued()
	for b.queue.full(b.limiter.inFlight) {
		b.finishUnserved(b.queue.queued[len(b.queue.queued)-1])
	}
}

// sendQueued sends queued requests while the limits allow it. A request that waits for its key's
// endpoints is passed over.
func (b *Balancer) sendQueued() {
	queue := &b.queue
	queue.scarce = false
	for i, failures := 0, 0; i < len(queue.queued) && failures < maxPlacementFailures &&
		b.limiter.allows() && b.local.mayTry(); {
		request := queue.queued[i]
		if b.selector.keyEndpointsFull(request) {
			i++
			continue
		}
		if endpoint := b.selector.selectEndpoint(request); endpoint != nil && b.send(request, endpoint) {
			queue.queued = slices.Delete(queue.queued, i, i+1)
			continue
		}
		i++
		if !b.selector.waitsForKey(request) {
			failures++
		}
		queue.scarce = failures > 0
	}
}

// expire ends queued requests that can no longer earn anything, before they cost work.
func (b *Balancer) expire() {
	b.work += uint64(len(b.queue.queued))
	for i := 0; i < len(b.queue.queued); {
		request := b.queue.queued[i]
		last := request.timing.objectiveAt
		if request.class.LateWeight > 0 {
			last = request.timing.deadline
		}
		if b.now+b.latency.expectedMs(request) > last || b.now >= request.timing.deadline {
			b.finishUnserved(request)
			continue
		}
		i++
	}
}

// cancelLate ends requests that are in flight and can earn nothing any more while others wait for
// their places: past their objective their answers are worth nothing, and they would wait for slow
// endpoints up to their clients' deadlines. What may not be repeated at will is waited for: nobody
// could tell whether it has run.
func (b *Balancer) cancelLate() {
	if !b.set.Limits.Cancellation || len(b.queue.queued) == 0 || b.limiter.allows() && !b.queue.scarce {
		return
	}
	b.countWork(b.endpoints.busy)
	for _, endpoint := range b.endpoints.busy {
		if b.capacityFraction(endpoint) < 1 {
			continue // slow because it is warming up: each further attempt would count against it
		}
		for _, attempt := range endpoint.traffic.inFlight {
			request := attempt.request
			late := b.now >= request.timing.objectiveAt && request.class.LateWeight == 0
			if late && isRepeatable(request.class) {
				b.finishUnserved(request)
			}
		}
	}
}

// finishUnserved is the guard of all final answers but served ones: a rejection where the class
// allows the claim that a retry is harmless, else a failure.
func (b *Balancer) finishUnserved(request *request) {
	if request.closed || request.started {
		return
	}
	b.queue.remember(request)
	class := request.class
	harmless := request.idempotency.mayHaveRun == 0 || isRepeatable(class)
	b.close(request)
	if harmless {
		class.counts.Rejected++
		b.do(RejectRequest(request.id, b.set.Limits.MaxRetryAfterMs))
	} else {
		class.counts.Failed++
		b.do(FailRequest(request.id))
	}
}

// close cancels what is in flight of a finished request, and forgets it as soon as nothing is.
func (b *Balancer) close(request *request) {
	request.closed = true
	b.queue.remove(request)
	for _, attempt := range request.tries.counted {
		if !attempt.done && b.set.Limits.Cancellation {
			b.do(CancelAttempt(request.id, attempt.index))
		}
	}
	if request.tries.inFlight == 0 {
		delete(b.queue.open, request.id)
	}
}
