// This file holds the lifecycle of an attempt: it is sent, its response may start, and it ends. The
// outcome then updates the statistics of its endpoint and its class.

package policy

// minWaitFraction is the fraction of the latency objective for which an attempt must have waited before
// the lack of an answer says anything about its endpoint. Less is enough if answers usually come earlier.
const minWaitFraction = 0.05

// send sends a request to an endpoint if the retry policy allows it, and reports whether it did.
func (b *Balancer) send(request *request, endpoint *endpoint) bool {
	if !b.retries.maySend(request, endpoint) {
		return false
	}
	sent := &attempt{request: request, endpoint: endpoint, index: request.attempts.sent,
		alone: len(endpoint.traffic.inFlight) == 0, sentAt: b.now, cost: b.latency.hints.cost(request)}
	beginWithinMs := b.retries.beginWithinMs(request)
	request.attempts.add(sent)
	request.idempotency.attemptSent(sent)
	request.class.countAttempt()
	b.localFailure.attemptSent(sent)
	b.endpoints.attemptSent(sent)
	b.limiter.attemptSent()
	b.slowStart.charge(sent)
	b.emit(SendAttempt(request.id, endpoint.id, request.timing.deadline-b.now, beginWithinMs))
	return true
}

// onResponseStarted records that a streamed response has begun. Its request is not sent again.
func (b *Balancer) onResponseStarted(event *ResponseStarted) {
	request := b.queue.open[event.Request]
	if request == nil || request.closed {
		return
	}
	request.responseStarted = true
	if attempt := request.attempt(event.Attempt); attempt != nil {
		attempt.endpoint.traffic.recordResponse(b.now)
	}
}

// onAttemptEnded applies the outcome of an attempt and closes or retries its request.
func (b *Balancer) onAttemptEnded(event *AttemptEnded) {
	request := b.queue.open[event.Request]
	if request == nil {
		return
	}
	attempt := request.attempt(event.Attempt)
	if attempt == nil || attempt.ended {
		return
	}
	b.outcomes.add(event.Status)
	status := b.localFailure.attribute(attempt, event.Status)
	b.releaseAttempt(attempt, event.Status)
	if status == StatusLocalFailure {
		b.revertAttempt(attempt)
	} else {
		b.localFailure.trialSucceeded(attempt)
		b.applyOutcome(attempt, status, clampFinite(event.LatencyMs))
	}
	switch {
	case request.closed || request.responseStarted || event.Final || status == StatusOK:
		b.closeRequest(request)
	case status == StatusLocalFailure:
		b.retryAfterLocalFailure(request)
	default:
		b.retry(request, status)
	}
}

// releaseAttempt removes an ended attempt from all counts of attempts in flight.
func (b *Balancer) releaseAttempt(attempt *attempt, status Status) {
	request := attempt.request
	attempt.ended = true
	request.attempts.attemptEnded()
	b.limiter.attemptEnded(attempt)
	b.endpoints.attemptEnded(attempt)
	if status.NeverRan() {
		request.idempotency.attemptNeverRan()
	}
}

// revertAttempt reverts the accounting of an attempt that failed on the agent's own machine: nothing
// of it was sent to its endpoint.
func (b *Balancer) revertAttempt(attempt *attempt) {
	b.localFailure.attemptFailed(attempt)
	b.slowStart.refund(attempt)
	attempt.request.attempts.uncount(attempt)
}

// applyOutcome updates the outlier detector, the concurrency limit, the retry budget and the
// statistics with the end of an attempt after rttMs.
func (b *Balancer) applyOutcome(attempt *attempt, status Status, rttMs float64) {
	b.outliers.recordUnanswered(attempt, status, b.hadTimeForAnswer(attempt))
	b.closeIdleConnections(attempt.endpoint)
	if b.limiter.adapt(attempt, status, rttMs) {
		b.retries.refill()
	}
	b.recordOutcome(attempt, status, rttMs)
}

// recordOutcome updates the state of an attempt's endpoint and class with its end after rttMs.
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

