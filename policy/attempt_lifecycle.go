// This file holds the way of an attempt: it is sent, its response may start, and it ends, after which
// what its end says is learnt.

package policy

// send sends a request to an endpoint, and reports whether that is allowed.
func (b *Balancer) send(request *request, endpoint *endpoint) bool {
	if !b.retries.maySend(request, endpoint) {
		return false
	}
	sent := &attempt{request: request, endpoint: endpoint, index: request.tries.sent,
		alone: len(endpoint.traffic.inFlight) == 0, sentAt: b.now, cost: b.latency.hints.cost(request)}
	beginWithinMs := b.retries.beginWithinMs(request)
	request.tries.add(sent)
	request.idempotency.attemptSent(sent)
	request.class.countAttempt()
	b.local.attemptSent(sent)
	b.endpoints.attemptSent(sent)
	b.limiter.attemptSent()
	b.slowStart.charge(sent)
	b.do(SendAttempt(request.id, endpoint.id, request.timing.deadline-b.now, beginWithinMs))
	return true
}

// onResponseStarted notes that a streamed response has begun: its request is not sent again.
func (b *Balancer) onResponseStarted(event *ResponseStarted) {
	request := b.queue.open[event.Request]
	if request == nil || request.closed {
		return
	}
	request.started = true
	if attempt := request.attempt(event.Attempt); attempt != nil {
		attempt.endpoint.traffic.recordResponse(b.now)
	}
}

// onAttemptEnded learns from the end of an attempt, and closes its request or sends it again.
func (b *Balancer) onAttemptEnded(event *AttemptEnded) {
	request := b.queue.open[event.Request]
	if request == nil {
		return
	}
	attempt := request.attempt(event.Attempt)
	if attempt == nil || attempt.done {
		return
	}
	b.outcomes.add(event.Status)
	status := b.local.attribute(attempt, event.Status)
	b.settleAttempt(attempt, event.Status)
	if status == StatusLocalFailure {
		b.takeBackAttempt(attempt)
	} else {
		b.local.attemptSucceeded(attempt)
		b.learn(attempt, status, finite(event.LatencyMs))
	}
	switch {
	case request.closed || request.started || event.Final || status == StatusOK:
		b.close(request)
	case status == StatusLocalFailure:
		b.retryLocally(request)
	default:
		b.retry(request, status)
	}
}

// settleAttempt takes an attempt that has ended from all that counts it as in flight.
func (b *Balancer) settleAttempt(attempt *attempt, status Status) {
	request := attempt.request
	attempt.done = true
	request.tries.attemptEnded()
	b.limiter.attemptEnded(attempt)
	b.endpoints.attemptEnded(attempt)
	if status.NeverRan() {
		request.idempotency.attemptNeverRan()
	}
}

// takeBackAttempt takes back an attempt that this machine could not make: no endpoint has seen
// anything of it.
func (b *Balancer) takeBackAttempt(attempt *attempt) {
	b.local.attemptFailed(attempt)
	b.slowStart.refund(attempt)
	attempt.request.tries.uncount(attempt)
}

// learn takes what an attempt's end after rttMs says into all that learns from attempts.
func (b *Balancer) learn(attempt *attempt, status Status, rttMs float64) {
	b.outliers.recordUnanswered(attempt, status)
	b.closeIdle(attempt.endpoint)
	if b.limiter.adapt(attempt, status, rttMs) {
		b.retries.earn()
	}
	b.recordOutcome(attempt, status, rttMs)
}

// recordOutcome takes what an attempt's end after rttMs says about its endpoint and class.
func (b *Balancer) recordOutcome(attempt *attempt, status Status, rttMs float64) {
	endpoint := attempt.endpoint
	switch status {
	case StatusOK:
		b.slowStart.refillAllowances(endpoint, attempt.cost, b.subset.size())
		b.recordServed(attempt, rttMs)
	case StatusServerError, StatusReset:
		b.outliers.onError(endpoint)
	case StatusConnectFailed:
		b.outliers.onConnectFailed(endpoint)
	case StatusTimeout:
		b.recordTimeout(attempt, rttMs)
	case StatusCancelled:
		b.recordCancelled(attempt, rttMs)
	case StatusRejected:
		endpoint.traffic.recordResponse(b.now)
		endpoint.window.decrease(b.now, rejectedWindowFactor, 1)
	}
}

