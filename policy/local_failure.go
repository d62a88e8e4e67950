// This file holds what follows when this machine itself can't open connections.

package policy

import "slices"

const (
	// firstLocalBackoffMs is the time to the next attempt after this machine failed one: a table
	// of the system or a range of ports has room again as soon as anybody closes something.
	// It doubles once, and up to as much again is added at random, since all agents of a machine
	// fail together. At most 20 ms keeps what waits within a small part of the usual aims.
	firstLocalBackoffMs, lastLocalBackoffMs = 5.0, 10.0
	// settledAfterMs is after how long an attempt that is still out is taken to have got its
	// connection: errors of this machine come back from the system call, at once.
	settledAfterMs = 2 * lastLocalBackoffMs
	// freeWindow is the window of trials from which on attempts are not counted any more.
	freeWindow = 16
	// localMemoryMs is after how long without a failure of this machine none is feared any more:
	// many times the longest backoff.
	localMemoryMs = 1000.0
	// maxReachResults bounds the servers whose latest results are kept while some are unreachable.
	maxReachResults = 16
	// usualReachMs is for how long a server counts as unreachable where no connect timeout is set.
	usualReachMs = 1000.0
)

// localFailure bounds the attempts while this machine fails them. All requests share one backoff
// and one window: after a failure one attempt goes out as a trial, and each that does not fail in
// that way doubles the window, until attempts go out freely again. So the attempts in that time
// are bounded by the backoff, whatever the number of requests that wait.
type localFailure struct {
	row      int        // failures one after the other; 0: attempts go out freely
	failedAt float64    // the latest
	until    float64    // no attempt goes out before
	window   int        // trials that may be out
	trials   []*attempt // attempts out of which it isn't known whether they got a connection
	reach    []reachResult
}

// reachResult is how the latest attempt at a server ended while some server was unreachable.
type reachResult struct {
	s       *endpoint
	at      float64
	reached bool
	since   float64 // unreachable: the first result in a row
}

// mayTry tells whether this machine's failures let another attempt go out.
func (l *localFailure) mayTry(now float64) bool {
	if l.row == 0 {
		return true
	}
	if now-l.failedAt > localMemoryMs {
		l.row, l.trials = 0, nil
		return true
	}
	for i := 0; i < len(l.trials); {
		if a := l.trials[i]; now-a.sentAt >= settledAfterMs {
			l.succeeded(a)
		} else {
			i++
		}
	}
	return l.row == 0 || now >= l.until && len(l.trials) < l.window
}

// sent notes an attempt that goes out.
func (l *localFailure) sent(a *attempt) {
	if l.row > 0 {
		l.trials = append(l.trials, a)
	}
}

// succeeded notes that an attempt did not fail on this machine.
func (l *localFailure) succeeded(a *attempt) {
	i := slices.Index(l.trials, a)
	if i < 0 {
		return
	}
	l.trials = slices.Delete(l.trials, i, i+1)
	if l.window *= 2; l.window >= freeWindow {
		l.row, l.trials = 0, nil
	}
}

// failedLocally takes back an attempt that this machine could not make, and holds its request for
// the next: no server has seen anything of it.
func (b *Balancer) failedLocally(a *attempt) {
	l := &b.local
	if i := slices.Index(l.trials, a); i >= 0 {
		l.trials = slices.Delete(l.trials, i, i+1)
	}
	if l.row == 0 || a.sentAt >= l.failedAt { // else it went out before the failure that is known
		l.row++
		backoff := min(firstLocalBackoffMs*float64(l.row), lastLocalBackoffMs)
		l.failedAt, l.until, l.window = b.now, b.now+backoff*(1+b.rng.Float64()), 1
	}
	if a.charged {
		a.s.credit += a.cost
	}
	r := a.r
	r.attempts = slices.DeleteFunc(r.attempts, func(o *attempt) bool { return o == a || o.unreachable })
}

// retryLocally holds a request again of which an attempt failed on this machine.
func (b *Balancer) retryLocally(r *request) {
	if b.now >= r.deadline {
		b.end(r)
		return
	}
	b.held = append(b.held, r)
}

// judge tells whose failure an attempt's end was. One server that can't be reached is at fault
// itself: its machine or its part of the network is gone. When of the servers tried of late at
// least two and more than half can't be reached, it is this machine that has lost its network;
// the servers that were blamed before that was seen are cleared.
func (b *Balancer) judge(a *attempt, st Status) Status {
	l := &b.local
	if st != StatusUnreachable && len(l.reach) == 0 {
		return st
	}
	span := b.set.Limits.ConnectTimeoutMs
	if span <= 0 {
		span = usualReachMs
	}
	l.reach = slices.DeleteFunc(l.reach, func(x reachResult) bool { return b.now-x.at > span })
	switch st {
	case StatusUnreachable:
		l.noteReach(reachResult{s: a.s, at: b.now, since: b.now})
	case StatusOK, StatusServerError, StatusReset:
		if len(l.reach) > 0 && a.sentAt >= l.reach[0].at { // else it tells of the time before
			l.noteReach(reachResult{s: a.s, at: b.now, reached: true})
		}
		return st
	default:
		return st
	}
	lost := 0
	for _, x := range l.reach {
		if !x.reached {
			lost++
		}
	}
	if lost < 2 || 2*lost <= len(l.reach) {
		a.unreachable = true
		return StatusConnectFailed
	}
	for _, x := range l.reach {
		if !x.reached && b.byAddr[x.s.id] == x.s {
			b.clear(x.s, x.since)
		}
	}
	return StatusLocalFailure
}

// noteReach keeps the latest result of each server, the oldest first.
func (l *localFailure) noteReach(x reachResult) {
	l.reach = slices.DeleteFunc(l.reach, func(o reachResult) bool {
		if o.s == x.s && !o.reached && !x.reached {
			x.since = o.since
		}
		return o.s == x.s
	})
	if len(l.reach) == maxReachResults {
		l.reach = slices.Delete(l.reach, 0, 1)
	}
	l.reach = append(l.reach, x)
}

// clear takes back what a server was blamed for since then, as this machine had lost its network.
// The next attempt validates it.
func (b *Balancer) clear(s *endpoint, since float64) {
	if s.lostAt >= since {
		s.lostAt = 0
	}
	if s.state == StateUnhealthy && s.since >= since {
		s.silent, s.ejections = false, max(s.ejections-1, 0)
		b.enter(s, StateUnhealthyPending)
	}
}
