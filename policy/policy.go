// This file holds every decision. Its interface, the settings, events, actions
// and states, is in policy/types.go.

package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// capFactor is c: how far above its even share of the agent's attempts a
	// server may go before a key's request moves on to the next in hash order.
	capFactor = 3.0
	// crowdShare is the part of the aim that a server's mean answer time may take.
	crowdShare = 0.5
	// crowdFactor is how many times the fleet's calm answer time a calm server's may be.
	crowdFactor   = 1.5
	initialWindow = 2.0 // attempts an unmeasured server may hold
	// calmSamples is the number of answers that make the first measure of calm; until
	// then no window grows, so that a start does not crowd what it measures.
	calmSamples = 50
	// minWindow is left to the most crowded server: enough to see when it is not.
	minWindow, tipFactor = 0.1, 2.5
	// keyWait is the part of its aim that a request may wait for one of the keyServers
	// nearest its key: going on at once would lose the warm key just when time is short.
	keyWait, keyServers = 0.25, 2
	// hopeless is the least part of its expected time that a hinted request needs.
	hopeless = 0.7
	// ownZone is how much more a server of the agent's own zone weighs in a key's order at
	// the least, ownPrice the most for the whole worth as the price of crossing; leastKind
	// what a slow kind of machine keeps; weighStep is how fast weights follow.
	ownZone, ownPrice, leastKind, weighStep = 1.5, 100.0, 0.25, 0.05
	// keyMemory is over how many requests keys are counted, keySpread into how many parts
	// a key is split that alone would be a server's even share: it is not alone there.
	keyMemory, keySpread = 128, 4.0
	// classMemory is over how many of its requests the share of a class served in time counts.
	classMemory   = 32
	maxEjections  = 5 // bounds the doubling of a bad server's ejection time
	maxEjectionMs = 60000.0
	// smooth is the weight of an answer in a server's mean, slowSmooth in a fleet-wide one;
	// fade lets requests count less for shares with age, over about 500.
	smooth, slowSmooth, fade = 0.2, 0.005, 0.998
	// failWeight is the weight of an attempt in its server's share of failures, failShare
	// the least median of these shares with which failures are the fleet's, not a server's.
	failWeight, failShare = 0.05, 0.01
	// unansweredMost is the share of attempts that went unanswered up to their aim from which on
	// that is the fleet's, not a server's.
	unansweredMost = 0.5
	// attemptsPerServer is how many attempts for each server all agents together may always
	// have out: it keeps a server busy and is well under what makes one slower. A good answer
	// adds limitGrowth to an agent's part, over those of a round trip; a late one takes up to
	// limitCut off.
	attemptsPerServer, limitGrowth, limitCut = 2.0, 0.2, 0.4
	// leastAttempts is the same while answers are late.
	leastAttempts = 1.0
	// calmFactor is how many times its work a calm answer may take.
	calmFactor = 4.0
	// paceStep and fleetStep are the weights of an answer in what its server and the fleet
	// are held to take, paceFade is how fast an agent forgets the first, in ms: a jammed
	// server recovers within seconds of rest. paceSlack is how much slower than the fleet a
	// server may seem by chance, leastPace what the slowest keeps of its weight.
	paceStep, fleetStep, paceFade, paceSlack, leastPace = 0.5, 0.02, 10000.0, 1.1, 0.02
	// retryRatio is how many attempts after the first each answer in time pays for,
	// retryBurst what is saved up: enough for a moment in which half the servers vanish.
	retryRatio, retryBurst = 0.5, 20.0
	// leastServers is the smallest subset of the fleet an agent sends to.
	leastServers = 16
	// maxHeld bounds the requests held for room, and so the work of a decision.
	maxHeld = 512
	// slowStartBurst bounds what a cold server's credit saves up: all may spend it at once.
	slowStartBurst = 1.0
	// slowStartMargin is what an even share may cost a cold server, in its present capacity:
	// warm ones may be crowded by half and save two thirds by their warm keys.
	slowStartMargin = 5.0
	// probeCap bounds the validations under way at once.
	probeCap = 2

	// What discovery has to tell counts as told after toldWithin, in ms, whatever went wrong
	// before; it serves calls in turn, and one that has waited for callMost fails. callMargin
	// is left for the way and for what the list sets off.
	toldWithin, callMost, callMargin = 6000.0, 2000.0, 250.0
	// callGap is how far apart, in ms, the agents of a small fleet call that start together:
	// those of large ones take all the time that they have.
	callGap = 75.0
	// A watch on the agent's own machine costs nothing: firstWait and longestWait, in ms, only
	// keep its calls from spinning.
	firstWait, longestWait = 100.0, 500.0
	// firstBackoff is the span, in ms, of the wait after a first failed call: less would come
	// back to a queue that is as long as it was. lostBackoff is that after a watch that told
	// has ended: what it missed counts as told some 2 s later, the call included.
	firstBackoff, lostBackoff = 1000.0, 1000.0

	tickToken, followToken = 1, 2
)

// New returns the balancer of one agent, or an error that names the setting
// that makes no sense. All its randomness comes from the seed.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, mix(seed))), byAddr: map[Addr]*server{},
		requests: map[RequestID]*request{}, usage: make([]float64, len(set.Tenants)),
		home: ownZone, retryBudget: retryBurst, limitScale: 1, lookedAt: math.Inf(-1),
		recentKeys: keyCounter{count: map[uint64]int{}}}
	for i := range b.kinds {
		b.kinds[i].weight = 1
	}
	b.takeClasses()
	return b, nil
}

