package decisions

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"ploverreel/policy"
)

const (
	startMs          = 1e6 // virtual time at which a play begins
	answerTimeMs     = 5.0 // until an answer
	connectRefusedMs = 1.0 // until the outcome of a health check or of a connect that is refused
	keyCount         = 1000
)

// driver drives one balancer through virtual time: it sends requests, answers attempts and health checks, and fires
// timers. All random draws come from the seed.
type driver struct {
	workload
	settings       policy.Settings
	balancer       *policy.Balancer
	rng            *rand.Rand
	nowMs          float64
	nextArrivalMs  float64 // time of the next request of an easy load
	nextAnswerMs   float64 // when the next answer can come, where requests are queued
	scheduled      eventQueue
	scheduledCount int
	actions        []policy.Action
	entries        []policy.Entry
	entriesCreated int // addresses given so far
	refusing       map[policy.Addr]bool
	notYetTried    map[policy.Addr]bool // of these
	open           map[policy.RequestID]*request
	lastRequest    policy.RequestID
	queuedRequests int // requests that the balancer queues
	meter          *meter
	counts         requestCounts
}

// request is a request without an answer.
type request struct {
	arrivedAtMs float64
	attempts    int
	queued      bool
}

// requestCounts counts how the requests ended.
type requestCounts struct {
	requests, served, rejected, attempts int
	waitsMs                              []float64 // from a request to its first attempt, in ms
}

// newDriver starts a balancer and gives it the endpoint list. Servers that refuse connections are listed alone first,
// until all of them have been tried: the balancer knows them before anything is measured.
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
		for i := 0; len(d.notYetTried) > 0 && i < 20*refusingCount; i++ {
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

// newEntry returns the list entry of a server with a new address.
func (d *driver) newEntry() policy.Entry {
	i := d.entriesCreated
	d.entriesCreated++
	return policy.Entry{Server: policy.Addr{10, byte(i >> 16), byte(i >> 8), byte(i), 0x1f, 0x90},
		Zone: i % max(d.zones, 1), Cell: i / 8, Health: policy.HealthReady, Weight: 1}
}

// advance plays until n more requests have come.
func (d *driver) advance(n int) {
	for end := d.lastRequest + policy.RequestID(n); d.lastRequest < end; {
		d.step()
	}
}

// step plays the next event.
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

// handleNextScheduled plays the first scheduled event.
func (d *driver) handleNextScheduled() {
	next := d.scheduled.popNext()
	d.nowMs = next.atMs
	if ended, ok := next.event.(*policy.AttemptEnded); ok {
		// An outcome crosses its cancellation, and may come after its request was given up.
		if r := d.open[ended.Request]; r != nil && ended.Final {
			d.counts.served++
			delete(d.open, ended.Request)
		} else if r != nil {
			r.queued = true // unless the balancer sends or ends it now
			d.queuedRequests++
		}
	}
	d.handle(next.kind, next.event)
}

// sendRequest sends the next request.
func (d *driver) sendRequest() {
	d.lastRequest++
	class, tenant := d.drawIndex(classShares), d.drawIndex(tenantShares)
	d.open[d.lastRequest] = &request{arrivedAtMs: d.nowMs, queued: true}
	d.queuedRequests++
	d.counts.requests++
	d.handle(newRequest, &policy.RequestArrived{Request: d.lastRequest, Class: class, Tenant: tenant,
		Key: 1 + d.rng.Uint64N(keyCount), TimeLeftMs: d.settings.Classes[class].DeadlineMs})
}

// drawIndex draws an index by shares that add up to one.
func (d *driver) drawIndex(shares []float64) int {
	rest := d.rng.Float64()
	for i, share := range shares {
		if rest -= share; rest < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// updateList passes an endpoint list to the balancer.
func (d *driver) updateList(listKind policy.ListKind, entries []policy.Entry, kind eventKind) {
	d.handle(kind, &policy.EndpointsUpdated{Kind: listKind, Entries: entries})
}

// replaceServer takes the oldest server off the list and adds a new one: two deltas.
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

// perform performs the actions of the balancer.
func (d *driver) perform(actions []policy.Action) {
	d.actions = actions
	for i := range actions {
		a := &actions[i]
		r := d.open[a.Request]
		switch a.Kind {
		case policy.ActionSendAttempt:
			d.counts.attempts++
			if r.attempts++; r.attempts == 1 {
				d.counts.waitsMs = append(d.counts.waitsMs, d.nowMs-r.arrivedAtMs)
			}
			r.queued = false
			d.queuedRequests--
			d.scheduleOutcome(a, r.attempts-1)
		case policy.ActionRejectRequest, policy.ActionFailRequest:
			if r == nil {
				continue
			}
			d.counts.rejected++
			if r.queued {
				d.queuedRequests--
			}
			delete(d.open, a.Request)
		case policy.ActionCheckHealth:
			status := policy.StatusOK
			if d.refusing[a.Server] {
				status = policy.StatusConnectFailed
			}
			d.schedule(connectRefusedMs, outcomeArrived, &policy.HealthCheckEnded{Server: a.Server, Status: status,
				LatencyMs: connectRefusedMs})
		case policy.ActionSetTimer:
			d.schedule(a.DelayMs, timerFired, &policy.TimerFired{Token: a.Token})
		}
	}
}

// scheduleOutcome schedules the outcome of an attempt: at once where its server refuses, after answerTimeMs where servers are idle,
// and as fast as they serve where requests are queued.
func (d *driver) scheduleOutcome(a *policy.Action, attempt int) {
	ended := &policy.AttemptEnded{Request: a.Request, Attempt: attempt, Server: a.Server}
	if d.refusing[a.Server] {
		delete(d.notYetTried, a.Server)
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
