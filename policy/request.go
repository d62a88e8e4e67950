// This file holds the state of one request.

package policy

import "slices"

// request is one request of the client. A client's retry is a request of its own. A request is kept
// until it is finished and none of its attempts is in flight.
type request struct {
	id              RequestID
	class           *class
	tenant          int
	key             uint64  // shared by requests for the same data; 0: none
	hash            uint64  // input of rendezvous hashing, see selector.score
	workHintMs      float64 // the client's hint of its work; 0: none
	timing          requestTiming
	attempts        requestAttempts
	idempotency     requestIdempotency
	placement       requestPlacement
	priority        float64 // as of the latest sort of the queue
	closed          bool    // answered, or its client disconnected
	responseStarted bool    // a part of a streamed response has been passed to the client
}

// attempt returns the request's attempt with the given number, or nil if no such attempt counts
// against the limit.
func (r *request) attempt(index int) *attempt {
	for _, attempt := range r.attempts.counted {
		if attempt.index == index {
			return attempt
		}
	}
	return nil
}

// requestTiming holds the timestamps of a request, in ms of the agent's clock.
type requestTiming struct {
	firstArrivedAt float64 // arrival of the client's first try, if known, else arrivedAt
	arrivedAt      float64
	objectiveAt    float64 // end of the latency objective, at most the deadline
	deadline       float64 // the client's, less a margin for the delivery of the answer
}

// requestAttempts tracks the attempts of a request.
type requestAttempts struct {
	counted  []*attempt // those that count against the limit
	sent     int        // all, including those that failed on the agent's own machine
	limit    int        // maximum length of counted
	inFlight int
}

// add records an attempt that is being sent.
func (a *requestAttempts) add(sent *attempt) {
	a.counted = append(a.counted, sent)
	a.sent++
	a.inFlight++
}

// attemptEnded records that an attempt is no longer in flight.
func (a *requestAttempts) attemptEnded() { a.inFlight-- }

// uncount removes an attempt that failed on the agent's own machine from those that count against the
// limit. It also removes earlier attempts that found their endpoints unreachable. Those failures were
// attributed to the endpoints because this machine's failure was not detected yet.
func (a *requestAttempts) uncount(failed *attempt) {
	a.counted = slices.DeleteFunc(a.counted, func(attempt *attempt) bool {
		return attempt == failed || attempt.unreachable
	})
}

// requestIdempotency holds the state that decides whether a request may be sent again.
type requestIdempotency struct {
	mayHaveRun    int     // number of attempts that may have run
	earliestRunAt float64 // earliest time at which one of them may have run, in ms
	// firstZone and firstCell are those of the endpoint of the attempt sent at earliestRunAt, as it was
	// listed then. Its process may be replaced by one in another zone or cell.
	firstZone, firstCell int
}

// attemptSent records an attempt that is being sent: it may run from now on.
func (i *requestIdempotency) attemptSent(sent *attempt) {
	if i.mayHaveRun == 0 {
		i.earliestRunAt = sent.sentAt
		i.firstZone, i.firstCell = sent.endpoint.zone, sent.endpoint.cell
	}
	i.mayHaveRun++
}

// attemptNeverRan records that an attempt ended with a status that proves that it never ran.
func (i *requestIdempotency) attemptNeverRan() { i.mayHaveRun-- }

// requestPlacement holds the result of the latest endpoint selection for a request.
type requestPlacement struct {
	nearest    [keyEndpoints]*endpoint // the first endpoints in the order of its hash, as of epoch
	epoch      uint64                  // epoch of the endpoint set at the selection
	tierWeight float64                 // total weight of the selected tier, scaled by slow start
}
