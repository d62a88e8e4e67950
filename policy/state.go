package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// This file holds what a Balancer remembers and plain arithmetic on it; the
// decisions are in policy.go.

// server is what the agent knows of one listed server.
type server struct {
	id        Addr
	hash      uint64
	order     uint64 // its place among the servers, in an order of this agent's own
	zone      int
	cell      int
	kind      int
	weight    float64
	listedAt  float64 // start of its process by the list
	startedAt float64 // the same, or later where a restart is assumed
	cold      bool    // in the Balancer's cold ones
	usable    bool    // listed as ready
	state     State
	since     float64 // when the state was entered
	silent    bool    // demoted for silence, not for an answer
	lostAt    float64 // first failed connect since it last answered; 0: none
	ejections int     // how often it failed of late; sets the ejection time
	fails     float64 // share of its attempts that failed of late, after they may have run
	good      int     // served since the last change of ejections
	probing   bool
	out       []*attempt // attempts out, oldest first
	abandoned int        // attempts that it may still work on though nobody waits for them
	passed    float64    // when the latest attempt was sent that it has answered
	heard     float64    // when it last answered anything
	lat       float64    // mean answer time as a part of the aim
	samples   int
	pace      float64 // answer time as a part of the aim by the last answers, as of paceAt
	paceAt    float64
	window    float64 // attempts it may hold of this agent
	cutAt     float64
	sentAt    float64 // last attempt
	gap       float64 // mean time between attempts; 0: unknown
	rtt       float64 // mean answer time
	credit    float64 // work a cold server may still be sent
	score     float64 // place in a request's order; lower is nearer
}

// attempt is one send of a request.
type attempt struct {
	r      *request
	s      *server
	index  int
	sentAt float64
	alone  bool // no other of this agent was out on its server
	cost   float64
	done   bool
	stuck  bool // out on a server that fell silent under it
	called bool // called off, to be sent elsewhere
}

// class is a class of requests and what was learnt of it.
type class struct {
	Class
	expect   float64 // mean answer time, as of expectAt
	expectAt float64
	answers  float64 // that it was learnt from
	asked    float64 // share of all requests of late
	inTime   float64 // share of its last classMemory requests that were served within the aim
	counts   ClassCounts
}

// calm is the answer time that a class of which nothing is known is held to have.
func (c *class) calm() float64 { return c.AimMs * crowdShare / 2 }

// learn takes an answer time into the class's mean, which follows the answers of the time
// after which its clients give up.
func (c *class) learn(now, rtt float64) {
	weight := max(4*slowSmooth, 1/(c.answers+2))
	if c.answers > 0 {
		weight = max(weight, 1-math.Exp((c.expectAt-now)/c.GiveUpMs))
	}
	c.expect = mean(c.expect, min(rtt, 2*c.AimMs), weight)
	c.answers++
	c.expectAt = now
}

// unanswered takes an attempt into the mean that was given up on after its age. What it would
// have taken is not known, nor whether its server lives: it counts as twice the mean at most,
// so that the mean runs away only where most go unanswered.
func (c *class) unanswered(now, age float64) {
	if expected := c.expected(now); age > expected {
		c.learn(now, min(age, 2*expected))
	}
}

// expected is the class's mean answer time. Late answers are forgotten over the time after
// which clients give up: nobody waits any more for what was in the queues then. A class held
// to be late for good is sent only when no other is held, and then nothing of it tells that
// servers have become quick.
func (c *class) expected(now float64) float64 {
	calm := c.calm()
	if c.expect <= calm {
		return c.expect
	}
	return calm + (c.expect-calm)*math.Exp((c.expectAt-now)/c.GiveUpMs)
}

// takeClasses makes the settings' classes those of the Balancer; nothing is known of them yet.
func (b *Balancer) takeClasses() {
	b.classes, b.aimMin, b.giveUpMost = nil, math.Inf(1), 0
	for _, c := range b.set.Classes {
		of := &class{Class: c, asked: 1 / float64(len(b.set.Classes)), inTime: 1}
		of.expect = of.calm()
		b.classes = append(b.classes, of)
		b.aimMin = min(b.aimMin, c.AimMs)
		b.giveUpMost = max(b.giveUpMost, c.GiveUpMs)
	}
	b.worst = b.classes[0]
}

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
	deadline    float64 // margin already taken off
	attempts    []*attempt
	maxAttempts int
	open        int // attempts out
	mayHaveRun  int // attempts that may have run
	ranAt       float64
	ranOn       *server
	near        [keyServers]*server // nearest its key, as of epoch
	epoch       uint64
	tierWeight  float64 // of the tier at its last pick
	value       float64
	closed      bool
	started     bool // a streamed answer belongs to the client now
}

