// This file declares the state of one endpoint. Each part of the state belongs to the component that
// uses it for its decisions, and is changed by the methods in this file.

package policy

import "slices"

// endpoint is the agent's state of one listed server. Times are in ms of the agent's clock.
type endpoint struct {
	id          Addr
	hash        uint64 // of the address, for rendezvous hashing
	sortKey     uint64 // of orderedEndpoints; each agent has an order of its own
	zone        int
	cell        int
	machineKind int
	weight      float64
	usable      bool // listed as ready
	slowStart   endpointSlowStart
	health      endpointHealth
	traffic     endpointTraffic
	latency     endpointLatency
	window      endpointWindow
	score       float64 // for the request that is being placed; lower is better
}

// update applies an entry of the endpoint list, except for the start of the process, which slowStart
// applies.
func (e *endpoint) update(entry *Entry) {
	e.zone, e.cell, e.machineKind = entry.Zone, entry.Cell, entry.MachineKind
	e.usable = entry.Health == HealthReady
	e.weight = 1
	if weight := clampFinite(entry.Weight); weight > 0 {
		e.weight = weight
	}
}

// load returns the number of this agent's attempts that the endpoint may be working on.
func (e *endpoint) load() int { return len(e.traffic.inFlight) + e.traffic.abandoned }

// windowOpen reports whether the endpoint's window allows another attempt. A window below 1 is
// enforced by a pause between attempts. With many agents even one attempt of each can be too much,
// and an endpoint that was overloaded needs idle time to recover.
func (e *endpoint) windowOpen(now float64) bool {
	if e.load() >= max(int(e.window.size), 1) {
		return false
	}
	return e.window.size >= 1 || now-e.traffic.lastSentAt >= e.latency.lastMs/e.window.size
}

// endpointSlowStart is the slow start state of an endpoint. It belongs to slowStart.
type endpointSlowStart struct {
	listedStartAt float64 // start of its process according to the endpoint list
	startedAt     float64 // the same, or later if a restart is assumed
	warming       bool    // the endpoint is in slowStart.warming
	allowance     float64 // work that it may still be sent while it is warming up, in mean requests
}

// endpointHealth is an endpoint's state and the history behind it. It belongs to outlierDetector.
type endpointHealth struct {
	state            State
	since            float64 // time at which the state was entered
	silent           bool    // ejected because it did not answer, not because of an answer
	unreachableSince float64 // time of the first failed connect since its last answer; 0: none
	ejectionCount    int     // recent ejections; served requests reduce it, see servedPerEjection
	failureRate      float64 // moving average of the attempts that failed after they may have run
	served           int     // requests served towards the next reduction of ejectionCount
	checkInProgress  bool    // a health check is in progress
}

// recordSuccess updates the failure rate after an answer.
func (h *endpointHealth) recordSuccess() { h.failureRate -= outcomeSmoothing * h.failureRate }

// recordFailure updates the failure rate after a failure.
func (h *endpointHealth) recordFailure() { h.failureRate += outcomeSmoothing * (1 - h.failureRate) }

// decrementEjections reduces the ejection count by one.
func (h *endpointHealth) decrementEjections() {
	h.ejectionCount = max(h.ejectionCount-1, 0)
}

// endpointTraffic records this agent's attempts at an endpoint and the times of its answers.
type endpointTraffic struct {
	inFlight       []*attempt // oldest first
	abandoned      int        // attempts that it may still work on although nobody waits for them
	answeredSentAt float64    // latest send time of the attempts that it has answered
	lastResponseAt float64    // time of its last response of any kind
	lastSentAt     float64    // time at which the last attempt was sent
	meanIntervalMs float64    // moving average of the time between attempts; 0: unknown
}

// attemptSent records an attempt that is sent.
func (t *endpointTraffic) attemptSent(sent *attempt) {
	t.inFlight = append(t.inFlight, sent)
	if t.lastSentAt > 0 {
		t.meanIntervalMs = ewma(t.meanIntervalMs, sent.sentAt-t.lastSentAt, endpointSmoothing)
	}
	t.lastSentAt = sent.sentAt
}

// attemptEnded removes an attempt that has ended.
func (t *endpointTraffic) attemptEnded(ended *attempt) {
	if i := slices.Index(t.inFlight, ended); i >= 0 {
		t.inFlight = slices.Delete(t.inFlight, i, i+1)
	}
}

// recordResponse records a response of any kind, at the time now.
func (t *endpointTraffic) recordResponse(now float64) { t.lastResponseAt = now }

// respondedSince reports whether the endpoint has responded after the attempt was sent.
func (t *endpointTraffic) respondedSince(attempt *attempt) bool {
	return t.lastResponseAt > attempt.sentAt
}

// attemptAnswered records that the endpoint has answered an attempt. Attempts that were sent before
// it are then no longer in the endpoint's queue.
func (t *endpointTraffic) attemptAnswered(attempt *attempt) {
	t.answeredSentAt = max(t.answeredSentAt, attempt.sentAt)
}

// attemptAbandoned counts an attempt that nobody waits for any more but that may still run.
func (t *endpointTraffic) attemptAbandoned() { t.abandoned++ }

// abandonedEnded counts an abandoned attempt as finished.
func (t *endpointTraffic) abandonedEnded() { t.abandoned-- }

// endpointLatency holds an endpoint's answer times. mean and recent are fractions of the latency
// objective. It belongs to latencyTracker.
type endpointLatency struct {
	mean     float64
	samples  int     // number of answers in mean
	recent   float64 // moving average over the last answers, as of recentAt
	recentAt float64
	lastMs   float64 // last answer time
}

// resetMean resets the mean answer time.
func (l *endpointLatency) resetMean() { l.mean, l.samples = 0, 0 }

// recordLast records the last answer time.
func (l *endpointLatency) recordLast(rttMs float64) { l.lastMs = rttMs }

// endpointWindow is a congestion window: it bounds this agent's attempts at an endpoint.
type endpointWindow struct {
	size        float64
	decreasedAt float64 // time of its last decrease
}

// decrease multiplies the window by factor, but not to less than minSize (multiplicative decrease).
func (w *endpointWindow) decrease(now, factor, minSize float64) {
	w.size, w.decreasedAt = min(w.size, max(w.size*factor, minSize)), now
}

// increase increases the window after an answer in time, by about one attempt a round trip (additive
// increase). A window below 1 at most doubles.
func (w *endpointWindow) increase() { w.size += min(1/w.size, w.size) }

// halve halves the window of an endpoint that was ejected, but not to less than one attempt.
func (w *endpointWindow) halve() { w.size = max(w.size/2, 1) }

// reset sets the window for a new process, of which nothing is known.
func (w *endpointWindow) reset() { w.size = 1 }
