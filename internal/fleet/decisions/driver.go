package decisions

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"ploverreel/policy"
)

const (
	startMs          = 1e6  // virtual time at which a run begins, in ms
	answerTimeMs     = 5.0  // time from an attempt to its answer
	connectRefusedMs = 1.0  // time to the outcome of a health check or of a refused connection
	keyCount         = 1000 // different keys of the requests
	serversPerCell   = 8    // consecutive servers with the same cell
	// maxRequestsPerRefusingServer multiplies the number of refusing servers. The product bounds the
	// requests that are sent until each of these servers had an attempt.
	maxRequestsPerRefusingServer = 20
)

// driver drives one balancer through virtual time. It sends requests, schedules the outcomes of
// attempts and health checks, and fires timers. All random numbers come from the seed of the
// workload.
type driver struct {
	workload
	settings       policy.Settings
	balancer       *policy.Balancer
	rng            *rand.Rand
	nowMs          float64
	nextArrivalMs  float64 // time of the next request of an uncongested load
	nextAnswerMs   float64 // time of the latest scheduled answer, if the workload keeps requests queued
	scheduled      eventQueue
	scheduledCount int                  // events scheduled so far
	actions        []policy.Action      // buffer for the balancer's actions
	entries        []policy.Entry       // current endpoint list
	entriesCreated int                  // each new entry gets another address
	refusing       map[policy.Addr]bool // servers that refuse connections
	notYetTried    map[policy.Addr]bool // refusing servers without an attempt so far
	open           map[policy.RequestID]*request
	lastRequest    policy.RequestID // ID of the latest request
	queuedRequests int              // requests without an attempt in flight
	meter          *meter
	counts         requestCounts
}

// request is a request that has not ended.
type request struct {
	arrivedAtMs float64
	attempts    int
	queued      bool // no attempt is in flight
}

// requestCounts holds counts of requests by outcome, of attempts, and the waiting times. rejected
// counts all requests that the balancer ended without an answer.
type requestCounts struct {
	requests, served, rejected, attempts int
	waitsMs                              []float64 // times from a request's arrival to its first attempt
}

// newDriver starts a balancer and passes it the endpoint list. If some servers refuse connections,
// it first lists only these, until each of them had an attempt. So the balancer knows them as
// unhealthy before the measurement.
func newDriver(w workload) (*driver, error) {
	d := &driver{workload: w, rng: rand.New(rand.NewPCG(w.seed, uint64(w.servers))), nowMs: startMs, nextArrivalMs: startMs,
		settings: w.settings(), meter: &meter{}, refusing: map[policy.Addr]bool{},
		notYetTried: map[policy.Addr]bool{}, open: map[policy.RequestID]*request{}}
	refusingCount := int(w.refusingShare * float64(w.servers))
	for i := range w.servers {
		d.entries = append(d.entries, d.newEntry())
		if i < refusingCount {
			d.refusing[d.entries[i].Server], d.notYetTried[d.entries[i].Server] = true, true
		}
	}
	for i := range int(w.warmingShare * float64(w.servers)) {
		d.entries[refusingCount+i].StartedMs = startMs - warmingServerAgeMs
	}
	var err error
	if d.balancer, err = policy.New(d.settings, w.seed); err != nil {
		return nil, fmt.Errorf("decide: %w", err)
	}
	d.perform(d.balancer.Start(d.nowMs, nil))
	if refusingCount > 0 {
		d.updateList(policy.ListFull, d.entries[:refusingCount], wholeList)
		for i := 0; len(d.notYetTried) > 0 && i < maxRequestsPerRefusingServer*refusingCount; i++ {
			d.sendRequest()
			for until := d.nowMs + connectRefusedMs; len(d.scheduled) > 0 && d.scheduled[0].atMs <= until; {
				d.handleNextScheduled()
			}
		}
	}
	d.nextArrivalMs = d.nowMs
	d.updateList(policy.ListFull, d.entries, wholeList)
	return d, nil
}

// newEntry returns the entry of a ready server with a new address.
func (d *driver) newEntry() policy.Entry {
	id := d.entriesCreated
	d.entriesCreated++
	return policy.Entry{Server: policy.Addr{10, byte(id >> 16), byte(id >> 8), byte(id), 0x1f, 0x90},
		Zone: id % max(d.zones, 1), Cell: id / serversPerCell, Health: policy.HealthReady, Weight: 1}
}

// advance handles events until n more requests have arrived.
func (d *driver) advance(n int) {
	for end := d.lastRequest + policy.RequestID(n); d.lastRequest < end; {
		d.step()
	}
}

// step handles the next event. With a workload that keeps requests queued, this is a new request
// while fewer than that are queued.
func (d *driver) step() {
	if d.queued > 0 && d.queuedRequests < d.queued {
		d.sendRequest()
		return
	}
	if d.queued == 0 && (len(d.scheduled) == 0 || d.nextArrivalMs <= d.scheduled[0].atMs) {
		d.nowMs = d.nextArrivalMs
		d.nextArrivalMs += d.rng.ExpFloat64() * 1000 / d.ratePerAgent
		d.sendRequest()
		return
	}
	d.handleNextScheduled()
}