// keyCounter counts how often each key came among the last keyMemory requests.
type keyCounter struct {
	last  [keyMemory]uint64
	next  int
	total int
	count map[uint64]int
}

// add counts one more request for the key and returns the key's share.
func (k *keyCounter) add(key uint64) float64 {
	if k.total == keyMemory {
		old := k.last[k.next]
		if k.count[old]--; k.count[old] == 0 {
			delete(k.count, old)
		}
	} else {
		k.total++
	}
	k.last[k.next] = key
	k.next = (k.next + 1) % keyMemory
	k.count[key]++
	return float64(k.count[key]) / float64(k.total)
}

// unservedRequest is what is remembered of an unserved request, to know its retry.
type unservedRequest struct {
	class *class
	key   uint64
	first float64
}

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	set         Settings
	rng         *rand.Rand
	now         float64
	out         []Action
	servers     ordered
	ejected     ordered   // those of them in a state after Unknown
	busy        ordered   // with attempts out
	cold        []*server // that may not have their whole capacity yet
	byAddr      map[Addr]*server
	requests    map[RequestID]*request
	held        []*request
	tier        []*server // scratch of pick
	shares      []float64 // scratch of common
	unserved    []unservedRequest
	recentKeys  keyCounter
	warm        float64 // weight of warm servers, as of warmAt and warmEpoch
	warmAt      float64
	warmEpoch   uint64
	warmStale   bool   // some server got cold or warm since
	epoch       uint64 // counts changes of tiers and list
	inflight    int
	stuck       int // of these, on servers that fell silent
	abandoned   abandonedAttempts
	unanswered  float64 // share of the attempts of late that their servers left unanswered
	giveUpMost  float64 // the longest time after which clients give up
	probes      int
	classes     []*class
	meanHint    float64
	hints       float64 // answers to hinted requests, and their means and spread
	hintMean    float64
	hintTime    float64
	hintVar     float64
	hintCov     float64
	answers     float64   // served so far
	fleetLat    float64   // mean answer time as a part of the aim, all servers
	calmLat     float64   // the same when nothing is crowded
	usage       []float64 // tenants' shares of requests
	worst       *class    // the class served worst
	credit      float64   // mean worth of a request
	aimMin      float64
	meanAim     float64 // of the requests of late, by their classes
	lookedAt    float64 // last fetch of the list
	askedAt     float64 // last call that follows the list
	failures    int     // failed calls in a row
	losses      int     // watches in a row that ended as soon as they had told
	flow        float64 // work sent to a warm server of weight one, fading over the cold time
	flowAt      float64
	limitScale  float64 // how many times its share of attempts the agent may have out
	retryBudget float64 // retry budget: attempts after a first that may still be made
	ready       int     // servers listed as ready
	capacityNow float64 // what they can do, as of capacityAt
	capacityAt  float64
	meanRTT     float64 // mean answer time
	recent      float64 // requests of late, over the keepalive time, as of recentAt
	recentAt    float64
	fleetPace   float64 // mean answer time as a part of the aim, of the last answers
	home        float64 // weight of the own zone's servers, and mean answer times there and elsewhere
	homeLat     float64
	awayLat     float64
	allLat      float64
	kinds       [256]struct{ lat, weight float64 } // mean answer time and weight of each kind of machine
	triedAt     float64                            // last attempt
	began       float64
	seen        float64 // requests since
	ticking     bool
	scarce      bool // requests that would take any server find no room
	work        uint64
	outcomes    OutcomeCounts
}

// Work is how many listed servers, entries of lists and held requests the decisions have
// looked at so far: what a decision costs, without a clock. Its growth with the size of the
// list can be tested where times can't.
func (b *Balancer) Work() uint64 { return b.work }

// countWork counts a walk over servers as work.
func (b *Balancer) countWork(servers []*server) { b.work += uint64(len(servers)) }

