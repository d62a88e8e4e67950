// This file limits attempts while this machine itself cannot open connections, and decides whether a
// failed connect is the fault of the endpoint or of this machine.

package policy

import "slices"

const (
	// initialLocalBackoffMs is the backoff, in ms, after an attempt that failed on this machine. It
	// is short because a system table or a range of ports has free entries again as soon as any
	// process closes something. The backoff doubles once, up to maxLocalBackoffMs. Jitter of up to
	// the same time is added, since all agents of a machine fail together. The total of at most 20 ms
	// delays queued requests by a small part of the usual latency objectives.
	initialLocalBackoffMs, maxLocalBackoffMs = 5.0, 10.0
	// connectedAfterMs is the age, in ms, at which an attempt in flight is assumed to have its
	// connection: the system call reports errors of this machine at once.
	connectedAfterMs = 2 * maxLocalBackoffMs
	// maxTrialWindow is the window of trials, in attempts, at which attempts are no longer limited.
	maxTrialWindow = 16
	// localFailureExpiryMs is the time, in ms, after the latest failure of this machine from which on
	// attempts are no longer limited, even without a trial. It is many times the longest backoff.
	localFailureExpiryMs = 1000.0
	// maxReachResults bounds the number of endpoints whose latest reachResult is kept.
	maxReachResults = 16
	// defaultReachExpiryMs is the time, in ms, for which a reachResult is kept if the settings give
	// no connect timeout.
	defaultReachExpiryMs = 1000.0
	// minUnreachableEndpoints is the number of unreachable endpoints below which the failure is
	// attributed to the endpoints and not to this machine.
	minUnreachableEndpoints = 2
)

// localFailureLimiter limits the attempts while this machine fails them. All requests share one
// backoff and one window. After a failure and its backoff a single attempt is sent as a trial. Each
// trial that does not fail on this machine doubles the window, until attempts are no longer limited.
// The backoff thus bounds the number of attempts while the machine fails, however many requests are
// queued.
type localFailureLimiter struct {
	*environment
	endpoints *endpointSet
	outliers  *outlierDetector

	failures     int           // consecutive failures; 0: attempts are not limited
	failedAt     float64       // time of the latest failure, in ms
	backoffUntil float64       // end of the backoff: no attempt is sent before, in ms
	window       int           // maximum number of trials in flight
	trials       []*attempt    // attempts in flight that may not have a connection yet
	reachResults []reachResult // from old to new, at most one for each endpoint
}

// reachResult says whether the latest attempt at an endpoint reached it. Results are kept from the
// first StatusUnreachable until all have expired.
type reachResult struct {
	endpoint         *endpoint
	at               float64 // time of the result, in ms
	reached          bool
	unreachableSince float64 // if not reached: time of the first of the consecutive failures, in ms
}

// newLocalFailureLimiter returns a limiter that limits nothing yet.
func newLocalFailureLimiter(env *environment, endpoints *endpointSet,
	outliers *outlierDetector) localFailureLimiter {
	return localFailureLimiter{environment: env, endpoints: endpoints, outliers: outliers}
}

// allows reports whether another attempt may be sent in spite of this machine's failures.
func (l *localFailureLimiter) allows() bool {
	if l.failures == 0 {
		return true
	}
	if l.now-l.failedAt > localFailureExpiryMs {
		l.reset()
		return true
	}
	for i := 0; i < len(l.trials); {
		if trial := l.trials[i]; l.now-trial.sentAt >= connectedAfterMs {
			l.trialSucceeded(trial)
		} else {
			i++
		}
	}
	return l.failures == 0 || l.now >= l.backoffUntil && len(l.trials) < l.window
}

// reset ends the limit on attempts.
func (l *localFailureLimiter) reset() { l.failures, l.trials = 0, nil }

// attemptSent records an attempt that is sent.
func (l *localFailureLimiter) attemptSent(attempt *attempt) {
	if l.failures > 0 {
		l.trials = append(l.trials, attempt)
	}
}