// recordServed learns from an answer that came after rttMs.
func (b *Balancer) recordServed(attempt *attempt, rttMs float64) {
	endpoint, request := attempt.endpoint, attempt.request
	endpoint.health.recordSuccess()
	b.latency.hints.observeAnswer(request, rttMs)
	b.endpointAnswered(endpoint)
	b.limiter.abandoned.answered(rttMs)
	endpoint.traffic.attemptAnswered(attempt)
	endpoint.latency.recordLast(rttMs)
	request.class.observeServed(b.now, rttMs, request.timing.objectiveAt)
	fraction := b.latency.objectiveFraction(request, rttMs)
	b.latency.observe(fraction, attempt.alone)
	b.observeEndpoint(endpoint, fraction)
	if b.outliers.onServed(attempt) {
		b.latency.adjustWindow(endpoint, rttMs)
	}
}

// recordTimeout learns from an attempt that was given up on after rttMs. An endpoint that answered
// others meanwhile is not to blame for a costly request; it counts as slow.
func (b *Balancer) recordTimeout(attempt *attempt, rttMs float64) {
	endpoint, request := attempt.endpoint, attempt.request
	b.limiter.abandoned.unanswered(rttMs, maxAbandonedDeadlines*b.classes.longestDeadlineMs)
	request.class.observeUnanswered(b.now, rttMs)
	if !b.set.Limits.Cancellation && rttMs > 0 {
		b.limiter.abandoned.add(attempt)
	}
	if endpoint.traffic.respondedSince(attempt) {
		b.latency.hints.observeAnswer(request, rttMs)
		b.observeEndpoint(endpoint, b.latency.objectiveFraction(request, rttMs))
	} else {
		b.outliers.eject(endpoint, true)
	}
}

// recordCancelled learns from an attempt that was cancelled after rttMs, as its client disconnected
// or it was late: so long at least it would have taken.
func (b *Balancer) recordCancelled(attempt *attempt, rttMs float64) {
	endpoint, request := attempt.endpoint, attempt.request
	request.class.observeUnanswered(b.now, rttMs)
	if b.now >= request.timing.objectiveAt && !endpoint.traffic.respondedSince(attempt) &&
		!b.outliers.mostUnanswered() {
		b.outliers.eject(endpoint, true)
	}
	if fraction := b.latency.objectiveFraction(request, rttMs); fraction > b.latency.recentOf(endpoint) {
		b.latency.observeRecent(endpoint, fraction)
	}
}

// observeEndpoint takes an answer time, as a part of the objective, into the means of its
// endpoint, zone and machine kind.
func (b *Balancer) observeEndpoint(endpoint *endpoint, fraction float64) {
	b.latency.observeEndpoint(endpoint, fraction)
	b.selector.observe(endpoint, fraction)
}

// closeIdle closes an endpoint's idle connections where keeping them costs more than opening one
// again, when this agent comes back to the endpoint as seldom as its last sends say. All agents'
// requests are taken for this one's times their number: where a thousand agents each meet every
// endpoint, they would keep hundreds of connections an endpoint open.
func (b *Balancer) closeIdle(endpoint *endpoint) {
	prices, gapMs := &b.set.Prices, endpoint.traffic.meanIntervalMs
	if prices.Connection <= 0 || len(endpoint.traffic.inFlight) > 0 {
		return
	}
	requestsPerMs := b.traffic.lifetimePerMs() * float64(b.set.Replicas)
	endpoints := float64(len(b.endpoints.all))
	if gapMs == 0 || gapMs*requestsPerMs*prices.Connection > 100*endpoints*prices.Handshake {
		b.do(CloseIdleConnections(endpoint.id))
	}
}
