// This file holds the attempts that nobody waits for and that may still run.

package policy

import "slices"

// maxAbandonedDeadlines bounds the time for which an abandoned attempt counts, in multiples of the
// longest time after which clients give up.
const maxAbandonedDeadlines = 2.0

// abandonedAttempts are the attempts that the agent no longer waits for but whose endpoints may
// still work on them: where the settings allow no cancellation, an attempt that timed out still
// stands in its endpoint's queue. They count like attempts in flight until an answer to a later
// attempt shows that their endpoint has passed them, or until the estimate of how long work stays
// with the endpoints says so.
type abandonedAttempts struct {
	all []*attempt
	// sojourn is the recent mean time that work stayed with the endpoints, in ms. An attempt that
	// was never answered counts as twice the longer of its age and the mean so far: the mean
	// doubles again and again while most go unanswered, and falls back to the answer times as soon
	// as most are answered.
	sojourn float64
}

// answered takes an answer time into the estimate.
func (l *abandonedAttempts) answered(rttMs float64) {
	l.sojourn = ewma(l.sojourn, rttMs, endpointSmoothing)
}

// unanswered takes an attempt that was given up on after its age into the estimate, which stays
// under mostMs.
func (l *abandonedAttempts) unanswered(ageMs, mostMs float64) {
	l.sojourn = ewma(l.sojourn, min(2*max(ageMs, l.sojourn), mostMs), endpointSmoothing)
}

// add notes an abandoned attempt.
func (l *abandonedAttempts) add(attempt *attempt) {
	l.all = append(l.all, attempt)
	attempt.endpoint.traffic.attemptAbandoned()
}

// settle drops those that are over at the time now.
func (l *abandonedAttempts) settle(now float64) {
	l.all = slices.DeleteFunc(l.all, func(attempt *attempt) bool {
		endpoint := attempt.endpoint
		passedAt := max(endpoint.slowStart.listedStartAt, endpoint.traffic.answeredSentAt)
		over := !endpoint.usable || attempt.sentAt < passedAt || now-attempt.sentAt >= l.sojourn
		if over {
			endpoint.traffic.abandonedEnded()
		}
		return over
	})
}
