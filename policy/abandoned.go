// This file tracks abandoned attempts: the agent no longer waits for them, but they may still run.

package policy

import "slices"

// maxSojournDeadlines bounds the sojourn estimate, and so the time for which the concurrency limit
// includes an abandoned attempt. It is a multiple of the longest deadline of all classes.
const maxSojournDeadlines = 2.0

// abandonedAttempts are the attempts that the agent no longer waits for but whose endpoints may
// still process them. If the settings allow no cancellation, an attempt that timed out remains in
// its endpoint's queue. The concurrency limit includes abandoned attempts until the endpoint
// answers an attempt that was sent later, restarts or is removed, or until their age reaches the
// sojourn estimate.
type abandonedAttempts struct {
	all []*attempt
	// sojournMs is a moving average of the time that attempts stay at an endpoint, queueing and
	// processing included. The sample of an attempt that was never answered is twice the
	// longer of its age and the average. So the average keeps doubling while most attempts go
	// unanswered, and returns to the answer times as soon as most are answered.
	sojournMs float64
}

// observeAnswered updates the sojourn estimate with an answer time.
func (a *abandonedAttempts) observeAnswered(rttMs float64) {
	a.sojournMs = ewma(a.sojournMs, rttMs, endpointSmoothing)
}

// observeUnanswered updates the sojourn estimate with an attempt that timed out at the age ageMs. The
// sample is at most maxSampleMs.
func (a *abandonedAttempts) observeUnanswered(ageMs, maxSampleMs float64) {
	a.sojournMs = ewma(a.sojournMs, min(2*max(ageMs, a.sojournMs), maxSampleMs), endpointSmoothing)
}

// add records an attempt that the agent has stopped waiting for.
func (a *abandonedAttempts) add(attempt *attempt) {
	a.all = append(a.all, attempt)
	attempt.endpoint.traffic.attemptAbandoned()
}

// removeFinished removes the attempts that have finished by the time now, as far as the agent can tell.
func (a *abandonedAttempts) removeFinished(now float64) {
	a.all = slices.DeleteFunc(a.all, func(attempt *attempt) bool {
		endpoint := attempt.endpoint
		// Attempts sent before the endpoint's restart, or before one that it has answered, are finished.
		finishedBefore := max(endpoint.slowStart.listedStartAt, endpoint.traffic.answeredSentAt)
		finished := !endpoint.usable || attempt.sentAt < finishedBefore || now-attempt.sentAt >= a.sojournMs
		if finished {
			endpoint.traffic.abandonedEnded()
		}
		return finished
	})
}
