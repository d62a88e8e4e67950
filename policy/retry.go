// This file holds the retry policy: which endpoints a request may be sent to, whether it may be sent
// again, and the retry budget.

package policy

const (
	// retryRatio is the number of tokens that each answer in time adds to the retry budget, a token
	// bucket. A retry costs one token. retryBurst is the capacity of the bucket, in tokens: enough
	// for a moment in which half the endpoints disappear.
	retryRatio, retryBurst = 0.5, 20.0
	// writeDelayMarginMs is the longest delay, in ms, that is expected between an agent's reading of
	// its clock and its write to the network: agents share their processors with other programs.
	// An attempt that must not be sent after a given time is not started within this margin
	// before it.
	writeDelayMarginMs = 150.0
)

// retryPolicy decides whether a request may be sent to an endpoint, and holds the retry budget.
type retryPolicy struct {
	*environment
	endpoints *endpointSet
	tokens    float64 // retry budget: retries that may still be made, up to retryBurst
}

// newRetryPolicy returns a policy with a full retry budget.
func newRetryPolicy(env *environment, endpoints *endpointSet) retryPolicy {
	return retryPolicy{environment: env, endpoints: endpoints, tokens: retryBurst}
}

// maySend reports whether a request may be sent to an endpoint. It is checked before every attempt. It
// allows no attempt beyond the request's limit, after its deadline or while another one is in
// flight, and no second run of a request where that is not safe. The slow start allowance is
// checked by eligibility.hasCapacity.
func (p *retryPolicy) maySend(request *request, endpoint *endpoint) bool {
	attempts := &request.attempts
	if !endpoint.usable || request.closed || request.responseStarted || attempts.inFlight > 0 ||
		p.now >= request.timing.deadline || len(attempts.counted) >= attempts.limit {
		return false
	}
	for _, attempt := range attempts.counted {
		if attempt.endpoint == endpoint && len(p.endpoints.all) > len(attempts.counted) {
			return false // while there are untried endpoints, a retry goes to one of them
		}
	}
	return request.idempotency.mayHaveRun == 0 || p.mayRepeatAt(request, endpoint)
}

// mayRepeatAt reports whether a request that may have run may be sent again, to the endpoint.
func (p *retryPolicy) mayRepeatAt(request *request, endpoint *endpoint) bool {
	switch request.class.Effect {
	case EffectIdempotent:
		return true
	case EffectIdempotentWithKey:
		if p.idempotencyWindowLeftMs(request) <= 0 {
			return false
		}
		switch request.class.Group {
		case GroupAll:
			return true
		case GroupZone:
			return endpoint.zone == request.idempotency.firstZone
		case GroupCell:
			return endpoint.cell == request.idempotency.firstCell
		}
	}
	return false
}

// idempotencyWindowLeftMs returns for how long, in ms, a request with an idempotency key that may have
// run may still be sent again. The window starts at the earliest time at which it may have run. A
// retry may be delayed by writeDelayMarginMs and two event rounds before its first byte is written,
// so a shorter window allows no retry.
func (p *retryPolicy) idempotencyWindowLeftMs(request *request) float64 {
	return request.idempotency.earliestRunAt + request.class.IdempotencyWindowMs -
		writeDelayMarginMs - 2*p.settings.RoundMs - p.now
}

// beginWithinMs returns the time in ms within which the next attempt of a request must begin; 0: any
// time.
func (p *retryPolicy) beginWithinMs(request *request) float64 {
	if request.idempotency.mayHaveRun > 0 && request.class.Effect == EffectIdempotentWithKey {
		return p.idempotencyWindowLeftMs(request)
	}
	return 0
}

// mayRetryNow reports whether the class, the limit on attempts and the retry budget allow another
// attempt, at some endpoint, of a request that may have run.
func (p *retryPolicy) mayRetryNow(request *request) bool {
	return p.mayRepeatNow(request) && len(request.attempts.counted) < request.attempts.limit && p.tokens >= 1
}

// mayRepeatNow reports whether a request that may have run may still be sent again, to some endpoint.
func (p *retryPolicy) mayRepeatNow(request *request) bool {
	switch request.class.Effect {
	case EffectIdempotent:
		return true
	case EffectIdempotentWithKey:
		return p.idempotencyWindowLeftMs(request) > 0
	}
	return false
}

// refill adds the tokens for one answer in time to the retry budget.
func (p *retryPolicy) refill() { p.tokens = min(p.tokens+retryRatio, retryBurst) }

// tryCharge reports whether a request that was not answered may be sent again, and takes a token from
// the retry budget if so. status is the status of the last attempt. A retry after an attempt that
// reached no endpoint is free.
func (p *retryPolicy) tryCharge(request *request, status Status) bool {
	effect := request.class.Effect
	repeatable := request.idempotency.mayHaveRun == 0 || effect == EffectIdempotent ||
		effect == EffectIdempotentWithKey
	cost := 1.0
	if status == StatusConnectFailed {
		cost = 0
	}
	exhausted := p.tokens < cost || len(request.attempts.counted) >= request.attempts.limit
	if !repeatable || exhausted || status == StatusNotSent || p.now >= request.timing.deadline {
		return false
	}
	p.tokens -= cost
	return true
}

// isRepeatable reports whether a client may safely repeat a request of the class, even if the request
// may have run.
func isRepeatable(class *class) bool {
	return class.Effect == EffectIdempotent ||
		class.Effect == EffectIdempotentWithKey && class.Group == GroupAll
}
