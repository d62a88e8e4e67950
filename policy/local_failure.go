// This file holds what follows when this machine itself can't open connections.

package policy

import "slices"

const (
	// firstLocalBackoffMs is the time to the next attempt after this machine failed one: a table
	// of the system or a range of ports has entries to give again as soon as anybody closes something.
	// It doubles once, and up to as much again is added at random, since all agents of a machine
	// fail together. At most 20 ms keeps what waits within a small part of the usual latency
	// objectives.
	firstLocalBackoffMs, lastLocalBackoffMs = 5.0, 10.0
	// settledAfterMs is after how long an attempt that is still in flight is taken to have got its
	// connection: errors of this machine come back from the system call, at once.
	settledAfterMs = 2 * lastLocalBackoffMs
	// unlimitedWindow is the window of trials from which on attempts are not bounded any more.
	unlimitedWindow = 16
	// localMemoryMs is after how long without a failure of this machine none is expected any more:
	// many times the longest backoff.
	localMemoryMs = 1000.0
	// maxReachResults bounds the endpoints whose latest results are kept while some are unreachable.
	maxReachResults = 16
	// defaultReachMs is for how long an endpoint counts as unreachable where no connect timeout is set.
	defaultReachMs = 1000.0
)

// localFailure bounds the attempts while this machine fails them. All requests share one backoff
// and one window: after a failure one attempt is sent as a trial, and each that does not fail in
// that way doubles the window, until attempts are not bounded any more. So the attempts in that
// time are bounded by the backoff, whatever the number of requests that wait.
type localFailure struct {
	*environment
	endpoints *endpointSet
	outliers  *outlierDetector

	row      int        // failures one after the other; 0: attempts are not bounded
	failedAt float64    // the latest, in ms
	until    float64    // no attempt is sent before, in ms
	window   int        // trials that may be in flight
	trials   []*attempt // attempts in flight of which it isn't known whether they got a connection
	reach    []reachResult
}

// reachResult is how the latest attempt at an endpoint ended while some endpoint was unreachable.
type reachResult struct {
	endpoint *endpoint
	at       float64 // ms
	reached  bool
	since    float64 // if not reached: time of the first such result in a row, in ms
}

// newLocalFailure returns a localFailure that bounds nothing yet.
func newLocalFailure(env *environment, endpoints *endpointSet, outliers *outlierDetector) localFailure {
	return localFailure{environment: env, endpoints: endpoints, outliers: outliers}
}

// mayTry reports whether this machine's failures let another attempt be sent.
func (l *localFailure) mayTry() bool {
	if l.row == 0 {
		return true
	}
	if l.now-l.failedAt > localMemoryMs {
		l.reset()
		return true
	}
	for i := 0; i < len(l.trials); {
		if trial := l.trials[i]; l.now-trial.sentAt >= settledAfterMs {
			l.succeeded(trial)
		} else {
			i++
		}
	}
	return l.row == 0 || l.now >= l.until && len(l.trials) < l.window
}

// reset lets attempts be sent without a bound again.
func (l *localFailure) reset() { l.row, l.trials = 0, nil }

// sent notes an attempt that is sent.
func (l *localFailure) sent(attempt *attempt) {
	if l.row > 0 {
		l.trials = append(l.trials, attempt)
	}
}

// succeeded notes that an attempt did not fail on this machine.
func (l *localFailure) succeeded(attempt *attempt) {
	if !l.removeTrial(attempt) {
		return
	}
	if l.window *= 2; l.window >= unlimitedWindow {
		l.reset()
	}
}

// removeTrial takes an attempt from the trials and reports whether it was one.
func (l *localFailure) removeTrial(attempt *attempt) bool {
	i := slices.Index(l.trials, attempt)
	if i >= 0 {
		l.trials = slices.Delete(l.trials, i, i+1)
	}
	return i >= 0
}

// failed notes an attempt that this machine could not make.
func (l *localFailure) failed(attempt *attempt) {
	l.removeTrial(attempt)
	if l.row == 0 || attempt.sentAt >= l.failedAt { // else it was sent before the failure that is known
		l.row++
		backoff := min(firstLocalBackoffMs*float64(l.row), lastLocalBackoffMs)
		l.failedAt, l.until, l.window = l.now, l.now+backoff*(1+l.rng.Float64()), 1
	}
}

// attribute returns the status of an attempt's end by whose failure it was. One endpoint that can't
// be reached is at fault itself: its machine or its part of the network is gone. When of the
// endpoints tried recently at least two and more than half can't be reached, it is this machine that
// has lost its network; the endpoints that were blamed before that was seen are cleared.
func (l *localFailure) attribute(attempt *attempt, status Status) Status {
	if status != StatusUnreachable && len(l.reach) == 0 {
		return status
	}
	l.expireReach()
	switch status {
	case StatusUnreachable:
		l.noteReach(reachResult{endpoint: attempt.endpoint, at: l.now, since: l.now})
	case StatusOK, StatusServerError, StatusReset:
		if len(l.reach) > 0 && attempt.sentAt >= l.reach[0].at { // else it tells of the time before
			l.noteReach(reachResult{endpoint: attempt.endpoint, at: l.now, reached: true})
		}
		return status
	default:
		return status
	}
	if !l.mostUnreachable() {
		attempt.unreachable = true
		return StatusConnectFailed
	}
	for _, result := range l.reach {
		if !result.reached && l.endpoints.contains(result.endpoint) {
			l.outliers.clear(result.endpoint, result.since)
		}
	}
	return StatusLocalFailure
}

// expireReach forgets the results that are older than a connect may take.
func (l *localFailure) expireReach() {
	span := l.settings.Limits.ConnectTimeoutMs
	if span <= 0 {
		span = defaultReachMs
	}
	l.reach = slices.DeleteFunc(l.reach, func(result reachResult) bool { return l.now-result.at > span })
}

// mostUnreachable reports whether at least two and more than half of the endpoints tried recently
// could not be reached.
func (l *localFailure) mostUnreachable() bool {
	lost := 0
	for _, result := range l.reach {
		if !result.reached {
			lost++
		}
	}
	return lost >= 2 && 2*lost > len(l.reach)
}

// noteReach keeps the latest result of each endpoint, the oldest first.
func (l *localFailure) noteReach(latest reachResult) {
	l.reach = slices.DeleteFunc(l.reach, func(result reachResult) bool {
		if result.endpoint == latest.endpoint && !result.reached && !latest.reached {
			latest.since = result.since
		}
		return result.endpoint == latest.endpoint
	})
	if len(l.reach) == maxReachResults {
		l.reach = slices.Delete(l.reach, 0, 1)
	}
	l.reach = append(l.reach, latest)
}