// trialSucceeded records that an attempt did not fail on this machine, whatever its endpoint did with
// it. It doubles the window if the attempt is a trial, and does nothing otherwise.
func (l *localFailureLimiter) trialSucceeded(attempt *attempt) {
	if !l.removeTrial(attempt) {
		return
	}
	if l.window *= 2; l.window >= maxTrialWindow {
		l.reset()
	}
}

// removeTrial removes an attempt from the trials and reports whether it was one.
func (l *localFailureLimiter) removeTrial(attempt *attempt) bool {
	i := slices.Index(l.trials, attempt)
	if i >= 0 {
		l.trials = slices.Delete(l.trials, i, i+1)
	}
	return i >= 0
}

// attemptFailed records an attempt that this machine could not make, and starts a backoff.
func (l *localFailureLimiter) attemptFailed(attempt *attempt) {
	l.removeTrial(attempt)
	if l.failures == 0 || attempt.sentAt >= l.failedAt { // not sent before a failure that was counted
		l.failures++
		backoff := min(initialLocalBackoffMs*float64(l.failures), maxLocalBackoffMs)
		l.failedAt, l.backoffUntil, l.window = l.now, l.now+backoff*(1+l.rng.Float64()), 1
	}
}

// attribute decides who is at fault for a StatusUnreachable, and returns the status that says so. It
// returns other statuses unchanged. It also records which endpoints were reached.
//
// If at least minUnreachableEndpoints, and more than half, of the endpoints tried recently are
// unreachable, this machine has lost its network, and the status is StatusLocalFailure. Ejections that
// were made before this was known are reverted. Otherwise the unreachable endpoint is at fault: its
// machine or its part of the network is gone, and the status is StatusConnectFailed.
func (l *localFailureLimiter) attribute(attempt *attempt, status Status) Status {
	if status != StatusUnreachable && len(l.reachResults) == 0 {
		return status
	}
	l.expireReach()
	switch status {
	case StatusUnreachable:
		l.recordReach(reachResult{endpoint: attempt.endpoint, at: l.now, unreachableSince: l.now})
	case StatusOK, StatusServerError, StatusReset:
		// An attempt that was sent before the oldest result says nothing about the time since.
		if len(l.reachResults) > 0 && attempt.sentAt >= l.reachResults[0].at {
			l.recordReach(reachResult{endpoint: attempt.endpoint, at: l.now, reached: true})
		}
		return status
	default:
		return status
	}
	if !l.mostUnreachable() {
		attempt.unreachable = true
		return StatusConnectFailed
	}
	for _, result := range l.reachResults {
		if !result.reached && l.endpoints.contains(result.endpoint) {
			l.outliers.revertUnreachable(result.endpoint, result.unreachableSince)
		}
	}
	return StatusLocalFailure
}

// expireReach removes the results that are older than the connect timeout.
func (l *localFailureLimiter) expireReach() {
	expiryMs := l.settings.Limits.ConnectTimeoutMs
	if expiryMs <= 0 {
		expiryMs = defaultReachExpiryMs
	}
	l.reachResults = slices.DeleteFunc(l.reachResults, func(result reachResult) bool {
		return l.now-result.at > expiryMs
	})
}

// mostUnreachable reports whether at least minUnreachableEndpoints, and more than half, of the
// endpoints tried recently could not be reached.
func (l *localFailureLimiter) mostUnreachable() bool {
	unreachable := 0
	for _, result := range l.reachResults {
		if !result.reached {
			unreachable++
		}
	}
	return unreachable >= minUnreachableEndpoints && 2*unreachable > len(l.reachResults)
}

// recordReach records a result. Only the latest of each endpoint is kept, ordered from old to new.
func (l *localFailureLimiter) recordReach(latest reachResult) {
	l.reachResults = slices.DeleteFunc(l.reachResults, func(result reachResult) bool {
		if result.endpoint == latest.endpoint && !result.reached && !latest.reached {
			latest.unreachableSince = result.unreachableSince
		}
		return result.endpoint == latest.endpoint
	})
	if len(l.reachResults) == maxReachResults {
		l.reachResults = slices.Delete(l.reachResults, 0, 1)
	}
	l.reachResults = append(l.reachResults, latest)
}
