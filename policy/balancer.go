// This file holds the Balancer: its state, and what each event leads to.

package policy

import (
	"math"
	"math/rand/v2"
)

const (
	tickToken, followToken = 1, 2
)

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	set         Settings
	rng         *rand.Rand
	now         float64
	out         []Action
	servers     endpointSet
	ejected     endpointSet // those of them in a state after Unknown
	busy        endpointSet // with attempts out
	cold        []*endpoint // that may not have their whole capacity yet
	byAddr      map[Addr]*endpoint
	requests    map[RequestID]*request
	held        []*request
	tier        []*endpoint // scratch of pick
	shares      []float64   // scratch of common
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
	local       localFailure
}

// New returns the balancer of one agent, or an error that names the setting
// that makes no sense. All its randomness comes from the seed.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, mix(seed))), byAddr: map[Addr]*endpoint{},
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
	case EventRequest:
		b.onRequest(ev)
	case EventOutcome:
		b.onOutcome(ev)
	case EventResponseStarted:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			r.started = true
			if a := r.attempt(ev.Attempt); a != nil {
				a.s.heard = now
			}
		}
	case EventClientGone:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			b.remember(r)
			b.close(r)
		}
	case EventEndpointList:
		b.onList(ev)
	case EventHealthChecked:
		b.onProbed(ev)
	case EventTimer:
		b.onTimer(ev.Token)
	}
	b.dispatch()
	b.arm()
	return b.out
}

// Decided gives the actions that the latest call of Handle has decided on so far: after a panic
// in it they have to be carried out, as the Balancer counts on them.
func (b *Balancer) Decided() []Action { return b.out }

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

// arm keeps one timer running while there is something to watch.
func (b *Balancer) arm() {
	if !b.ticking && (len(b.held) > 0 || b.inflight > 0) {
		b.ticking = true
		b.do(Action{Kind: ActionTimer, DelayMs: max(2*b.set.RoundMs, 5), Token: tickToken})
	}
}

func (b *Balancer) onTimer(token uint32) {
	switch token {
	case followToken:
		b.askedAt = b.now
		b.do(Action{Kind: ActionWatch})
	case tickToken:
		b.ticking = false
		b.ejectSilent()
		b.callOffLate()
		b.expire()
	}
}

// Work is how many listed servers, entries of lists and held requests the decisions have
// looked at so far: what a decision costs, without a clock. Its growth with the size of the
// list can be tested where times can't.
func (b *Balancer) Work() uint64 { return b.work }

// countWork counts a walk over servers as work.
func (b *Balancer) countWork(servers []*endpoint) { b.work += uint64(len(servers)) }
