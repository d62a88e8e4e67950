// This file holds which requests wait, which are sent first and which are shed.

package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// hopeless is the least part of its expected time that a hinted request needs.
	infeasibleFraction = 0.7
	// maxHeld bounds the requests held for room, and so the work of a decision.
	maxQueued = 512
)

// admissionQueue holds the open requests and those of them that wait for capacity.
type admissionQueue struct {
	open     map[RequestID]*request
	queued   []*request // ordered by priority at each dispatch
	scarce   bool       // requests that would go to any endpoint find no capacity
	unserved []unservedRequest
}

// request is one try of a client, kept until it is answered and none of its attempts is in
// flight.
type request struct {
	id          RequestID
	class       *class
	tenant      int
	key         uint64  // 0: none
	hash        uint64  // orders the endpoints for it
	hint        float64 // hinted work; 0: none
	timing      requestTiming
	tries       requestTries
	idempotency requestIdempotency
	placement   requestPlacement
	priority    float64 // as of the last dispatch
	closed      bool    // answered or given up
	started     bool    // a streamed answer has begun and belongs to the client
}

// requestTiming holds the times of a request, in ms of the agent's clock.
type requestTiming struct {
	firstArrived float64 // when the client's first try came, as far as known
	arrived      float64
	objectiveAt  float64 // end of its latency objective
	deadline     float64 // less a margin for the way back
}

// requestTries counts the attempts of a request.
type requestTries struct {
	counted  []*attempt // those that count against the limit
	sent     int        // all, with those that this machine could not make
	limit    int
	inFlight int
}

// requestIdempotency is what decides whether a request may be sent again.
type requestIdempotency struct {
	mayHaveRun    int       // attempts that may have run
	earliestRunAt float64   // earliest time at which one may have run, in ms
	firstEndpoint *endpoint // where that one was sent
}

// requestPlacement is what the last selection for a request found.
type requestPlacement struct {
	nearest    [keyEndpoints]*endpoint // endpoints nearest its key, as of epoch
	epoch      uint64                  // of the endpoint set
	tierWeight float64                 // weight of the tier chosen
}

// unservedRequest is what is remembered of an unserved request, to know its retry.
type unservedRequest struct {
	class *class
	key   uint64
	first float64
}

func (b *Balancer) onRequest(ev *Event) {
	if b.queue.open[ev.Request] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(b.classes.all) {
		b.finishUnserved(&request{id: ev.Request, class: &class{}}) // still owed an answer; nothing of it ran
		return
	}
	c := b.classes.all[ev.Class]
	r := &request{id: ev.Request, class: c, tenant: ev.Tenant, key: ev.Key,
		timing: requestTiming{arrived: b.now, firstArrived: b.now}, tries: requestTries{limit: b.set.Limits.MaxAttempts}}
	if r.hint = finite(ev.HintMs); !ev.HasHint {
		r.hint = 0
	} else if r.hint > 0 {
		b.latency.hints.mean = mean(b.latency.hints.mean, r.hint, fleetSmoothing)
	}
	left := finite(ev.TimeLeftMs)
	r.timing.deadline = b.now + left - min(b.set.RoundMs, left/4)
	retry := b.isRetry(r, ev.Retry)
	r.timing.objectiveAt = min(r.timing.firstArrived+c.LatencyObjectiveMs+c.ObjectiveStretch*r.hint, r.timing.deadline)
	r.hash = b.splitKey(r.key)
	b.queue.open[r.id] = r
	b.traffic.requests++
	c.counts.Requests++
	if !retry { // retries swell with trouble, and are foreseen nowhere
		b.traffic.recent = b.traffic.recent*math.Exp((b.traffic.recentAt-b.now)/b.rateSpan()) + 1
		b.traffic.recentAt = b.now
	}
	b.countTenant(r.tenant)
	b.countClass(r.class)
	b.revalidateEjected()
	b.queue.queued = append(b.queue.queued, r)
	// A request whose hinted work cannot fit the aim anywhere would only keep
	// others waiting: the costly few of a heavy tail.
	if r.hint > 0 && c.LateWeight == 0 && infeasibleFraction*b.hintedTime(r) > r.timing.objectiveAt-b.now {
		b.finishUnserved(r)
	}
}

// value is the worth that a unit of server time spent on the request earns, by
// the objective: a part of the whole, and all of the worst class if it is of it.
func (b *Balancer) priorityOf(r *request) float64 {
	c := r.class
	o := &b.set.Objective
	v := c.PriorityWeight * (o.Whole + o.WorstWindow)
	if r.class == b.classes.worst {
		v += o.WorstClass * b.classes.meanPriority / r.class.requestShare
	}
	if b.now+b.expected(r) > r.timing.objectiveAt {
		v *= c.LateWeight + b.set.Prices.LateFail
	}
	if b.overQuota(r.tenant) {
		v *= b.set.OverQuotaWeight
	}
	if b.set.WeightBy != "work" {
		v /= c.expected(b.now)
	}
	return v
}