// Start gives the first actions of a new agent and appends them to out.
func (b *Balancer) Start(now float64, out []Action) []Action {
	b.now, b.out, b.began, b.recentAt, b.flowAt, b.askedAt = now, out, now, now, now, now
	b.askForList()
	return b.out
}

// Handle takes one event and appends the actions it calls for to out. Events
// for what is finished or unknown are ignored.
func (b *Balancer) Handle(now float64, ev *Event, out []Action) []Action {
	b.now, b.out = now, out
	switch ev.Kind {
	case EvRequest:
		b.onRequest(ev)
	case EvOutcome:
		b.onOutcome(ev)
	case EvStarted:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			r.started = true
			if ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
				r.attempts[ev.Attempt].s.heard = now
			}
		}
	case EvDropped:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			b.remember(r)
			b.close(r)
		}
	case EvList:
		b.onList(ev)
	case EvProbed:
		b.onProbed(ev)
	case EvTimer:
		b.onTimer(ev.Token)
	}
	b.dispatch()
	b.arm()
	return b.out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

// arm keeps one timer running while there is something to watch.
func (b *Balancer) arm() {
	if !b.ticking && (len(b.held) > 0 || b.inflight > 0) {
		b.ticking = true
		b.do(Action{Kind: ActTimer, Ms: max(2*b.set.RoundMs, 5), Token: tickToken})
	}
}

func (b *Balancer) onTimer(token uint32) {
	switch token {
	case followToken:
		b.askedAt = b.now
		b.do(Action{Kind: ActFollow})
	case tickToken:
		b.ticking = false
		b.ejectSilent()
		b.callOffLate()
		b.expire()
	}
}

// ---- requests ----

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
	left := finite(ev.LeftMs)
	r.deadline = b.now + left - min(b.set.RoundMs, left/4)
	retry := b.repeats(r, ev.Retry)
	r.aimAt = min(r.first+c.AimMs+c.AimStretch*r.hint, r.deadline)
	r.hash = b.split(r.key)
	b.requests[r.id] = r
	b.seen++
	c.counts.Asked++
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
	if r.hint > 0 && c.LateShare == 0 && hopeless*b.hintedTime(r) > r.aimAt-b.now {
		b.end(r)
	}
}