// tally keeps the classes' shares of requests and of those served in time.
func (b *Balancer) tally(of *class) {
	b.credit = 0
	aims, all := 0.0, 0.0
	for _, c := range b.classes {
		c.asked *= fade
		if c == of {
			c.asked += 1 - fade
			c.inTime -= c.inTime / classMemory
		}
		b.credit += c.asked * c.Credit
		aims += c.asked * c.AimMs
		all += c.asked
		if c.inTime < b.worst.inTime {
			b.worst = c
		}
	}
	b.meanAim = aims / all
}

// count keeps the tenants' shares of this agent's requests.
func (b *Balancer) count(tenant int) {
	if tenant < 0 || tenant >= len(b.usage) {
		return
	}
	for i := range b.usage {
		b.usage[i] *= fade
	}
	b.usage[tenant] += 1 - fade
}

// enter notes a server's new state and its time; tiers have changed.
func (b *Balancer) enter(s *server, to State) {
	if s.state > Unknown || to > Unknown {
		b.epoch++
	}
	if to > Unknown {
		b.ejected.add(s)
	} else {
		b.ejected.remove(s)
	}
	s.state, s.since = to, b.now
}

// learnHint keeps the straight line of answer time over hinted work: the network's
// share does not grow with the work.
func (b *Balancer) learnHint(r *request, rtt float64) {
	if r.hint <= 0 {
		return
	}
	b.hints++
	w := max(slowSmooth, 1/b.hints)
	dh, dt := r.hint-b.hintMean, rtt-b.hintTime
	b.hintMean += w * dh
	b.hintTime += w * dt
	b.hintVar += w * (dh*dh*(1-w) - b.hintVar)
	b.hintCov += w * (dh*dt*(1-w) - b.hintCov)
}

// tooMany tells whether more requests are held than the agent can bear: past the
// requests it may have open, clients would wait for a connection with nobody to answer.
func (b *Balancer) tooMany() bool {
	most := b.set.Limits.OpenCap
	return len(b.held) > maxHeld || len(b.held) > 0 && most > 0 && len(b.held)+b.inflight > most
}

// remember keeps when an unserved request first came, so that its retry is
// judged by the time that has passed for the client.
func (b *Balancer) remember(r *request) {
	b.unserved = slices.DeleteFunc(b.unserved, func(p unservedRequest) bool {
		return b.now-p.first > p.class.GiveUpMs
	})
	if len(b.unserved) < maxHeld {
		b.unserved = append(b.unserved, unservedRequest{r.class, r.key, r.first})
	}
}