// dispatch sends what is held as far as there is room: the most valuable first,
// of equals the newest, as under overload the oldest would only end late.
func (b *Balancer) dispatch() {
	b.limiter.abandoned.settle(b.now)
	b.stats.work += uint64(len(b.queue.queued))
	for _, r := range b.queue.queued {
		r.priority = b.priorityOf(r)
	}
	slices.SortFunc(b.queue.queued, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(y.timing.arrived, x.timing.arrived),
			cmp.Compare(x.id, y.id))
	})
	// One that waits for its key's servers is passed over; of others a few failures tell.
	b.queue.scarce = false
	for i, failures := 0, 0; i < len(b.queue.queued) && failures < 4 && b.underLimit() && b.local.mayTry(b.now); {
		r := b.queue.queued[i]
		if near := r.placement.nearest; b.waits(r) && near[0] != nil && r.placement.epoch == b.endpoints.epoch &&
			!b.accepts(near[0], r) && !b.accepts(near[1], r) {
			i++
			continue
		}
		if s := b.selectEndpoint(r); s != nil && b.send(r, s) {
			b.queue.queued = slices.Delete(b.queue.queued, i, i+1)
			continue
		}
		i++
		if !b.waits(r) {
			failures++
		}
		b.queue.scarce = failures > 0
	}
	for b.queueFull() {
		b.finishUnserved(b.queue.queued[len(b.queue.queued)-1])
	}
}

// expire ends held requests that can no longer earn anything, before they cost work.
func (b *Balancer) expire() {
	b.stats.work += uint64(len(b.queue.queued))
	for i := 0; i < len(b.queue.queued); {
		r := b.queue.queued[i]
		last := r.timing.objectiveAt
		if r.class.LateWeight > 0 {
			last = r.timing.deadline
		}
		if b.now+b.expected(r) > last || b.now >= r.timing.deadline {
			b.finishUnserved(r)
			continue
		}
		i++
	}
}

// callOffLate ends requests that are out and can earn nothing any more while others wait for
// their places: past their aim their answers are worth nothing, and a quarter of an agent's
// attempts waited for slow servers up to their clients' deadlines while it refused requests.
// What may not be repeated at will is waited for: nobody could tell whether it has run.
func (b *Balancer) cancelLate() {
	if !b.set.Limits.Cancellation || len(b.queue.queued) == 0 || b.underLimit() && !b.queue.scarce {
		return
	}
	b.countWork(b.endpoints.busy)
	for _, s := range b.endpoints.busy {
		if b.capacityFraction(s) < 1 {
			continue // slow because it is cold: each further attempt would count against what it bears
		}
		for _, a := range s.traffic.inFlight {
			r := a.request
			if b.now >= r.timing.objectiveAt && r.class.LateWeight == 0 && isRepeatable(r.class) {
				b.finishUnserved(r)
			}
		}
	}
}

// expected is how long an answer to the request takes, on the mean.
func (b *Balancer) expected(r *request) float64 {
	e := r.class.expected(b.now)
	if t := b.hintedTime(r); t > 0 {
		e = max(t, e/4)
	}
	return e
}

// tooMany tells whether more requests are held than the agent can bear: past the
// requests it may have open, clients would wait for a connection with nobody to answer.
func (b *Balancer) queueFull() bool {
	most := b.set.Limits.MaxOpenRequests
	return len(b.queue.queued) > maxQueued || len(b.queue.queued) > 0 && most > 0 && len(b.queue.queued)+b.limiter.inFlight > most
}

// end is the guard of all final answers but served ones: a refusal where the class
// allows the claim that a retry is harmless, else a failure.
func (b *Balancer) finishUnserved(r *request) {
	if r.closed || r.started {
		return
	}
	b.remember(r)
	c := r.class
	harmless := r.idempotency.mayHaveRun == 0 || isRepeatable(c)
	b.close(r)
	if harmless {
		c.counts.Rejected++
		b.do(Action{Kind: ActionReject, Request: r.id, DelayMs: b.set.Limits.MaxRetryAfterMs})
	} else {
		c.counts.Failed++
		b.do(Action{Kind: ActionFail, Request: r.id})
	}
}

// close forgets a finished request as soon as no attempt of it is out.
func (b *Balancer) close(r *request) {
	r.closed = true
	if i := slices.Index(b.queue.queued, r); i >= 0 {
		b.queue.queued = slices.Delete(b.queue.queued, i, i+1)
	}
	for _, a := range r.tries.counted {
		if !a.done && b.set.Limits.Cancellation {
			b.do(Action{Kind: ActionCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.tries.inFlight == 0 {
		delete(b.queue.open, r.id)
	}
}

// remember keeps when an unserved request first came, so that its retry is
// judged by the time that has passed for the client.
func (b *Balancer) remember(r *request) {
	b.queue.unserved = slices.DeleteFunc(b.queue.unserved, func(p unservedRequest) bool {
		return b.now-p.first > p.class.DeadlineMs
	})
	if len(b.queue.unserved) < maxQueued {
		b.queue.unserved = append(b.queue.unserved, unservedRequest{r.class, r.key, r.timing.firstArrived})
	}
}

// recall finds and forgets the unserved request that this one repeats.
func (b *Balancer) recall(r *request) (first float64, found bool) {
	i := slices.IndexFunc(b.queue.unserved, func(p unservedRequest) bool {
		return p.class == r.class && p.key == r.key
	})
	if i < 0 {
		return 0, false
	}
	first = b.queue.unserved[i].first
	b.queue.unserved = slices.Delete(b.queue.unserved, i, i+1)
	return first, true
}

// repeats tells whether the request seems to be a client's retry, and when its first try came.
// Where clients don't mark their retries, a request with the class and the key of an unserved
// one is held to be its retry: of the few requests that an agent left unserved within the time
// that clients wait, hardly another has the same key.
func (b *Balancer) isRetry(r *request, marked bool) bool {
	if !marked && (b.set.Clients.MarksRetry || r.key == 0) {
		return false
	}
	first, found := b.recall(r)
	if found {
		r.timing.firstArrived = first
	}
	return marked || found
}
