// This file holds which requests wait, which are sent first and which are shed.

package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// hopeless is the least part of its expected time that a hinted request needs.
	hopeless = 0.7
	// maxHeld bounds the requests held for room, and so the work of a decision.
	maxHeld = 512
)

// request is one try of a client, kept until it is answered and no attempt is out.
type request struct {
	id          RequestID
	class       *class
	tenant      int
	key         uint64
	hash        uint64 // what orders the servers for it
	hint        float64
	first       float64 // when the client's first try came, as far as known
	arrived     float64
	aimAt       float64
	deadline    float64    // margin already taken off
	attempts    []*attempt // those that count
	sends       int        // attempts sent, with those that this machine could not make
	maxAttempts int
	open        int // attempts out
	mayHaveRun  int // attempts that may have run
	ranAt       float64
	ranOn       *endpoint
	near        [keyServers]*endpoint // nearest its key, as of epoch
	epoch       uint64
	tierWeight  float64 // of the tier at its last pick
	value       float64
	closed      bool
	started     bool // a streamed answer belongs to the client now
}

// unservedRequest is what is remembered of an unserved request, to know its retry.
type unservedRequest struct {
	class *class
	key   uint64
	first float64
}

func (b *Balancer) onRequest(ev *Event) {
	if b.requests[ev.Request] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(b.classes) {
		b.end(&request{id: ev.Request, class: &class{}}) // still owed an answer; nothing of it ran
		return
	}
	c := b.classes[ev.Class]
	r := &request{id: ev.Request, class: c, tenant: ev.Tenant, key: ev.Key,
		arrived: b.now, first: b.now, maxAttempts: b.set.Limits.MaxAttempts}
	if r.hint = finite(ev.HintMs); !ev.HasHint {
		r.hint = 0
	} else if r.hint > 0 {
		b.meanHint = mean(b.meanHint, r.hint, slowSmooth)
	}
	left := finite(ev.TimeLeftMs)
	r.deadline = b.now + left - min(b.set.RoundMs, left/4)
	retry := b.repeats(r, ev.Retry)
	r.aimAt = min(r.first+c.LatencyObjectiveMs+c.ObjectiveStretch*r.hint, r.deadline)
	r.hash = b.split(r.key)
	b.requests[r.id] = r
	b.seen++
	c.counts.Requests++
	if !retry { // retries swell with trouble, and are foreseen nowhere
		b.recent = b.recent*math.Exp((b.recentAt-b.now)/b.rateSpan()) + 1
		b.recentAt = b.now
	}
	b.count(r.tenant)
	b.tally(r.class)
	b.revalidate()
	b.held = append(b.held, r)
	// A request whose hinted work cannot fit the aim anywhere would only keep
	// others waiting: the costly few of a heavy tail.
	if r.hint > 0 && c.LateWeight == 0 && hopeless*b.hintedTime(r) > r.aimAt-b.now {
		b.end(r)
	}
}

// value is the worth that a unit of server time spent on the request earns, by
// the objective: a part of the whole, and all of the worst class if it is of it.
func (b *Balancer) value(r *request) float64 {
	c := r.class
	o := &b.set.Objective
	v := c.PriorityWeight * (o.Whole + o.WorstWindow)
	if r.class == b.worst {
		v += o.WorstClass * b.credit / r.class.asked
	}
	if b.now+b.expected(r) > r.aimAt {
		v *= c.LateWeight + b.set.Prices.LateFail
	}
	if b.overShare(r.tenant) {
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
	b.abandoned.settle(b.now)
	b.work += uint64(len(b.held))
	for _, r := range b.held {
		r.value = b.value(r)
	}
	slices.SortFunc(b.held, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrived, x.arrived),
			cmp.Compare(x.id, y.id))
	})
	// One that waits for its key's servers is passed over; of others a few failures tell.
	b.scarce = false
	for i, failures := 0, 0; i < len(b.held) && failures < 4 && b.underLimit() && b.local.mayTry(b.now); {
		r := b.held[i]
		if near := r.near; b.waits(r) && near[0] != nil && r.epoch == b.epoch &&
			!b.takes(near[0], r) && !b.takes(near[1], r) {
			i++
			continue
		}
		if s := b.pick(r); s != nil && b.send(r, s) {
			b.held = slices.Delete(b.held, i, i+1)
			continue
		}
		i++
		if !b.waits(r) {
			failures++
		}
		b.scarce = failures > 0
	}
	for b.tooMany() {
		b.end(b.held[len(b.held)-1])
	}
}

