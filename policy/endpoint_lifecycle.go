// This file holds the way of an endpoint: it is listed, restarts, is checked, answers again after a
// failure, or falls silent.

package policy

// silentAfter is after how many expected answer times without an answer an endpoint is taken to be
// silent, divided by its attempts in flight up to silentAttempts.
const silentAfter, silentAttempts = 8, 3

// onEndpointsUpdated applies a change of the list.
func (b *Balancer) onEndpointsUpdated(event *EndpointsUpdated) {
	b.watch.onDelivered()
	b.endpoints.listChanged()
	listed := map[Addr]bool{}
	for i := range event.Entries {
		listed[event.Entries[i].Server] = true
		b.updateEndpoint(&event.Entries[i])
	}
	if event.Kind != ListDelta {
		b.endpoints.keepListed(listed)
	}
	floor, limit := b.limiter.floor(), b.limiter.limit()
	b.endpoints.removeGone(b.slowStart.remove)
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
	if startedAt > endpoint.slowStart.listedAt {
		b.restartEndpoint(endpoint, startedAt)
	}
	endpoint.update(entry)
}

// restartEndpoint takes an endpoint for a new process: nothing known of the old one holds, and it
// is warming up.
func (b *Balancer) restartEndpoint(endpoint *endpoint, startedAt float64) {
	b.outliers.restart(endpoint)
	b.slowStart.restart(endpoint, startedAt)
	b.latency.restart(endpoint)
	endpoint.window.restart()
}

// onHealthCheckEnded takes the result of a health check.
func (b *Balancer) onHealthCheckEnded(event *HealthCheckEnded) {
	endpoint := b.endpoints.byAddr[event.Server]
	if endpoint != nil && b.outliers.onHealthCheckEnded(endpoint, event.Status) {
		b.endpointAnswered(endpoint)
	}
}

// endpointAnswered notes that an endpoint lives. One that no connect reached for long may be a new
// process, warming up and not yet listed: it is taken to have started now. Time-outs alone don't
// tell: crowded endpoints would be left to idle.
func (b *Balancer) endpointAnswered(endpoint *endpoint) {
	if b.outliers.onAnswer(endpoint) {
		b.slowStart.assumeRestart(endpoint)
		endpoint.window.restart()
	}
	b.limiter.clearStalled(endpoint)
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

// unansweredFor reports whether neither an attempt nor its endpoint has answered for so many times
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
	if sure {
		b.limiter.markStalled(attempt)
	}
	objectiveAt := request.timing.objectiveAt
	switch {
	case attempt.cancelled || request.closed || request.responseStarted:
	case request.class.LateWeight == 0 && b.now >= objectiveAt:
		attempt.cancelled = true
		b.finishUnserved(request)
	case b.settings.Limits.Cancellation && b.retries.mayRetryNow(request) &&
		b.now+b.latency.expectedMs(request) < objectiveAt:
		attempt.cancelled = true
		b.emit(CancelAttempt(request.id, attempt.index))
	}
}
