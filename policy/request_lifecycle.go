// This file holds the lifecycle of a request: arrival, queueing, dispatch, retries and end. The
// lifecycle of its attempts is in attempt_lifecycle.go.

package policy

const (
	// infeasibleFraction multiplies the expected answer time of a request with a work hint: no answer
	// is assumed to take less than the product. If less time than that is left until the latency
	// objective, the request is infeasible.
	infeasibleFraction = 0.7
	// maxPlacementFailures bounds the requests, among those not waiting for the endpoints of their
	// key, for which a dispatch finds no endpoint. At this number the dispatch stops: the other
	// queued requests would most likely find none either.
	maxPlacementFailures = 4
)

// onRequestArrived queues a new request, or rejects it at once if no endpoint can serve it in time.
func (b *Balancer) onRequestArrived(event *RequestArrived) {
	if b.queue.open[event.Request] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(b.classes.all) {
		// The client still needs an answer. No attempt was made, so it gets a rejection.
		b.finishUnserved(&request{id: event.Request, class: &class{}})
		return
	}
	request, retry := b.newRequest(event)
	b.queue.add(request)
	b.requestRate.count(retry)
	b.quotas.count(request.tenant)
	b.classes.countRequest(request.class)
	b.outliers.revalidate(b.queue.outOfCapacity)
	b.queue.enqueue(request)
	if b.isInfeasible(request) {
		b.finishUnserved(request)
	}
}

// newRequest returns the request of an event, and whether it is a client's retry.
func (b *Balancer) newRequest(event *RequestArrived) (created *request, retry bool) {
	class := b.classes.all[event.Class]
	created = &request{id: event.Request, class: class, tenant: event.Tenant, key: event.Key,
		timing:   requestTiming{arrivedAt: b.now, firstArrivedAt: b.now},
		attempts: requestAttempts{limit: b.settings.Limits.MaxAttempts}}
	if event.HasWorkHint {
		created.workHintMs = clampFinite(event.WorkHintMs)
	}
	if created.workHintMs > 0 {
		b.latency.hints.observeHint(created.workHintMs)
	}
	leftMs := clampFinite(event.TimeLeftMs)
	timing := &created.timing
	// The margin is for the delivery of the answer: events are batched for up to RoundMs. It is at most
	// a quarter of the time left.
	timing.deadline = b.now + leftMs - min(b.settings.RoundMs, leftMs/4)
	retry = b.queue.detectRetry(created, event.Retry)
	objectiveAt := timing.firstArrivedAt + class.LatencyObjectiveMs +
		class.ObjectiveStretch*created.workHintMs
	timing.objectiveAt = min(objectiveAt, timing.deadline)
	created.hash = b.selector.hashOf(created.key)
	return created, retry
}

// isInfeasible reports whether a request with a work hint can't meet its latency objective at any
// endpoint. Where the distribution of work has a heavy tail, the few most expensive requests would
// only delay the others.
func (b *Balancer) isInfeasible(request *request) bool {
	return request.workHintMs > 0 && request.class.LateShare == 0 &&
		infeasibleFraction*b.latency.hints.expectedMs(request) > request.timing.objectiveAt-b.now
}

// dispatch sends queued requests in order of priority while there is capacity. Then it sheds the
// requests of lowest priority that exceed the bounds of the queue.
func (b *Balancer) dispatch() {
	b.limiter.abandoned.removeFinished(b.now)
	b.queue.sort()
	b.sendQueued()
	for b.queue.overLimit(b.limiter.inFlight) {
		b.finishUnserved(b.queue.lowestPriority())
	}
}

// sendQueued sends queued requests while the concurrency limit and localFailure allow it. It skips
// requests that still wait for the endpoints of their key.
func (b *Balancer) sendQueued() {
	failures := 0
	for i := 0; i < len(b.queue.queued) && failures < maxPlacementFailures &&
		b.limiter.allows() && b.localFailure.allows(); {
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
	b.queue.setOutOfCapacity(failures > 0)
}

// retry queues a request for another endpoint after a failed attempt if its class, its deadline and
// the retry budget allow that, and ends it otherwise. The retry competes with first attempts in the
// queue, so that failures don't multiply the load. The windows of the endpoints can't prevent that
// where each of a thousand agents has one or two requests in flight and all of them retry at once.
func (b *Balancer) retry(request *request, status Status) {
	if !b.retries.tryCharge(request, status) {
		b.finishUnserved(request)
		return
	}
	b.queue.enqueue(request)
}

// retryAfterLocalFailure queues a request again after an attempt that failed on the agent's own
// machine. It ends the request if its deadline has passed.
func (b *Balancer) retryAfterLocalFailure(request *request) {
	if b.now >= request.timing.deadline {
		b.finishUnserved(request)
		return
	}
	b.queue.enqueue(request)
}

// expireQueued ends queued requests whose answers would come too late to be worth anything, before
// an endpoint spends work on them. That time is the deadline for classes with a LateShare, and the
// latency objective for others.
func (b *Balancer) expireQueued() {
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

// cancelLate ends requests in flight that are past their latency objective while other requests wait
// for capacity. Their answers are worth nothing any more, and they could wait for slow endpoints up
// to their clients' deadlines. It leaves requests of a class with a LateShare, whose late answers
// are worth something, and requests that are not repeatable: nobody could tell whether they ran.
func (b *Balancer) cancelLate() {
	if !b.settings.Limits.Cancellation || len(b.queue.queued) == 0 ||
		b.limiter.allows() && !b.queue.outOfCapacity {
		return
	}
	b.countWork(b.endpoints.busy)
	for _, endpoint := range b.endpoints.busy {
		if b.capacityFraction(endpoint) < 1 {
			continue // slow because it is warming up; further attempts could overload it
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

// onClientDisconnected ends the request of a client that has disconnected.
func (b *Balancer) onClientDisconnected(event *ClientDisconnected) {
	if request := b.queue.open[event.Request]; request != nil && !request.closed {
		b.queue.rememberUnserved(request)
		b.closeRequest(request)
	}
}

// finishUnserved ends a request without a response from an endpoint. Only this function decides what
// the client gets: a rejection if a retry is harmless, because no attempt may have run or the class
// is repeatable, and a failure otherwise.
func (b *Balancer) finishUnserved(request *request) {
	if request.closed || request.responseStarted {
		return
	}
	b.queue.rememberUnserved(request)
	harmless := request.idempotency.mayHaveRun == 0 || isRepeatable(request.class)
	b.closeRequest(request)
	request.class.countUnserved(harmless)
	if harmless {
		b.emit(RejectRequest(request.id, b.settings.Limits.MaxRetryAfterMs))
	} else {
		b.emit(FailRequest(request.id))
	}
}

// closeRequest marks a request as finished and cancels its attempts in flight. It removes the request
// once no attempt is in flight.
func (b *Balancer) closeRequest(request *request) {
	request.closed = true
	b.queue.remove(request)
	for _, attempt := range request.attempts.counted {
		if !attempt.ended && b.settings.Limits.Cancellation {
			b.emit(CancelAttempt(request.id, attempt.index))
		}
	}
	if request.attempts.inFlight == 0 {
		b.queue.forget(request)
	}
}