// expire ends held requests that can no longer earn anything, before they cost work.
func (b *Balancer) expire() {
	b.work += uint64(len(b.held))
	for i := 0; i < len(b.held); {
		r := b.held[i]
		last := r.aimAt
		if r.class.LateWeight > 0 {
			last = r.deadline
		}
		if b.now+b.expected(r) > last || b.now >= r.deadline {
			b.end(r)
			continue
		}
		i++
	}
}

// callOffLate ends requests that are out and can earn nothing any more while others wait for
// their places: past their aim their answers are worth nothing, and a quarter of an agent's
// attempts waited for slow servers up to their clients' deadlines while it refused requests.
// What may not be repeated at will is waited for: nobody could tell whether it has run.
func (b *Balancer) callOffLate() {
	if !b.set.Limits.Cancellation || len(b.held) == 0 || b.underLimit() && !b.scarce {
		return
	}
	b.countWork(b.busy)
	for _, s := range b.busy {
		if b.ramp(s) < 1 {
			continue // slow because it is cold: each further attempt would count against what it bears
		}
		for _, a := range s.out {
			r := a.r
			if b.now >= r.aimAt && r.class.LateWeight == 0 && repeatable(r.class) {
				b.end(r)
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
func (b *Balancer) tooMany() bool {
	most := b.set.Limits.MaxOpenRequests
	return len(b.held) > maxHeld || len(b.held) > 0 && most > 0 && len(b.held)+b.inflight > most
}

// end is the guard of all final answers but served ones: a refusal where the class
// allows the claim that a retry is harmless, else a failure.
func (b *Balancer) end(r *request) {
	if r.closed || r.started {
		return
	}
	b.remember(r)
	c := r.class
	harmless := r.mayHaveRun == 0 || repeatable(c)
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
	if i := slices.Index(b.held, r); i >= 0 {
		b.held = slices.Delete(b.held, i, i+1)
	}
	for _, a := range r.attempts {
		if !a.done && b.set.Limits.Cancellation {
			b.do(Action{Kind: ActionCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.open == 0 {
		delete(b.requests, r.id)
	}
}

// remember keeps when an unserved request first came, so that its retry is
// judged by the time that has passed for the client.
func (b *Balancer) remember(r *request) {
	b.unserved = slices.DeleteFunc(b.unserved, func(p unservedRequest) bool {
		return b.now-p.first > p.class.DeadlineMs
	})
	if len(b.unserved) < maxHeld {
		b.unserved = append(b.unserved, unservedRequest{r.class, r.key, r.first})
	}
}

// recall finds and forgets the unserved request that this one repeats.
func (b *Balancer) recall(r *request) (first float64, found bool) {
	i := slices.IndexFunc(b.unserved, func(p unservedRequest) bool {
		return p.class == r.class && p.key == r.key
	})
	if i < 0 {
		return 0, false
	}
	first = b.unserved[i].first
	b.unserved = slices.Delete(b.unserved, i, i+1)
	return first, true
}

// repeats tells whether the request seems to be a client's retry, and when its first try came.
// Where clients don't mark their retries, a request with the class and the key of an unserved
// one is held to be its retry: of the few requests that an agent left unserved within the time
// that clients wait, hardly another has the same key.
func (b *Balancer) repeats(r *request, marked bool) bool {
	if !marked && (b.set.Clients.MarksRetry || r.key == 0) {
		return false
	}
	first, found := b.recall(r)
	if found {
		r.first = first
	}
	return marked || found
}
