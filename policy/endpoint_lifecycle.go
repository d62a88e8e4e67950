// This file implements the lifecycle of an endpoint: it is listed, restarts, is checked, answers again
// after a failure, or stops answering.

package policy

// silenceFactor multiplies the expected answer time of a request. An endpoint that has answered
// nothing for the product is silent. For an ejection the product is divided by the number of the endpoint's
// attempts in flight, up to maxSilenceDivisor.
const silenceFactor, maxSilenceDivisor = 8, 3

// onEndpointsUpdated applies a change of the list.
func (b *Balancer) onEndpointsUpdated(event *EndpointsUpdated) {
	b.watch.onDelivered()
	b.endpoints.startEpoch()
	listed := map[Addr]bool{}
	for i := range event.Entries {
		listed[event.Entries[i].Server] = true
		b.updateEndpoint(&event.Entries[i])
	}
	if event.Kind != ListDelta {
		b.endpoints.markUnlisted(listed)
	}
	floor, limit := b.limiter.floor(), b.limiter.limit()
	b.endpoints.removeUnusable(b.slowStart.remove)
	b.slowStart.listChanged()
	b.limiter.rebase(floor, limit)
}

// updateEndpoint applies one entry of the list.
func (b *Balancer) updateEndpoint(entry *Entry) {
	b.work++
	endpoint, startedAt := b.endpoints.byAddr[entry.Server], clampFinite(entry.StartedMs)
	if endpoint == nil {
		endpoint = b.endpoints.add(entry.Server, startedAt)
		b.slowStart.markWarming(endpoint)
	}
	if startedAt > endpoint.slowStart.listedStartAt {
		b.restartEndpoint(endpoint, startedAt)
	}
	endpoint.update(entry)
}

// restartEndpoint resets the state of an endpoint whose process has restarted: measurements of the
// old process no longer apply, and the new one is warming up.
func (b *Balancer) restartEndpoint(endpoint *endpoint, startedAt float64) {
	b.outliers.restart(endpoint)
	b.slowStart.restart(endpoint, startedAt)
	b.latency.restart(endpoint)
	endpoint.window.reset()
}

// onHealthCheckEnded handles the result of a health check.
func (b *Balancer) onHealthCheckEnded(event *HealthCheckEnded) {
	endpoint := b.endpoints.byAddr[event.Server]
	if endpoint != nil && b.outliers.onHealthCheckEnded(endpoint, event.Status) {
		b.endpointAlive(endpoint)
	}
}

// endpointAlive handles an endpoint that has served a request or passed a health check. If connects
// had failed for long, it may be a new process that is warming up and not yet listed, so a restart at
// this time is assumed. Timeouts alone are no reason to assume one: overloaded endpoints would be
// left idle.
func (b *Balancer) endpointAlive(endpoint *endpoint) {
	if b.outliers.onAlive(endpoint) {
		b.slowStart.assumeRestart(endpoint)
		endpoint.window.reset()
	}
	b.limiter.clearStalled(endpoint)
}

// ejectSilent ejects endpoints that have attempts in flight and have answered nothing for several
// expected answer times. Otherwise a hung endpoint would stay in StateConnected.
func (b *Balancer) ejectSilent() {
	b.countWork(b.endpoints.busy)
	for _, endpoint := range b.endpoints.busy {
		inFlight, health := endpoint.traffic.inFlight, &endpoint.health
		factor := silenceFactor / float64(max(min(len(inFlight), maxSilenceDivisor), 1))
		if len(inFlight) > 0 && health.state != StateUnhealthy && b.unansweredFor(inFlight[0], factor) {
			b.outliers.eject(endpoint, true)
		}
		for _, attempt := range endpoint.traffic.inFlight {
			if health.silent && health.state == StateUnhealthy && b.unansweredFor(attempt, factor) {
				b.releaseStalled(attempt, b.unansweredFor(attempt, silenceFactor))
			}
		}
	}
}

// unansweredFor reports whether an attempt is unanswered and its endpoint has answered nothing else,
// for factor times the expected answer time.
func (b *Balancer) unansweredFor(attempt *attempt, factor float64) bool {
	silentMs := b.now - max(attempt.endpoint.traffic.lastResponseAt, attempt.sentAt)
	return silentMs >= b.latency.expectedMs(attempt.request)*factor
}

// releaseStalled releases an attempt in flight at an endpoint that stopped answering. The concurrency
// limit exists to keep queues at endpoints short, and such an attempt is in no queue. With deadlines
// of a minute and more, stalled attempts would use up the whole limit, and nothing would be sent to
// the endpoints that are alive. If the request can be sent elsewhere in time, the attempt is
// cancelled. Otherwise the request ends when its answer is no longer worth anything, as queued
// requests do. The concurrency limit stops counting the attempt only if excludeFromLimit is set:
// overloaded endpoints seem silent for a while too, and they need the limit most.
func (b *Balancer) releaseStalled(attempt *attempt, excludeFromLimit bool) {
	request := attempt.request
	if excludeFromLimit {
		b.limiter.markStalled(attempt)
	}
	objectiveAt := request.timing.objectiveAt
	switch {
	case attempt.cancelled || request.closed || request.responseStarted:
	case request.class.LateShare == 0 && b.now >= objectiveAt:
		attempt.cancelled = true
		b.finishUnserved(request)
	case b.settings.Limits.Cancellation && b.retries.mayRetryNow(request) &&
		b.now+b.latency.expectedMs(request) < objectiveAt:
		attempt.cancelled = true
		b.emit(CancelAttempt(request.id, attempt.index))
	}
}