// handleNextScheduled advances the time to the first scheduled event and handles it.
func (d *driver) handleNextScheduled() {
	next := d.scheduled.popNext()
	d.nowMs = next.atMs
	if ended, ok := next.event.(*policy.AttemptEnded); ok {
		// The outcome of a cancelled attempt still arrives. It may arrive after the request has
		// ended.
		if req := d.open[ended.Request]; req != nil && ended.Final {
			d.counts.served++
			delete(d.open, ended.Request)
		} else if req != nil {
			req.queued = true // until the balancer sends another attempt or ends the request
			d.queuedRequests++
		}
	}
	d.handle(next.kind, next.event)
}

// sendRequest passes a new request with a random class, tenant and key to the balancer.
func (d *driver) sendRequest() {
	d.lastRequest++
	class, tenant := d.drawIndex(classShares), d.drawIndex(tenantShares)
	d.open[d.lastRequest] = &request{arrivedAtMs: d.nowMs, queued: true}
	d.queuedRequests++
	d.counts.requests++
	d.handle(newRequest, &policy.RequestArrived{Request: d.lastRequest, Class: class, Tenant: tenant,
		Key: 1 + d.rng.Uint64N(keyCount), TimeLeftMs: d.settings.Classes[class].DeadlineMs})
}

// drawIndex returns a random index, each with the probability that shares has for it. The shares
// add up to 1.
func (d *driver) drawIndex(shares []float64) int {
	rest := d.rng.Float64()
	for i, share := range shares {
		if rest -= share; rest < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// updateList passes an endpoint list or a delta to the balancer. Its cost is measured as that of
// the event kind.
func (d *driver) updateList(listKind policy.ListKind, entries []policy.Entry, kind eventKind) {
	d.handle(kind, &policy.EndpointsUpdated{Kind: listKind, Entries: entries})
}

// replaceServer removes the oldest server from the list and adds a new one. The balancer gets two
// deltas.
func (d *driver) replaceServer() {
	old := d.entries[0]
	old.Health = policy.HealthGone
	d.entries = append(slices.Delete(d.entries, 0, 1), d.newEntry())
	d.updateList(policy.ListDelta, []policy.Entry{old}, listDelta)
	d.updateList(policy.ListDelta, d.entries[len(d.entries)-1:], listDelta)
}

// handle passes an event to the balancer, measures its cost, and performs the actions.
func (d *driver) handle(kind eventKind, event policy.Event) {
	d.perform(d.meter.handle(d.balancer, d.nowMs, kind, event, d.actions[:0]))
}

// perform carries out the actions of the balancer.
func (d *driver) perform(actions []policy.Action) {
	d.actions = actions
	for i := range actions {
		action := &actions[i]
		req := d.open[action.Request]
		switch action.Kind {
		case policy.ActionSendAttempt:
			d.counts.attempts++
			if req.attempts++; req.attempts == 1 {
				d.counts.waitsMs = append(d.counts.waitsMs, d.nowMs-req.arrivedAtMs)
			}
			req.queued = false
			d.queuedRequests--
			d.scheduleOutcome(action, req.attempts-1)
		case policy.ActionRejectRequest, policy.ActionFailRequest:
			if req == nil {
				continue
			}
			d.counts.rejected++
			if req.queued {
				d.queuedRequests--
			}
			delete(d.open, action.Request)
		case policy.ActionCheckHealth:
			status := policy.StatusOK
			if d.refusing[action.Server] {
				status = policy.StatusConnectFailed
			}
			d.schedule(connectRefusedMs, outcomeArrived, &policy.HealthCheckEnded{Server: action.Server, Status: status,
				LatencyMs: connectRefusedMs})
		case policy.ActionSetTimer:
			d.schedule(action.DelayMs, timerFired, &policy.TimerFired{Token: action.Token})
		}
	}
}

// scheduleOutcome schedules the outcome of an attempt. A refused connection ends after
// connectRefusedMs. An uncongested server answers after answerTimeMs. If the workload keeps
// requests queued, answers come no faster than ratePerAgent.
func (d *driver) scheduleOutcome(action *policy.Action, attempt int) {
	ended := &policy.AttemptEnded{Request: action.Request, Attempt: attempt, Server: action.Server}
	if d.refusing[action.Server] {
		delete(d.notYetTried, action.Server)
		ended.Status, ended.LatencyMs = policy.StatusConnectFailed, connectRefusedMs
		d.schedule(connectRefusedMs, outcomeArrived, ended)
		return
	}
	ended.Status, ended.Final, ended.LatencyMs = policy.StatusOK, true, answerTimeMs
	if d.queued > 0 {
		d.nextAnswerMs = max(d.nextAnswerMs+1000/d.ratePerAgent, d.nowMs+answerTimeMs)
		ended.LatencyMs = d.nextAnswerMs - d.nowMs
	}
	d.schedule(ended.LatencyMs, outcomeArrived, ended)
}
