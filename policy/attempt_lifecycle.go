// This file holds the way of an attempt: it is sent, its response may start, and it ends, after which
// what its end says is learnt; and what follows where an endpoint falls silent under it.

package policy

// silentAfter is after how many expected answer times without an answer an endpoint is taken to be
// silent, divided by its attempts in flight up to silentAttempts.
const silentAfter, silentAttempts = 8, 3

// send sends a request to an endpoint, and tells whether that is allowed.
func (b *Balancer) send(request *request, endpoint *endpoint) bool {
	if !b.retries.maySend(request, endpoint) {
		return false
	}
	sent := &attempt{request: request, endpoint: endpoint, index: request.tries.sent,
		alone: len(endpoint.traffic.inFlight) == 0, sentAt: b.now, cost: b.latency.hints.cost(request)}
	request.tries.add(sent)
	b.local.sent(sent)
	beginWithinMs := 0.0
	if request.idempotency.mayHaveRun == 0 {
		request.idempotency.earliestRunAt, request.idempotency.firstEndpoint = b.now, endpoint
	} else if request.class.Effect == EffectIdempotentWithKey {
		beginWithinMs = b.retries.idempotencyWindowLeftMs(request)
	}
	request.idempotency.mayHaveRun++
	endpoint.traffic.send(sent)
	b.endpoints.busy.insert(endpoint)
	b.limiter.lastAttemptAt = b.now
	b.limiter.inFlight++
	request.class.counts.Attempts++
	if b.capacityFraction(endpoint) < 1 {
		endpoint.slowStart.allowance -= sent.cost
		sent.charged = true
	}
	b.do(SendAttempt(request.id, endpoint.id, request.timing.deadline-b.now, beginWithinMs))
	return true
}

