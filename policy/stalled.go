// This file holds what follows when an endpoint falls silent with attempts in flight.

package policy

// silentAfter is after how many expected answer times without an answer an endpoint is taken to be
// silent, divided by its attempts in flight up to silentAttempts.
const silentAfter, silentAttempts = 8, 3

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
