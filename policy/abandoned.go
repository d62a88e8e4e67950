package policy

import "slices"

// abandonedMost bounds the time for which an abandoned attempt counts, in multiples of the
// longest time after which clients give up.
const maxAbandonedDeadlines = 2.0

// abandonedAttempts are the attempts that the agent no longer waits for but whose servers may
// still work on them: where the settings allow no cancelling, an attempt that timed out keeps
// its place in its server's queue. They count like attempts that are out until an answer to a
// later attempt shows that their server has passed them, or until the estimate of how long
// work stays with the servers says so.
type abandonedAttempts struct {
	all []*attempt
	// sojourn is the mean time that work of late stayed with the servers, in ms. An attempt
	// that was never answered counts as twice the longer of its age and the mean so far: the
	// mean doubles again and again while most go unanswered, and falls back to the answer times
	// as soon as most are answered.
	sojourn float64
}

// answered takes an answer time into the estimate.
func (l *abandonedAttempts) answered(rtt float64) {
	l.sojourn = mean(l.sojourn, rtt, endpointSmoothing)
}

// unanswered takes an attempt that was given up on after its age into the estimate, which
// stays under most.
func (l *abandonedAttempts) unanswered(age, most float64) {
	l.sojourn = mean(l.sojourn, min(2*max(age, l.sojourn), most), endpointSmoothing)
}

// add notes an abandoned attempt.
func (l *abandonedAttempts) add(a *attempt) {
	l.all = append(l.all, a)
	a.target.traffic.abandoned++
}

// settle drops those that are over at the time now.
func (l *abandonedAttempts) settle(now float64) {
	l.all = slices.DeleteFunc(l.all, func(a *attempt) bool {
		s := a.target
		over := !s.usable || a.sentAt < max(s.slowStart.listedAt, s.traffic.answeredSentAt) || now-a.sentAt >= l.sojourn
		if over {
			s.traffic.abandoned--
		}
		return over
	})
}
