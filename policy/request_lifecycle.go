// This file holds the way of a request: it arrives, waits in the queue, is sent, is retried and ends.
// What each attempt of it goes through is in attempt_lifecycle.go.

package policy

const (
	// infeasibleFraction is the least part of its expected time that a hinted request needs.
	infeasibleFraction = 0.7
	// maxPlacementFailures is how many requests that would go to any endpoint find none before a
	// dispatch stops: a few tell of all.
	maxPlacementFailures = 4
)

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
	b.queue.add(request)
	b.traffic.count(retry)
	b.quotas.count(request.tenant)
	b.classes.countRequest(request.class)
	b.outliers.revalidate(b.queue.scarce)
	b.queue.push(request)
	if b.isInfeasible(request) {
		b.finishUnserved(request)
	}
}

// newRequest returns the request that an event brings, and whether it is a client's retry.
func (b *Balancer) newRequest(event *RequestArrived) (created *request, retry bool) {
	class := b.classes.all[event.Class]
	created = &request{id: event.Request, class: class, tenant: event.Tenant, key: event.Key,
		timing: requestTiming{arrived: b.now, firstArrived: b.now},
		tries:  requestTries{limit: b.set.Limits.MaxAttempts}}
	if event.HasWorkHint {
		created.hint = finite(event.WorkHintMs)
	}
	if created.hint > 0 {
		b.latency.hints.observeHint(created.hint)
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

// isInfeasible reports whether a request's hinted work cannot fit its objective anywhere: the costly
// few of a heavy tail would only keep others waiting.
func (b *Balancer) isInfeasible(request *request) bool {
	return request.hint > 0 && request.class.LateShare == 0 &&
		infeasibleFraction*b.latency.hints.expectedMs(request) > request.timing.objectiveAt-b.now
}

// dispatch sends what is queued as far as there is capacity, in order of priority, and sheds what
// is too much.
func (b *Balancer) dispatch() {
	b.limiter.abandoned.settle(b.now)
	b.queue.sort()
	b.sendQueued()
	for b.queue.full(b.limiter.inFlight) {
		b.finishUnserved(b.queue.last())
	}
}

// sendQueued sends queued requests while the limits allow it. A request that waits for its key's
// endpoints is passed over.
func (b *Balancer) sendQueued() {
	failures := 0
	for i := 0; i < len(b.queue.queued) && failures < maxPlacementFailures &&
		b.limiter.allows() && b.local.allows(); {
		request, inFlight := b.queue.queued[i], b.limiter.inFlight
		if b.selector.keyEndpointsFull(request, inFlight) {
			i++
			continue
		}
		if endpoint := b.selector.selectEndpoint(request, inFlight); endpoint != nil &&
			b.send(request, endpoint) {
			b.queue.removeAt(i)
			continue
		}
		i++
		if !b.selector.waitsForKey(request) {
			failures++
		}
	}
	b.queue.setScarce(failures > 0)
}

// retry queues an unanswered request for another endpoint where class, time and the retry budget
// allow, or ends it. It competes with first attempts, so that failures do not multiply the load:
// with a request or two in flight at each of a thousand agents no window holds back what all send
// on together.
func (b *Balancer) retry(request *request, reason Status) {
	if !b.retries.charge(request, reason) {
		b.finishUnserved(request)
		return
	}
	b.queue.push(request)
}

// retryLocally queues a request again of which an attempt failed on this machine.
func (b *Balancer) retryLocally(request *request) {
	if b.now >= request.timing.deadline {
		b.finishUnserved(request)
		return
	}
	b.queue.push(request)
}

// expire ends queued requests that can no longer earn anything, before they cost work.
func (b *Balancer) expire() {
	b.work += uint64(len(b.queue.queued))
	for i := 0; i < len(b.queue.queued); {
		request := b.queue.queued[i]
		last := request.timing.objectiveAt
		if request.class.LateShare > 0 {
			last = request.timing.deadline
		}
		if b.now+b.latency.expectedMs(request) > last || b.now >= request.timing.deadline {
			b.finishUnserved(request)
			continue
		}
		i++
	}
}

// cancelLate ends requests that are in flight and can earn nothing any more while others are
// queued: past their objective their answers are worth nothing, and they would wait for slow
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
			late := b.now >= request.timing.objectiveAt && request.class.LateShare == 0
			if late && isRepeatable(request.class) {
				b.finishUnserved(request)
			}
		}
	}
}

// onClientDisconnected ends a request whose client has disconnected.
func (b *Balancer) onClientDisconnected(event *ClientDisconnected) {
	if request := b.queue.open[event.Request]; request != nil && !request.closed {
		b.queue.remember(request)
		b.close(request)
	}
}

// finishUnserved answers a request that is not served. It is the one place that decides how: a
// rejection where the class allows the claim that a retry is harmless, else a failure.
func (b *Balancer) finishUnserved(request *request) {
	if request.closed || request.started {
		return
	}
	b.queue.remember(request)
	harmless := request.idempotency.mayHaveRun == 0 || isRepeatable(request.class)
	b.close(request)
	request.class.countUnserved(harmless)
	if harmless {
		b.do(RejectRequest(request.id, b.set.Limits.MaxRetryAfterMs))
	} else {
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
		b.queue.forget(request)
	}
}