// value is the worth that a unit of server time spent on the request earns, by
// the objective: a part of the whole, and all of the worst class if it is of it.
func (b *Balancer) value(r *request) float64 {
	c := r.class
	o := &b.set.Objective
	v := c.Credit * (o.Whole + o.WorstWindow)
	if r.class == b.worst {
		v += o.WorstClass * b.credit / r.class.asked
	}
	if b.now+b.expected(r) > r.aimAt {
		v *= c.LateShare + b.set.Prices.LateFail
	}
	if b.overShare(r.tenant) {
		v *= b.set.OverShareWorth
	}
	if b.set.WorthBy != "work" {
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
	for i, failures := 0, 0; i < len(b.held) && failures < 4 && b.underLimit(); {
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

// underLimit is the agent's part of what the fleet may have out: an adaptive limit on its
// attempts out. What it bounds is the queue in front of the servers, whatever the number
// of agents and however late they learn. The throttle before it counted failures, and let
// nothing out until they were forgotten: a whole fleet shut and opened in step, 54 requests
// were out on 32 servers one second and 490 two seconds before, which tipped them.
func (b *Balancer) underLimit() bool {
	out, room := float64(b.inflight-b.stuck+len(b.abandoned.all)), b.limitFloor()*b.limitScale
	return out < max(room, 1) && (room >= 1 || b.now-b.triedAt >= b.meanRTT/room)
}

// limitFloor is the agent's part of attemptsPerServer attempts a server, of which the limit on
// attempts is limitScale times, and less only while answers are late. Its part is that of the
// traffic that the settings foresee for all agents, an even one where they foresee none. One
// out at a time does no harm as long as all agents may have one.
func (b *Balancer) limitFloor() float64 {
	all := attemptsPerServer * b.capacity()
	even := all / float64(max(b.set.Replicas, 1))
	quota := 0.0
	for _, t := range b.set.Tenants {
		quota += t.QuotaPerS / 1000
	}
	if quota == 0 {
		return max(even, all*b.rate()/b.feasible(math.Inf(1)))
	}
	return max(all*b.rate()/b.feasible(quota), min(even, 1))
}

// feasible bounds what the settings foresee of all agents, in requests a ms, by what the
// listed servers could possibly answer: in a fleet of many services the settings tell of all
// of them, the list names one service's servers. A calm answer may still have waited for
// others: it takes calmFactor times its work at three quarters of what a server can do. So
// settings that tell of the listed servers are left alone, and what an agent may always have
// out is under what its own calls take while nothing is crowded (Little's law).
func (b *Balancer) feasible(rate float64) float64 {
	calm := b.calmLat * b.meanAim / calmFactor
	if calm <= 0 || b.ready == 0 {
		return rate // nothing was measured yet, or nobody can answer
	}
	return min(rate, attemptsPerServer*b.capacity()/calm)
}

// growLimit raises the limit after a good answer. Below one attempt it doubles (slow start),
// above it grows by a part of one attempt at least. In a fleet of many services the settings
// tell of all of them and the list names one service's servers: an agent's part is then a
// hundredth of an attempt, and a limit that grew by parts of that refused two calls in three
// of a healthy service. Answers that are late take it back to its floor.
func (b *Balancer) growLimit(limit float64) {
	floor := b.limitFloor()
	switch {
	case floor <= 0:
	case limit < 1:
		b.limitScale = min(2*limit, 1) / floor
	default:
		one := max(floor, 1)
		b.limitScale += limitGrowth * one * one / (limit * limit * floor)
	}
}

// rateSpan is the time over which requests are counted, in ms: that for which a connection
// is kept, and where none is, that in which a server may be pushed over.
func (b *Balancer) rateSpan() float64 {
	return max(b.set.Limits.KeepaliveMs, b.set.Contract.TipAfterMs, 1)
}

// rate is how many requests a ms came of late.
func (b *Balancer) rate() float64 {
	span := b.rateSpan()
	old := math.Exp((b.recentAt - b.now) / span)
	return b.recent * old / span / max(1-math.Exp((b.began-b.now)/span), 0.01)
}

// adapt lets the limit follow how attempts end: up while answers take little of their aim,
// down the more the later one is, or if it is turned away or left by its client. Errors
// and broken connections tell nothing of queues.
func (b *Balancer) adapt(a *attempt, st Status, rtt float64) {
	limit := b.limitFloor() * b.limitScale
	over := min(max(rtt/a.r.class.AimMs-crowdShare, 0), 1)
	if st == Full {
		over = 1
	}
	if st == OK {
		b.meanRTT = mean(b.meanRTT, rtt, smooth)
	}
	switch {
	case over > 0 && (st == OK || st == Full || st == Cancelled && !a.called || st == Timeout && !a.s.silent):
		b.limitScale = max(b.limitScale*(1-limitCut*over), leastAttempts/attemptsPerServer)
	case st == OK:
		b.retryBudget = min(b.retryBudget+retryRatio, retryBurst)
		if float64(2*(b.inflight+1)) >= limit {
			b.growLimit(limit)
		}
	}
}

// expire ends held requests that can no longer earn anything, before they cost work.
func (b *Balancer) expire() {
	b.work += uint64(len(b.held))
	for i := 0; i < len(b.held); {
		r := b.held[i]
		last := r.aimAt
		if r.class.LateShare > 0 {
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
	if !b.set.Limits.Cancelling || len(b.held) == 0 || b.underLimit() && !b.scarce {
		return
	}
	b.countWork(b.busy)
	for _, s := range b.busy {
		if b.ramp(s) < 1 {
			continue // slow because it is cold: each further attempt would count against what it bears
		}
		for _, a := range s.out {
			r := a.r
			if b.now >= r.aimAt && r.class.LateShare == 0 && repeatable(r.class) {
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

// ---- the pick: tiers, then the capped key hash ----

// rank is the server's tier for the request.
func (b *Balancer) rank(s *server, r *request) int {
	switch s.state {
	case Unhealthy:
		return 2
	case UnhealthyPending:
		// What must not run twice does not check a server while others are healthy.
		once := r.class.Effect == SingleShot
		if once || b.set.Limits.Probing && b.now-s.since < b.aimMin {
			return 1
		}
	}
	return 0
}

// pick walks the best tier that has anyone in the order of the key's hash and takes the
// first server that is under its cap and has room. Only those that matter are scored.
func (b *Balancer) pick(r *request) *server {
	waits, subset := b.waits(r), b.subset()
	for rank := range 3 {
		tier, n, seen := b.tier[:0], 0, 0
		r.tierWeight = 0
		var near [keyServers]*server
		for _, s := range b.servers {
			seen++
			if b.rank(s, r) != rank || !b.maySend(r, s) {
				continue
			}
			if n++; n > subset && len(tier) > 0 {
				break
			}
			r.tierWeight += s.weight * b.ramp(s)
			if !waits && !b.hasRoom(s, r) {
				continue
			}
			s.score = b.score(r, s)
			tier = append(tier, s)
			for i, at := 0, s; i < keyServers && at != nil; i++ {
				if near[i] == nil || at.score < near[i].score {
					near[i], at = at, near[i]
				}
			}
		}
		b.tier = tier
		b.work += uint64(seen)
		if r.tierWeight == 0 {
			continue // an empty tier passes down
		}
		if waits && len(tier) > keyServers {
			r.near, r.epoch = near, b.epoch
			tier = near[:]
		}
		var best *server
		for _, s := range tier {
			if (best == nil || s.score < best.score) && b.takes(s, r) {
				best = s
			}
		}
		return best
	}
	return nil
}

// subset is how many servers of a tier, in an order of its own, an agent sends to: those
// it can meet every few seconds. A quiet agent met each server of the fleet once a minute:
// it opened a connection for each request and could not learn which were slow or hung
// . Orders differ, so each server keeps its share; keys find theirs within. Where
// connections have no price, more servers keep more keys warm.
func (b *Balancer) subset() int {
	n := b.recent
	if b.set.Limits.KeepaliveMs <= 0 {
		n = math.Inf(1)
	} else if b.set.Prices.Handshake > 0 {
		n /= 4
	}
	return int(min(max(n, leastServers), float64(len(b.servers))))
}

// waits tells whether the request still waits for the servers nearest its key.
func (b *Balancer) waits(r *request) bool {
	return r.key != 0 && len(r.attempts) == 0 && b.now-r.arrived < keyWait*(r.aimAt-r.arrived)
}

// split gives a key the hash that orders the servers for it. A popular key is split into
// parts, each with its own order: one was twenty times what its server can do,
// and with one request out the cap sees nothing of that. The fewer agents share a server,
// the more each sees, and is left to the cap.
func (b *Balancer) split(key uint64) uint64 {
	if key == 0 {
		return b.rng.Uint64()
	}
	share := b.recentKeys.add(key) - 1.0/keyMemory
	servers := float64(b.subset())
	blind := min(float64(b.set.Replicas)/max(capFactor*servers, 1), 1)
	parts := max(share*keySpread*servers*blind, 1)
	return key + uint64(parts*b.rng.Float64())*0x9e3779b97f4a7c15 // part 0 keeps the key's own order
}

// score orders servers by weighted rendezvous hashing: every agent of a zone
// finds the same order for a key, and a server's share of keys is that of its weight.
func (b *Balancer) score(r *request, s *server) float64 {
	x := mix(r.hash ^ s.hash)
	u := float64(x>>11) / (1 << 53)
	w := s.weight * b.kinds[s.kind&255].weight * min(4*b.slowStartShare(s), 1) // its credit limits it
	w *= b.pacing(s)
	if s.zone == b.set.Zone {
		w *= b.home
	}
	return -math.Log(u+1e-18) / w
}

// pace is a server's answer time as a part of the aim, as far as this agent can tell: what
// it saw, forgotten in favour of the fleet's over paceFade, and what it is waiting for.
func (b *Balancer) pace(s *server) float64 {
	p := b.fleetPace + (s.pace-b.fleetPace)*math.Exp((s.paceAt-b.now)/paceFade)
	if len(s.out) > 0 {
		a := s.out[0]
		p = max(p, b.partOfAim(a.r, b.now-a.sentAt))
	}
	return p
}

// pacing is what a server keeps of its weight: one that answers later than the fleet gets
// less, so that its queue can drain. Tiers ignore latency, and windows need many answers: at
// 80 agents, each meeting a server every few seconds, jammed servers kept their even share
// for 15 s while two thirds of the fleet stood idle.
func (b *Balancer) pacing(s *server) float64 {
	if b.fleetPace == 0 {
		return 1
	}
	slower := b.pace(s) / (paceSlack * b.fleetPace)
	if slower <= 1 {
		return 1
	}
	return max(1/(slower*slower), leastPace)
}

// takes tells whether the server is under its cap in the tier of the request's
// last pick and has room.
func (b *Balancer) takes(s *server, r *request) bool {
	share := s.weight * b.ramp(s) / r.tierWeight
	most := math.Ceil(capFactor * float64(b.inflight+1) * share)
	return float64(len(s.out)+s.abandoned) < most && b.hasRoom(s, r)
}

// hasRoom bounds what a server holds of this agent: its window, one at a time
// until it is validated, and a cold server's credit.
func (b *Balancer) hasRoom(s *server, r *request) bool {
	if s.state >= UnhealthyPending {
		return len(s.out)+s.abandoned == 0
	}
	// A window under one is kept by pausing: with many agents even one attempt of
	// each can be too much, and a server that tipped needs rest to recover.
	if len(s.out)+s.abandoned >= max(int(s.window), 1) {
		return false
	}
	if s.window < 1 && b.now-s.sentAt < s.rtt/s.window {
		return false
	}
	if b.ramp(s) == 1 || s.credit >= b.cost(r) {
		return true
	}
	if b.warmWeight() > 0 {
		return false
	}
	if b.flow > 0 {
		return (b.now-s.sentAt)*b.flow*s.weight*b.slowStartShare(s) >= b.cost(r)*b.set.Contract.ColdMs
	}
	// It never met a warm server, so nothing tells what a cold one may be sent: no more than
	// it answers, as one attempt of this agent at a time waits there and the limit bounds them
	// all. Until the first answer they are paced by the aim, or all agents would go on
	// calling what can't answer.
	return len(s.out) == 0 && (b.answers > 0 || b.now-b.triedAt >= b.aimMin/min(b.limitFloor(), 1))
}

// slowStartShare is the part of an even share that a server may be sent: of a cold one what
// keeps the contract, so that its keys move to it as it warms up.
func (b *Balancer) slowStartShare(s *server) float64 {
	if k := b.ramp(s); k < 1 {
		return k * b.set.Contract.FallMultiple / slowStartMargin
	}
	return 1
}

// cost is the work of a request in units of the mean one, and never less: hints are
// rough, and a cold server would be sent the small ones that are not.
func (b *Balancer) cost(r *request) float64 {
	if r.hint > b.meanHint {
		return r.hint / b.meanHint
	}
	return 1
}

// ---- the two guards ----

// maySend is the guard of all attempts: rules 2, 3 and the limits. Rule 4 is in
// hasRoom, whose credit every attempt is charged in send.
func (b *Balancer) maySend(r *request, s *server) bool {
	if !s.usable || r.closed || r.started || r.open > 0 || b.now >= r.deadline ||
		len(r.attempts) >= r.maxAttempts {
		return false
	}
	for _, a := range r.attempts {
		if a.s == s && len(b.servers) > len(r.attempts) {
			return false // further attempts go elsewhere
		}
	}
	if r.mayHaveRun == 0 {
		return true
	}
	c := r.class
	switch c.Effect {
	case Free:
		return true
	case Guarded:
		if b.repeatWithin(r) <= 0 {
			return false
		}
		return c.Group == GroupAll || c.Group == GroupZone && s.zone == r.ranOn.zone ||
			c.Group == GroupCell && s.cell == r.ranOn.cell
	}
	return false
}

// repeatWithin is for how long a keyed request that may have run may still be sent again.
func (b *Balancer) repeatWithin(r *request) float64 {
	return r.ranAt + r.class.KeyTTLMs - 2*b.set.RoundMs - b.now
}

func (b *Balancer) send(r *request, s *server) bool {
	if !b.maySend(r, s) {
		return false
	}
	a := &attempt{r: r, s: s, index: len(r.attempts), alone: len(s.out) == 0, sentAt: b.now, cost: b.cost(r)}
	r.attempts = append(r.attempts, a)
	r.open++
	within := 0.0
	if r.mayHaveRun == 0 {
		r.ranAt, r.ranOn = b.now, s
	} else if r.class.Effect == Guarded {
		within = b.repeatWithin(r)
	}
	r.mayHaveRun++
	s.out = append(s.out, a)
	b.busy.add(s)
	if s.sentAt > 0 {
		s.gap = mean(s.gap, b.now-s.sentAt, smooth)
	}
	s.sentAt, b.triedAt = b.now, b.now
	b.inflight++
	r.class.counts.Sent++
	if b.ramp(s) < 1 {
		s.credit -= a.cost
	}
	b.do(Action{Kind: ActSend, Request: r.id, Server: s.id, Ms: r.deadline - b.now, WithinMs: within})
	return true
}

// earn keeps each cold server's credit: for all that warm servers have served it
// may get its share by weight and ramp. Then the servers' shares of all agents
// together stay in proportion to what they can do, without any agreement. What was
// turned away earns nothing: in a storm it made cold servers' shares ninefold.
func (b *Balancer) earn(s *server, cost float64) {
	if b.ramp(s) < 1 {
		return
	}
	warm := b.warmWeight() * float64(b.subset()) / float64(len(b.servers)) // of its subset
	if warm > 0 {
		b.flow = b.flow*math.Exp((b.flowAt-b.now)/b.set.Contract.ColdMs) + cost/warm
		b.flowAt = b.now
	}
	b.countWork(b.cold)
	for _, o := range b.cold {
		if b.ramp(o) < 1 && warm > 0 {
			o.credit = min(o.credit+cost*b.slowStartShare(o)*o.weight/warm, slowStartBurst)
		}
	}
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
		c.counts.Refused++
		b.do(Action{Kind: ActRefuse, Request: r.id, Ms: b.set.Limits.MaxRetryAfterMs})
	} else {
		c.counts.Failed++
		b.do(Action{Kind: ActFail, Request: r.id})
	}
}

// repeatable tells whether a client may repeat a request of the class that may have run.
func repeatable(c *class) bool {
	return c.Effect == Free || c.Effect == Guarded && c.Group == GroupAll
}

// close forgets a finished request as soon as no attempt of it is out.
func (b *Balancer) close(r *request) {
	r.closed = true
	if i := slices.Index(b.held, r); i >= 0 {
		b.held = slices.Delete(b.held, i, i+1)
	}
	for _, a := range r.attempts {
		if !a.done && b.set.Limits.Cancelling {
			b.do(Action{Kind: ActCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.open == 0 {
		delete(b.requests, r.id)
	}
}

// ---- outcomes and health ----

func (b *Balancer) onOutcome(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].done {
		return
	}
	a := r.attempts[ev.Attempt]
	s := a.s
	a.done = true
	b.outcomes.add(ev.Status)
	r.open--
	b.inflight--
	if a.stuck {
		b.stuck--
	}
	if i := slices.Index(s.out, a); i >= 0 {
		s.out = slices.Delete(s.out, i, i+1)
	}
	if len(s.out) == 0 {
		b.busy.remove(s)
	}
	if ev.Status.NeverRan() {
		r.mayHaveRun--
	}
	b.noteAnswered(a, ev.Status)
	b.closeIdle(s)
	b.adapt(a, ev.Status, finite(ev.LatencyMs))
	b.recordOutcome(a, ev.Status, finite(ev.LatencyMs))
	if r.closed || r.started || ev.Final || ev.Status == OK {
		b.close(r)
	} else {
		b.retry(r, ev.Status)
	}
}

// closeIdle closes a server's idle connections where keeping them costs more than opening
// one again, when this agent comes back to the server as seldom as its last sends say.
// All agents' requests are taken for this one's times their number. A thousand agents
// that each met every server kept 400 connections a server open.
func (b *Balancer) closeIdle(s *server) {
	p := &b.set.Prices
	all := b.seen / max(b.now-b.began, 1) * float64(b.set.Replicas) // requests a ms
	if p.Connection > 0 && len(s.out) == 0 &&
		(s.gap == 0 || s.gap*all*p.Connection > 100*float64(len(b.servers))*p.Handshake) {
		b.do(Action{Kind: ActClose, Server: s.id})
	}
}

// retry holds an unanswered request for another server where class, time and the retry
// budget allow, or ends it. It competes with first tries, so that trouble does not multiply
// the load: with a request or two out at each of a thousand agents no window holds back
// what all send on together.
func (b *Balancer) retry(r *request, why Status) {
	c := r.class
	able := r.mayHaveRun == 0 || c.Effect == Free || c.Effect == Guarded
	price := 1.0
	if why == ConnectFailed {
		price = 0 // no server was asked for anything
	}
	spent := b.retryBudget < price || len(r.attempts) >= r.maxAttempts
	if !able || spent || why == Moot || b.now >= r.deadline {
		b.end(r)
		return
	}
	b.retryBudget -= price
	b.held = append(b.held, r)
}

// recordOutcome takes what an attempt's end says about its server.
func (b *Balancer) recordOutcome(a *attempt, st Status, rtt float64) {
	s := a.s
	switch st {
	case OK:
		b.earn(s, a.cost)
		b.served(a, rtt)
	case Error, Reset:
		s.heard = b.now
		if b.common(s) {
			b.recheck(s)
		} else {
			b.demote(s, false)
		}
		s.fails += failWeight * (1 - s.fails)
	case ConnectFailed:
		b.demote(s, true)
		if s.lostAt == 0 {
			s.lostAt = b.now
		}
	case Timeout:
		b.abandoned.unanswered(rtt, abandonedMost*b.giveUpMost)
		a.r.class.unanswered(b.now, rtt)
		if !b.set.Limits.Cancelling && rtt > 0 {
			b.abandoned.add(a)
		}
		// A server that answered others meanwhile is not to blame for a costly
		// request; it counts as slow.
		if s.heard > a.sentAt {
			b.learnHint(a.r, rtt)
			b.learn(s, b.partOfAim(a.r, rtt))
		} else {
			b.demote(s, true)
		}
	case Cancelled:
		// Its client left, or it was late: so long at least it takes.
		a.r.class.unanswered(b.now, rtt)
		if b.now >= a.r.aimAt && s.heard <= a.sentAt && b.unanswered < unansweredMost {
			b.demote(s, true)
		}
		if x := b.partOfAim(a.r, rtt); x > b.pace(s) {
			b.learnPace(s, x)
		}
	case Full:
		s.heard = b.now
		b.cut(s, 0.7, 1)
	}
}

func (b *Balancer) served(a *attempt, rtt float64) {
	s, r := a.s, a.r
	s.fails -= failWeight * s.fails
	b.learnHint(r, rtt)
	b.recordAnswer(s)
	b.abandoned.answered(rtt)
	s.passed = max(s.passed, a.sentAt)
	s.rtt = rtt
	c := r.class
	c.learn(b.now, rtt)
	c.counts.Served++
	if b.now <= r.aimAt {
		c.counts.InTime++
		c.inTime += 1.0 / classMemory
	}
	x := b.partOfAim(r, rtt)
	b.answers++
	b.fleetLat = mean(b.fleetLat, x, max(slowSmooth, 1/b.answers))
	switch {
	case b.answers <= calmSamples:
		// One quick answer must not set the measure, nor a crowd at the start.
		b.calmLat = min(b.fleetLat, crowdShare/2)
	case b.fleetLat < b.calmLat:
		b.calmLat = mean(b.calmLat, b.fleetLat, slowSmooth)
	default:
		b.calmLat = mean(b.calmLat, b.fleetLat, b.calmRise(a))
	}
	b.learn(s, x)
	limit := b.limit(s)
	if s.state == Unhealthy && a.sentAt < s.since && !s.silent {
		return // sent before the failure: says nothing about what came after
	}
	if s.state != Connected {
		b.enter(s, Connected)
	}
	if s.silent {
		s.silent, s.ejections = false, max(s.ejections-1, 0)
	}
	if s.good++; s.good >= 16*s.ejections {
		s.good, s.ejections = 0, max(s.ejections-1, 0)
	}
	switch {
	case s.lat > limit && b.now-s.cutAt > rtt:
		least := 1.0
		if s.lat > tipFactor*limit {
			least = minWindow
		}
		b.cut(s, 0.85, least)
	case s.lat < limit && float64(len(s.out)+2) > s.window && b.answers > calmSamples:
		s.window += min(1/s.window, s.window)
	}
}

// weigh lets answer times set the weights that the list does not tell. Where crossing has
// a price the own zone gets more in proportion, as long as it answers no slower than the
// rest: what has more traffic than it can carry gets slower. A kind of machine that
// answers later than all gets less: equal shares choke the small ones.
func (b *Balancer) weigh(s *server, x float64) {
	lat := &b.awayLat
	if s.zone == b.set.Zone {
		lat = &b.homeLat
	}
	*lat = mean(*lat, x, weighStep)
	most := max(ownPrice*b.set.Prices.CrossZone, ownZone)
	b.home = stepWeight(b.home, b.homeLat > b.awayLat*(1+b.set.Prices.CrossZone), ownZone, most)
	if b.set.Weights != "off" {
		return
	}
	b.allLat = mean(b.allLat, x, weighStep)
	k := &b.kinds[s.kind&255]
	k.lat = mean(k.lat, x, weighStep)
	k.weight = stepWeight(k.weight, k.lat > b.allLat, leastKind, 1)
}

// limit is the mean answer time, as a part of the aim, from which a server counts as
// crowded. A few agents see most of the load and need not fear to crowd a server that
// answers well within the aim. A cold one is slow before it is crowded.
func (b *Balancer) limit(s *server) float64 {
	least := 2 * crowdShare / (2 + float64(b.set.Replicas))
	return min(crowdShare, max(crowdFactor*b.calmLat, least)) / b.ramp(s)
}

// calmRise is how fast calm follows longer answer times: hardly, or a crowd would become
// the measure. An attempt that was alone of its agent tells more the fewer agents there
// are: a lone one that took quick first answers for calm would leave its servers idle.
func (b *Balancer) calmRise(a *attempt) float64 {
	if a.alone {
		return slowSmooth / min(2*math.Pow(float64(max(b.set.Replicas, 1)), 3), 250)
	}
	return slowSmooth / 250
}

// recordAnswer notes an answer. A server that no connect reached for long may be a new
// process, cold and not yet listed: it is ramped as if it had started now. Time-outs
// alone don't tell: crowded servers would be left to idle.
func (b *Balancer) recordAnswer(s *server) {
	if s.lostAt > 0 && b.now-s.lostAt > b.set.Contract.TipAfterMs {
		s.startedAt, s.window, s.credit = b.now, 1, b.rng.Float64()
		b.coolDown(s)
	}
	s.heard, s.lostAt = b.now, 0
	for _, a := range s.out {
		if a.stuck {
			a.stuck = false
			b.stuck--
		}
	}
}

func (b *Balancer) learn(s *server, x float64) {
	s.samples++
	s.lat = mean(s.lat, x, max(smooth, 1/float64(s.samples), 1-math.Exp((s.paceAt-b.now)/paceFade)))
	b.learnPace(s, x)
	b.weigh(s, x)
}

func (b *Balancer) learnPace(s *server, x float64) {
	if b.fleetPace == 0 {
		s.pace = x
	}
	p := b.pace(s)
	s.pace, s.paceAt = p+paceStep*(x-p), b.now
	b.fleetPace = mean(b.fleetPace, x, fleetStep)
}

func (b *Balancer) cut(s *server, by, least float64) {
	s.window, s.cutAt = min(s.window, max(s.window*by, least)), b.now
}

// common tells whether the server fails no more than the fleet does, as when a network
// breaks connections at random: that says nothing of this one server. When each such failure
// ejected its server, all were out at once and two thirds of the requests were refused.
func (b *Balancer) common(s *server) bool {
	median := b.medianFails()
	return median >= failShare && s.fails <= 3*median
}

// recheck demotes a server and has it validated at once, without an ejection.
func (b *Balancer) recheck(s *server) {
	if s.state != Unhealthy {
		b.enter(s, Unhealthy)
		s.silent, s.good = false, 0
		b.enter(s, UnhealthyPending)
	}
	b.refetch()
}

// demote makes a server Unhealthy; failures of one moment count as one ejection.
func (b *Balancer) demote(s *server, silent bool) {
	if s.state != Unhealthy {
		s.ejections = min(s.ejections+1, maxEjections)
		b.enter(s, Unhealthy)
		s.silent = silent
		s.good, s.lat, s.samples = 0, 0, 0
		s.window = max(s.window/2, 1)
	}
	b.refetch()
}

// ejectionTime is how long a server stays Unhealthy before it is validated again: one aim for
// a stray failure, or the time in which the agent comes by each server if that is longer,
// doubled with each further ejection up to a minute. A probe is answered beside the requests
// and clears a server that fails them: held for a few aims, less than an agent takes to
// come by, failing servers kept an even share for as long as they failed. While the others
// have no room none is ejected: a server that fails some requests is better than refusing
// them all. One that answers nothing is not.
func (b *Balancer) ejectionTime(s *server) float64 {
	if b.scarce && !s.silent {
		return 0
	}
	meet := b.set.Limits.KeepaliveMs * float64(b.subset()) / max(b.recent, 1)
	return min(max(b.aimMin, meet)*float64(int(1)<<max(s.ejections-1, 0)), maxEjectionMs)
}

// ejectSilent demotes servers that took attempts and have answered nothing for
// several answer times: hung or gone silent, they would stay Connected.
func (b *Balancer) ejectSilent() {
	b.countWork(b.busy)
	for _, s := range b.busy {
		silent := func(a *attempt, times float64) bool {
			return b.now-max(s.heard, a.sentAt) >= b.expected(a.r)*times
		}
		soon := 8 / float64(max(min(len(s.out), 3), 1))
		if len(s.out) > 0 && s.state != Unhealthy && silent(s.out[0], soon) {
			b.demote(s, true)
		}
		for _, a := range s.out {
			if s.silent && s.state == Unhealthy && silent(a, soon) {
				b.release(a, silent(a, 8))
			}
		}
	}
}

// release lets go of an attempt on a server that fell silent under it. It stands in no queue
// that the agent's limit is to keep short: held by the limit up to deadlines of a minute and
// more, such attempts took all of it, and nothing was sent to the servers that lived. Where
// the request may go elsewhere in time the attempt is called off, and else the request ends
// when it can no longer earn anything, as those do that are held. The limit lets go only when
// it is sure: crowded servers seem silent for a while too, and need the limit most.
func (b *Balancer) release(a *attempt, sure bool) {
	r, c := a.r, a.r.class
	if sure && !a.stuck {
		a.stuck = true
		b.stuck++
	}
	again := c.Effect == Free || c.Effect == Guarded && b.repeatWithin(r) > 0
	switch {
	case a.called || r.closed || r.started:
	case c.LateShare == 0 && b.now >= r.aimAt:
		a.called = true
		b.end(r)
	case again && b.set.Limits.Cancelling && len(r.attempts) < r.maxAttempts && b.retryBudget >= 1 &&
		b.now+b.expected(r) < r.aimAt:
		a.called = true
		b.do(Action{Kind: ActCancel, Request: r.id, Attempt: a.index})
	}
}

// revalidate, on each request, refreshes servers that were Unhealthy long enough to
// pending, to be validated in the background.
func (b *Balancer) revalidate() {
	b.countWork(b.ejected)
	for _, s := range b.ejected {
		if s.state == Unhealthy && s.usable && len(s.out) == 0 && b.now-s.since >= b.ejectionTime(s) {
			b.enter(s, UnhealthyPending)
			b.refetch()
		}
		pending := s.state == UnhealthyPending && s.usable
		if pending && b.set.Limits.Probing && !s.probing && b.probes < probeCap {
			s.probing = true
			b.probes++
			b.do(Action{Kind: ActProbe, Server: s.id})
		}
	}
}

func (b *Balancer) onProbed(ev *Event) {
	s := b.byAddr[ev.Server]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	b.probes--
	switch {
	case s.state != UnhealthyPending:
	case ev.Status == OK:
		b.recordAnswer(s)
		b.enter(s, Connected)
	case ev.Status != Full:
		b.demote(s, true)
	}
}

// ---- the list ----

// askForList sets the time of the first call that follows the list. Where discovery is one
// service for all, agents that start together have turns by their numbers, so that their calls
// don't wait for each other. The list that an agent starts with is as old as its restart took,
// and what it misses may count as told already: all turns are within the drains' grace.
func (b *Balancer) askForList() {
	switch b.set.Membership {
	case Watched:
		b.follow(b.rng.Float64() * firstWait)
	case OnRequest:
		turn := (float64(b.set.Index) + b.rng.Float64()) / float64(max(b.set.Replicas, b.set.Index+1))
		b.follow(turn * b.spread(min(b.set.Contract.DrainGraceMs, toldWithin-callMost-callMargin)))
	}
}

// askAgain sets the time of the next call after failures calls in a row that failed, or
// watches that told and ended at once: a backoff with jitter that doubles from span. The
// last call may have failed at the very moment in which discovery came back, so what it
// took, the wait and the next call are together less than toldWithin.
func (b *Balancer) askAgain(failures int, span float64) {
	if b.set.Membership == Watched {
		b.follow(b.rng.Float64() * min(firstWait*math.Pow(2, float64(failures)), longestWait))
		return
	}
	most := toldWithin - callMost - callMargin - (b.now - b.askedAt)
	span = min(span*math.Pow(2, float64(failures-1)), max(most, firstBackoff))
	b.follow(span * (0.5 + b.rng.Float64()/2))
}

// onLost sets the time of the next call after a watch that had told has ended. One that
// ends again and again as soon as it has told is no better than calls that fail.
func (b *Balancer) onLost() {
	b.failures = 0
	if b.now-b.askedAt < toldWithin/2 {
		b.losses++
	} else {
		b.losses = 1
	}
	switch {
	case b.losses > 1:
		b.askAgain(b.losses-1, lostBackoff)
	case b.set.Membership == Watched:
		b.follow(b.rng.Float64() * firstWait)
	default:
		b.follow(b.rng.Float64() * b.spread(lostBackoff))
	}
}

// spread is the time over which all agents' calls are spread, at most most.
func (b *Balancer) spread(most float64) float64 {
	return min(callGap*float64(b.set.Replicas), most)
}

func (b *Balancer) follow(in float64) { b.do(Action{Kind: ActTimer, Ms: in, Token: followToken}) }

// refetch asks for the whole list, seldom: every call loads discovery. Who follows the list
// has it as new as can be, or waits for its turn to ask.
func (b *Balancer) refetch() {
	if b.set.Membership == Pushed && b.now-b.lookedAt >= max(b.set.Contract.AskWithinMs, 1000) {
		b.lookedAt = b.now
		b.do(Action{Kind: ActFetch})
	}
}

func (b *Balancer) onList(ev *Event) {
	switch ev.List {
	case ListFailed:
		b.failures++
		b.askAgain(b.failures, firstBackoff)
		return
	case ListLost:
		b.onLost()
		return
	}
	b.failures = 0
	b.epoch++
	named := map[Addr]bool{}
	for i := range ev.Entries {
		named[ev.Entries[i].Server] = true
		b.update(&ev.Entries[i])
	}
	if ev.List != ListDelta {
		b.countWork(b.servers)
		for _, s := range b.servers {
			s.usable = s.usable && named[s.id]
		}
	}
	floor := b.limitFloor()
	limit := floor * b.limitScale
	b.ready, b.capacityAt = 0, math.Inf(-1)
	b.countWork(b.servers)
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		if s.usable {
			b.ready++
		}
		forget := !s.usable && len(s.out) == 0 && !s.probing
		if forget {
			b.forget(s)
		}
		return forget
	})
	// A limit that has grown far above a part of one attempt does not grow with that part.
	if now := b.limitFloor(); floor < 1 && now > floor {
		b.limitScale = max(limit/now, min(b.limitScale, 1))
	}
}

func (b *Balancer) update(e *Entry) {
	b.work++
	s, since := b.byAddr[e.Server], finite(e.SinceMs)
	if s == nil {
		s = &server{id: e.Server, hash: mix(hashAddr(e.Server)), state: Unknown, since: b.now,
			window: initialWindow, startedAt: since, listedAt: since, credit: b.rng.Float64()}
		s.order = mix(s.hash ^ mix(uint64(b.set.Index)+1))
		b.byAddr[s.id] = s
		b.servers.add(s)
		b.coolDown(s)
	}
	if since > s.listedAt {
		// A new process: nothing known of the old one holds, and it is cold. Its credit
		// starts at random: of many agents that each earn it a part of one request, as
		// many send one as the parts add up to; from 0 none would before it is warm.
		s.listedAt = since
		b.ejected.remove(s)
		s.startedAt, s.state, s.since, s.silent = since, Unknown, b.now, false
		b.coolDown(s)
		s.ejections, s.good, s.lat, s.samples, s.window, s.credit = 0, 0, 0, 0, 1, b.rng.Float64()
		s.fails, s.pace, s.paceAt = 0, b.fleetPace, b.now
	}
	s.zone, s.cell, s.kind, s.usable = e.Zone, e.Cell, e.Kind, e.Health == Ready
	s.weight = 1
	if w := finite(e.Weight); w > 0 {
		s.weight = w
	}
}

// overShare tells whether a tenant sends more than its portion of what comes.
func (b *Balancer) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.usage) {
		return false
	}
	return b.usage[tenant] > 1.1*b.set.Tenants[tenant].Portion
}
