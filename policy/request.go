// This file holds what is known of one request.

package policy

import "slices"

// request is one try of a client, kept until it is answered and none of its attempts is in
// flight.
type request struct {
	id              RequestID
	class           *class
	tenant          int
	key             uint64  // 0: none
	hash            uint64  // orders the endpoints for it
	workHintMs      float64 // hinted work; 0: none
	timing          requestTiming
	attempts        requestAttempts
	idempotency     requestIdempotency
	placement       requestPlacement
	priority        float64 // as of the last dispatch
	closed          bool    // answered or given up
	responseStarted bool    // a streamed answer has begun and belongs to the client
}

// attempt returns the request's attempt of that number, or nil.
func (r *request) attempt(index int) *attempt {
	for _, attempt := range r.attempts.counted {
		if attempt.index == index {
			return attempt
		}
	}
	return nil
}

// requestTiming holds the times of a request, in ms of the agent's clock.
type requestTiming struct {
	firstArrivedAt float64 // when the client's first try came, as far as known
	arrivedAt      float64
	objectiveAt    float64 // end of its latency objective
	deadline       float64 // less a margin for the way back
}

// requestTries counts the attempts of a request.
type requestAttempts struct {
	counted  []*attempt // those that count against the limit
	sent     int        // all, with those that this machine could not make
	limit    int
	inFlight int
}

// add notes an attempt that is sent.
func (t *requestAttempts) add(sent *attempt) {
	t.counted = append(t.counted, sent)
	t.sent++
	t.inFlight++
}

// attemptEnded notes that an attempt is no longer in flight.
func (t *requestAttempts) attemptEnded() { t.inFlight-- }

// uncount takes out an attempt that this machine could not make, and those whose endpoints were
// held responsible before that was seen.
func (t *requestAttempts) uncount(failed *attempt) {
	t.counted = slices.DeleteFunc(t.counted, func(attempt *attempt) bool {
		return attempt == failed || attempt.unreachable
	})
}

// requestIdempotency holds what decides whether a request may be sent again.
type requestIdempotency struct {
	mayHaveRun    int       // attempts that may have run
	earliestRunAt float64   // earliest time at which one may have run, in ms
	firstEndpoint *endpoint // where that one was sent
}

// attemptSent notes an attempt that is sent.
func (i *requestIdempotency) attemptSent(sent *attempt) {
	if i.mayHaveRun == 0 {
		i.earliestRunAt, i.firstEndpoint = sent.sentAt, sent.endpoint
	}
	i.mayHaveRun++
}

// attemptNeverRan notes that an attempt ended in a way that proves that it never ran.
func (i *requestIdempotency) attemptNeverRan() { i.mayHaveRun-- }

// requestPlacement holds what the last selection for a request found.
type requestPlacement struct {
	nearest    [keyEndpoints]*endpoint // endpoints nearest its key, as of epoch
	epoch      uint64                  // of the endpoint set
	tierWeight float64                 // weight of the tier chosen
}