// onResponseStarted notes that a streamed answer has begun: its request is not sent again.
func (b *Balancer) onResponseStarted(event *ResponseStarted) {
	request := b.queue.open[event.Request]
	if request == nil || request.closed {
		return
	}
	request.started = true
	if attempt := request.attempt(event.Attempt); attempt != nil {
		attempt.endpoint.traffic.heardAt = b.now
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
		b.local.failed(attempt)
	} else {
		b.local.succeeded(attempt)
		b.outliers.countUnanswered(attempt, status)
		b.closeIdle(attempt.endpoint)
		if b.limiter.adapt(attempt, status, finite(event.LatencyMs)) {
			b.retries.earn()
		}
		b.recordOutcome(attempt, status, finite(event.LatencyMs))
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
	endpoint, request := attempt.endpoint, attempt.request
	attempt.done = true
	request.tries.inFlight--
	b.limiter.inFlight--
	if attempt.stalled {
		b.limiter.stalled--
	}
	endpoint.traffic.remove(attempt)
	if len(endpoint.traffic.inFlight) == 0 {
		b.endpoints.busy.remove(endpoint)
	}
	if status.NeverRan() {
		request.idempotency.mayHaveRun--
	}
}

// recordOutcome takes what an attempt's end after rttMs says about its endpoint and class.
func (b *Balancer) recordOutcome(attempt *attempt, status Status, rttMs float64) {
	endpoint := attempt.endpoint
	switch status {
	case StatusOK:
		b.slowStart.earn(endpoint, attempt.cost, b.selector.subset())
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
		endpoint.traffic.heardAt = b.now
		endpoint.window.cut(b.now, rejectedWindowCut, 1)
	}
}

// recordServed learns from an answer that came after rttMs.
func (b *Balancer) recordServed(attempt *attempt, rttMs float64) {
	endpoint, request := attempt.endpoint, attempt.request
	endpoint.health.failureRate -= outcomeWeight * endpoint.health.failureRate
	b.latency.hints.learn(request, rttMs)
	b.outliers.onAnswer(endpoint)
	b.limiter.abandoned.answered(rttMs)
	endpoint.traffic.answeredSentAt = max(endpoint.traffic.answeredSentAt, attempt.sentAt)
	endpoint.latency.lastMs = rttMs
	request.class.served(b.now, rttMs, request.timing.objectiveAt)
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
	request.class.unanswered(b.now, rttMs)
	if !b.set.Limits.Cancellation && rttMs > 0 {
		b.limiter.abandoned.add(attempt)
	}
	if endpoint.traffic.heardAt > attempt.sentAt {
		b.latency.hints.learn(request, rttMs)
		b.observeEndpoint(endpoint, b.latency.objectiveFraction(request, rttMs))
	} else {
		b.outliers.eject(endpoint, true)
	}
}

// recordCancelled learns from an attempt that was cancelled after rttMs, as its client left or it
// was late: so long at least it would have taken.
func (b *Balancer) recordCancelled(attempt *attempt, rttMs float64) {
	endpoint, request := attempt.endpoint, attempt.request
	request.class.unanswered(b.now, rttMs)
	if b.now >= request.timing.objectiveAt && endpoint.traffic.heardAt <= attempt.sentAt &&
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
	prices, gapMs := &b.set.Prices, endpoint.traffic.meanGapMs
	if prices.Connection <= 0 || len(endpoint.traffic.inFlight) > 0 {
		return
	}
	requestsPerMs := b.traffic.lifetimePerMs() * float64(b.set.Replicas)
	endpoints := float64(len(b.endpoints.all))
	if gapMs == 0 || gapMs*requestsPerMs*prices.Connection > 100*endpoints*prices.Handshake {
		b.do(CloseIdleConnections(endpoint.id))
	}
}

// ejectSilent ejects endpoints that took attempts and have answered nothing for several answer
// times: hung or gone silent, they would stay connected.
func (b *Balancer) ejectSilent() {
	b.countWork(b.endpoints.busy)
	for _, endpoint := range b.endpoints.busy {
		inFlight, health := endpoint.traffic.inFlight, &endpoint.health
		soon := silentAfter / float64(max(min(len(inFlight), silentAttempts), 1))
		if len(inFlight) > 0 && health.state != StateUnhealthy && b.unansweredFor(inFlight[0], soon) {
			b.outliers.eject(endpoint, true)
		}
		for _, attempt := range endpoint.traffic.inFlight {
			if health.silent && health.state == StateUnhealthy && b.unansweredFor(attempt, soon) {
				b.releaseStalled(attempt, b.unansweredFor(attempt, silentAfter))
			}
		}
	}
}

// unansweredFor tells whether neither an attempt nor its endpoint has answered for so many times
// the expected answer time.
func (b *Balancer) unansweredFor(attempt *attempt, times float64) bool {
	quietMs := b.now - max(attempt.endpoint.traffic.heardAt, attempt.sentAt)
	return quietMs >= b.latency.expectedMs(attempt.request)*times
}

// releaseStalled lets go of an attempt at an endpoint that fell silent under it. It stands in no
// queue that the agent's limit is to keep short: held by the limit up to deadlines of a minute and
// more, such attempts would take all of it, and nothing would be sent to the endpoints that live.
// Where the request may go elsewhere in time the attempt is cancelled, and else the request ends
// when it can no longer earn anything, as queued ones do. The limit lets go only when it is sure:
// crowded endpoints seem silent for a while too, and need the limit most.
func (b *Balancer) releaseStalled(attempt *attempt, sure bool) {
	request := attempt.request
	if sure && !attempt.stalled {
		attempt.stalled = true
		b.limiter.stalled++
	}
	objectiveAt := request.timing.objectiveAt
	switch {
	case attempt.cancelled || request.closed || request.started:
	case request.class.LateWeight == 0 && b.now >= objectiveAt:
		attempt.cancelled = true
		b.finishUnserved(request)
	case b.set.Limits.Cancellation && b.retries.mayRepeatNow(request) &&
		len(request.tries.counted) < request.tries.limit && b.retries.tokens >= 1 &&
		b.now+b.latency.expectedMs(request) < objectiveAt:
		attempt.cancelled = true
		b.do(CancelAttempt(request.id, attempt.index))
	}
}