// recordServed updates the statistics with an answer that arrived after rttMs.
func (b *Balancer) recordServed(attempt *attempt, rttMs float64) {
	endpoint, request := attempt.endpoint, attempt.request
	endpoint.health.recordSuccess()
	b.latency.hints.observeAnswer(request, rttMs)
	b.endpointAlive(endpoint)
	b.limiter.abandoned.observeAnswered(rttMs)
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

// recordTimeout updates the statistics with an attempt that timed out after rttMs. If the endpoint
// has answered anything since the attempt was sent, the request may just be expensive: rttMs is then
// recorded as its answer time, so that the endpoint appears slow. Otherwise the endpoint is ejected.
// An attempt with too little time for an answer says nothing about its endpoint.
func (b *Balancer) recordTimeout(attempt *attempt, rttMs float64) {
	endpoint, request := attempt.endpoint, attempt.request
	b.limiter.abandoned.observeUnanswered(rttMs, maxSojournDeadlines*b.classes.longestDeadlineMs)
	request.class.observeUnanswered(b.now, rttMs)
	if !b.settings.Limits.Cancellation && rttMs > 0 {
		b.limiter.abandoned.add(attempt)
	}
	switch {
	case !b.hadTimeForAnswer(attempt):
	case endpoint.traffic.respondedSince(attempt):
		b.latency.hints.observeAnswer(request, rttMs)
		b.observeEndpoint(endpoint, b.latency.objectiveFraction(request, rttMs))
	default:
		b.outliers.eject(endpoint, true)
	}
}

// hadTimeForAnswer reports whether an attempt that ends now has waited for the time that an answer
// usually takes, or for minWaitFraction of the latency objective if that is less.
func (b *Balancer) hadTimeForAnswer(attempt *attempt) bool {
	request := attempt.request
	usualMs := min(b.latency.expectedMs(request), minWaitFraction*request.class.LatencyObjectiveMs)
	return b.now-attempt.sentAt >= usualMs
}

// recordCancelled updates the statistics with an attempt that was cancelled after rttMs because its
// client disconnected or it was late. rttMs is a lower bound of its answer time.
func (b *Balancer) recordCancelled(attempt *attempt, rttMs float64) {
	endpoint, request := attempt.endpoint, attempt.request
	request.class.observeUnanswered(b.now, rttMs)
	if b.now >= request.timing.objectiveAt && b.hadTimeForAnswer(attempt) &&
		!endpoint.traffic.respondedSince(attempt) && !b.outliers.mostUnanswered() {
		b.outliers.eject(endpoint, true)
	}
	if fraction := b.latency.objectiveFraction(request, rttMs); fraction > b.latency.recentOf(endpoint) {
		b.latency.observeRecent(endpoint, fraction)
	}
}

// observeEndpoint adds an answer time, as a fraction of the latency objective, to the averages of its
// endpoint, zone and machine kind.
func (b *Balancer) observeEndpoint(endpoint *endpoint, fraction float64) {
	b.latency.observeEndpoint(endpoint, fraction)
	b.selector.observe(endpoint, fraction)
}

// closeIdleConnections closes an endpoint's idle connections if keeping them costs more than a new
// handshake. The expected idle time is the mean interval between this agent's attempts at the
// endpoint. The request rate of all agents is estimated as this agent's rate times their number.
// Without this, a thousand agents that each use every endpoint would keep hundreds of connections
// open to each.
func (b *Balancer) closeIdleConnections(endpoint *endpoint) {
	prices, intervalMs := &b.settings.Prices, endpoint.traffic.meanIntervalMs
	if prices.Connection <= 0 || len(endpoint.traffic.inFlight) > 0 {
		return
	}
	// Prices.Connection applies to open connections per 100 endpoints, Prices.Handshake to new
	// connections per request.
	requestsPerMs := b.requestRate.lifetimePerMs() * float64(b.settings.Replicas)
	endpoints := float64(len(b.endpoints.all))
	if intervalMs == 0 || intervalMs*requestsPerMs*prices.Connection > 100*endpoints*prices.Handshake {
		b.emit(CloseIdleConnections(endpoint.id))
	}
}
