// This file holds what is known of one endpoint. Each part of it belongs to the component that
// decides by it, and changes by the methods here.

package policy

import "slices"

// endpoint is what the agent knows of one listed server. Times are those of the agent's clock,
// in ms.
type endpoint struct {
	id          Addr
	hash        uint64 // of the address, for rendezvous hashing
	order       uint64 // position among the endpoints, in an order of this agent's own
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

// update takes over what the endpoint list says of the server. When its process started is for
// slowStart to take over.
func (e *endpoint) update(entry *Entry) {
	e.zone, e.cell, e.machineKind = entry.Zone, entry.Cell, entry.MachineKind
	e.usable = entry.Health == HealthReady
	e.weight = 1
	if weight := clampFinite(entry.Weight); weight > 0 {
		e.weight = weight
	}
}

// load returns the number of attempts that the endpoint may be working on for this agent.
func (e *endpoint) load() int { return len(e.traffic.inFlight) + e.traffic.abandoned }

// windowOpen reports whether the endpoint's window lets another attempt in. A window under one is
// kept by pausing: with many agents even one attempt of each can be too much, and an endpoint that
// was overloaded needs idle time to recover.
func (e *endpoint) windowOpen(now float64) bool {
	if e.load() >= max(int(e.window.size), 1) {
		return false
	}
	return e.window.size >= 1 || now-e.traffic.sentAt >= e.latency.lastMs/e.window.size
}

// endpointSlowStart is how far an endpoint's process has warmed up. It belongs to slowStart.
type endpointSlowStart struct {
	listedAt  float64 // start of its process by the endpoint list
	startedAt float64 // the same, or later where a restart is assumed
	warming   bool    // in slowStart.warming
	allowance float64 // work it may still be sent while it is warming up, in mean requests
}

// endpointHealth is an endpoint's state and what led to it. It belongs to outlierDetector.
type endpointHealth struct {
	state                State
	since                float64 // when the state was entered
	silent               bool    // ejected for silence, not for an answer
	unreachableAt        float64 // first failed connect since its last answer; 0: none
	consecutiveEjections int     // recent ejections; sets the ejection time
	failureRate          float64 // recent share of attempts that failed after they may have run
	served               int     // requests served since consecutiveEjections last changed
	checking             bool    // a health check is under way
}

// countServed takes an answer into the failure rate.
func (h *endpointHealth) countServed() { h.failureRate -= outcomeWeight * h.failureRate }

// countFailed takes a failure into the failure rate.
func (h *endpointHealth) countFailed() { h.failureRate += outcomeWeight * (1 - h.failureRate) }

// takeBackEjection counts one ejection less.
func (h *endpointHealth) takeBackEjection() {
	h.consecutiveEjections = max(h.consecutiveEjections-1, 0)
}

// endpointTraffic is what this agent has sent to an endpoint and what came back.
type endpointTraffic struct {
	inFlight       []*attempt // oldest first
	abandoned      int        // attempts it may still work on though nobody waits for them
	answeredSentAt float64    // send time of the latest-sent attempt that it has answered
	heardAt        float64    // when it last answered anything
	sentAt         float64    // when the last attempt was sent
	meanGapMs      float64    // mean time between attempts; 0: unknown
}

// send notes an attempt that is sent.
func (t *endpointTraffic) send(sent *attempt) {
	t.inFlight = append(t.inFlight, sent)
	if t.sentAt > 0 {
		t.meanGapMs = ewma(t.meanGapMs, sent.sentAt-t.sentAt, endpointSmoothing)
	}
	t.sentAt = sent.sentAt
}

// remove takes out an attempt that has ended.
func (t *endpointTraffic) remove(ended *attempt) {
	if i := slices.Index(t.inFlight, ended); i >= 0 {
		t.inFlight = slices.Delete(t.inFlight, i, i+1)
	}
}

// heard notes a sign of life at the time now.
func (t *endpointTraffic) heard(now float64) { t.heardAt = now }

// heardSince reports whether the endpoint has answered anything after the attempt was sent.
func (t *endpointTraffic) heardSince(attempt *attempt) bool { return t.heardAt > attempt.sentAt }

// answered notes that the endpoint has answered an attempt, and so has passed those sent before it.
func (t *endpointTraffic) answered(attempt *attempt) {
	t.answeredSentAt = max(t.answeredSentAt, attempt.sentAt)
}

// abandon notes an attempt that nobody waits for any more and that may still run.
func (t *endpointTraffic) abandon() { t.abandoned++ }

// settleAbandoned notes that an abandoned attempt is over.
func (t *endpointTraffic) settleAbandoned() { t.abandoned-- }

// endpointLatency is an endpoint's answer times. mean and recent are parts of the latency
// objective. It belongs to latencyTracker.
type endpointLatency struct {
	mean     float64
	samples  int     // answers that mean was learnt from
	recent   float64 // by the last answers, as of recentAt
	recentAt float64
	lastMs   float64 // last answer time
}

// forgetMean forgets the mean answer time.
func (l *endpointLatency) forgetMean() { l.mean, l.samples = 0, 0 }

// answered notes the last answer time.
func (l *endpointLatency) answered(rttMs float64) { l.lastMs = rttMs }

// endpointWindow bounds the attempts that an endpoint may hold of this agent.
type endpointWindow struct {
	size  float64
	cutAt float64 // when it was last reduced
}

// cut reduces the window to the factor given, not under least.
func (w *endpointWindow) cut(now, factor, least float64) {
	w.size, w.cutAt = min(w.size, max(w.size*factor, least)), now
}

// grow opens the window after an answer in good time: by about one attempt a round trip.
func (w *endpointWindow) grow() { w.size += min(1/w.size, w.size) }

// halve reduces the window of an endpoint that was ejected, not under one attempt.
func (w *endpointWindow) halve() { w.size = max(w.size/2, 1) }

// restart sets the window of a process of which nothing is known.
func (w *endpointWindow) restart() { w.size = 1 }