// recall finds and forgets the unserved request that this one repeats.
func (b *Balancer) recall(r *request) (first float64, found bool) {
	i := slices.IndexFunc(b.unserved, func(p unservedRequest) bool { return p.class == r.class && p.key == r.key })
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

// noteAnswered keeps the share of attempts that went unanswered up to their aim, on servers that
// answered no later ones either.
func (b *Balancer) noteAnswered(a *attempt, st Status) {
	none := 0.0
	if st == Timeout || st == Cancelled {
		if b.now < a.r.aimAt {
			return // its client left early: that tells nothing
		}
		if a.s.heard <= a.sentAt {
			none = 1
		}
	}
	b.unanswered += failWeight * (none - b.unanswered)
}

// capacity is what the usable servers can do, in those of full capacity. Cold ones count in
// part beside warm ones: their credit bounds what they are sent, and the rest of an even share
// would be sent to the warm ones. Alone they count as servers.
func (b *Balancer) capacity() float64 {
	if b.capacityAt == b.now {
		return b.capacityNow
	}
	b.capacityNow, b.capacityAt = float64(b.ready), b.now
	if b.warmWeight() == 0 {
		return b.capacityNow
	}
	b.countWork(b.cold)
	for _, s := range b.cold {
		if s.usable {
			b.capacityNow -= 1 - b.ramp(s)
		}
	}
	return b.capacityNow
}

// warmWeight is the weight of the servers of the top tier that are not cold, counted
// anew only where a tier, the list or who is cold has changed.
func (b *Balancer) warmWeight() float64 {
	if b.warmAt == b.now && b.warmEpoch == b.epoch {
		return b.warm
	}
	b.warmUp()
	if b.warmEpoch == b.epoch && !b.warmStale {
		b.warmAt = b.now
		return b.warm
	}
	b.warm, b.warmAt, b.warmEpoch, b.warmStale = 0, b.now, b.epoch, false
	b.countWork(b.servers)
	for _, s := range b.servers {
		if s.usable && s.state <= Unknown && b.ramp(s) == 1 {
			b.warm += s.weight
		}
	}
	return b.warm
}

// coolDown notes that a server's start has changed: it may be cold.
func (b *Balancer) coolDown(s *server) {
	b.warmStale = true
	if !s.cold && s.startedAt > 0 {
		s.cold = true
		b.cold = append(b.cold, s)
	}
}

// warmUp takes those that are warm by now from the cold ones.
func (b *Balancer) warmUp() {
	b.countWork(b.cold)
	b.cold = slices.DeleteFunc(b.cold, func(s *server) bool {
		s.cold = b.ramp(s) != 1
		b.warmStale = b.warmStale || !s.cold
		return !s.cold
	})
}

// forget drops all that points to a server that is no longer listed, but the list itself.
func (b *Balancer) forget(s *server) {
	delete(b.byAddr, s.id)
	b.ejected.remove(s)
	b.busy.remove(s)
	if s.cold {
		b.cold = slices.DeleteFunc(b.cold, func(o *server) bool { return o == s })
	}
}

// ordered is a set of servers in the agent's own order.
type ordered []*server

func (o ordered) find(s *server) (int, bool) {
	return slices.BinarySearchFunc(o, s, func(x, y *server) int { return cmp.Compare(x.order, y.order) })
}

func (o *ordered) add(s *server) {
	if i, found := o.find(s); !found {
		*o = slices.Insert(*o, i, s)
	}
}

func (o *ordered) remove(s *server) {
	if i, found := o.find(s); found {
		*o = slices.Delete(*o, i, i+1)
	}
}

// medianFails is the middle one of the usable servers' shares of failures; of one or two
// servers it tells nothing.
func (b *Balancer) medianFails() float64 {
	b.shares = b.shares[:0]
	b.countWork(b.servers)
	for _, s := range b.servers {
		if s.usable {
			b.shares = append(b.shares, s.fails)
		}
	}
	if len(b.shares) < 3 {
		return 0
	}
	slices.Sort(b.shares)
	return b.shares[len(b.shares)/2]
}

// stepWeight moves a weight a step down or up within its bounds.
func stepWeight(w float64, down bool, least, most float64) float64 {
	if down {
		return max(w/(1+weighStep), least)
	}
	return min(w*(1+weighStep), most)
}

// finite makes what came from outside safe to calculate with: not a number and negative
// become 0, infinite and huge the largest number that leaves room for sums and squares.
func finite(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, 1e15)
}

// mean moves a running mean towards x; the first value is taken whole.
func mean(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}

func hashAddr(a Addr) uint64 {
	h := uint64(0)
	for _, x := range a {
		h = h<<8 | uint64(x)
	}
	return h
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ramp is the part of its capacity that a started server has by the contract.
func (b *Balancer) ramp(s *server) float64 {
	c := &b.set.Contract
	age := b.now - s.startedAt
	if s.startedAt <= 0 || age >= c.ColdMs || s.startedAt != s.listedAt && age > c.AskWithinMs {
		return 1 // long past, or assumed and not borne out by the list in its time
	}
	return c.ColdFrom + (1-c.ColdFrom)*max(age, 0)/c.ColdMs
}

// partOfAim is an answer time as a part of the aim. Where hints tell the work a costly
// request counts as one of mean work; a small one's time is mostly the network's.
func (b *Balancer) partOfAim(r *request, rtt float64) float64 {
	x := rtt / r.class.AimMs
	if r.hint > 0 {
		x *= min(b.meanHint/r.hint, 1)
	}
	return min(x, 2)
}

// hintedTime is what the line says for the request; 0 while little is known.
func (b *Balancer) hintedTime(r *request) float64 {
	if r.hint <= 0 || b.hints < 1/(4*slowSmooth) || b.hintVar <= 0 {
		return 0
	}
	return max(b.hintTime+b.hintCov/b.hintVar*(r.hint-b.hintMean), 0)
}
