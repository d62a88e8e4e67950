// This file holds the Balancer: its state, and what each event leads to.

package policy

import (
	"math"
	"math/rand/v2"
)

const (
	timerTick, timerWatch = 1, 2
)

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	set       Settings
	rng       *rand.Rand // only source of randomness; the order of its draws is part of the behaviour
	now       float64    // time of the event in hand, in ms
	actions   []Action   // decided on for that event
	ticking   bool       // the timer of timerTick is running
	queue     admissionQueue
	endpoints endpointSet
	selector  selector
	slowStart slowStart
	limiter   concurrencyLimiter
	outliers  outlierDetector
	latency   latencyTracker
	classes   classStats
	quotas    quotaTracker
	retries   retryBudget
	watch     watchScheduler
	traffic   requestRate
	local     localFailure
	stats     decisionStats
}

// decisionStats counts for diagnostics; nothing is decided by it.
type decisionStats struct {
	work     uint64 // see Balancer.Work
	outcomes OutcomeCounts
}

// New returns the balancer of one agent, or an error that names the setting
// that makes no sense. All its randomness comes from the seed.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, mix(seed)))}
	b.endpoints.byAddr = map[Addr]*endpoint{}
	b.queue.open = map[RequestID]*request{}
	b.selector = newSelector()
	b.quotas.usage = make([]float64, len(set.Tenants))
	b.retries.tokens = retryBurst
	b.limiter.scale = 1
	b.watch.fetchedAt = math.Inf(-1)
	b.setClasses()
	return b, nil
}

// Start gives the first actions of a new agent and appends them to out.
func (b *Balancer) Start(now float64, out []Action) []Action {
	b.now, b.actions, b.traffic.startedAt, b.traffic.recentAt, b.slowStart.flowAt, b.watch.startedAt = now, out, now, now, now, now
	b.startWatch()
	return b.actions
}

// Handle takes one event and appends the actions it calls for to out. Events
// for what is finished or unknown are ignored.
func (b *Balancer) Handle(now float64, ev *Event, out []Action) []Action {
	b.now, b.actions = now, out
	switch ev.Kind {
	case EventRequest:
		b.onRequest(ev)
	case EventOutcome:
		b.onOutcome(ev)
	case EventResponseStarted:
		if r := b.queue.open[ev.Request]; r != nil && !r.closed {
			r.started = true
			if a := r.attempt(ev.Attempt); a != nil {
				a.target.traffic.heardAt = now
			}
		}
	case EventClientGone:
		if r := b.queue.open[ev.Request]; r != nil && !r.closed {
			b.remember(r)
			b.close(r)
		}
	case EventEndpointList:
		b.onList(ev)
	case EventHealthChecked:
		b.onHealthChecked(ev)
	case EventTimer:
		b.onTimer(ev.Token)
	}
	b.dispatch()
	b.arm()
	return b.actions
}

// Decided gives the actions that the latest call of Handle has decided on so far: after a panic
// in it they have to be carried out, as the Balancer counts on them.
func (b *Balancer) Decided() []Action { return b.actions }

func (b *Balancer) do(a Action) { b.actions = append(b.actions, a) }

// arm keeps one timer running while there is something to watch.
func (b *Balancer) arm() {
	if !b.ticking && (len(b.queue.queued) > 0 || b.limiter.inFlight > 0) {
		b.ticking = true
		b.do(Action{Kind: ActionTimer, DelayMs: max(2*b.set.RoundMs, 5), Token: timerTick})
	}
}

func (b *Balancer) onTimer(token uint32) {
	switch token {
	case timerWatch:
		b.watch.startedAt = b.now
		b.do(Action{Kind: ActionWatch})
	case timerTick:
		b.ticking = false
		b.ejectSilent()
		b.cancelLate()
		b.expire()
	}
}

// Work is how many listed servers, entries of lists and held requests the decisions have
// looked at so far: what a decision costs, without a clock. Its growth with the size of the
// list can be tested where times can't.
func (b *Balancer) Work() uint64 { return b.stats.work }

// countWork counts a walk over servers as work.
func (b *Balancer) countWork(servers []*endpoint) { b.stats.work += uint64(len(servers)) }
