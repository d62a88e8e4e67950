// This file holds the Balancer: its components and what each event leads to.

package policy

import (
	"math/rand/v2"
)

// Tokens of the timers that the Balancer sets.
const (
	timerTick, timerWatch = 1, 2
)

// minTickMs is the shortest time between two checks of what waits, in ms.
const minTickMs = 5.0

// environment holds what all components share: the settings, the source of randomness, and the time
// and the actions of the event in hand. Each component embeds a pointer to the Balancer's.
type environment struct {
	set     Settings
	rng     *rand.Rand // the only randomness; the order of its draws is part of the behaviour
	now     float64    // time of the event in hand, in ms
	actions []Action   // decided on for that event
	work    uint64     // see Balancer.Work
}

// do decides on an action.
func (env *environment) do(action Action) { env.actions = append(env.actions, action) }

// countWork counts a walk over endpoints as work.
func (env *environment) countWork(endpoints []*endpoint) { env.work += uint64(len(endpoints)) }

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	environment
	endpoints endpointSet
	queue     admissionQueue
	selector  selector
	retries   retryPolicy
	limiter   concurrencyLimiter
	subset    endpointSubset
	eligible  eligibility
	slowStart slowStart
	outliers  outlierDetector
	latency   latencyTracker
	classes   classStats
	quotas    quotaTracker
	watch     watchScheduler
	traffic   requestRate
	local     localFailureLimiter
	outcomes  OutcomeCounts
	ticking   bool // the timer of timerTick is set
}

// New returns the Balancer of one agent, or an error that names the setting that makes no sense.
// All its randomness comes from the seed.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{environment: environment{set: set, rng: rand.New(rand.NewPCG(seed, mix(seed)))}}
	b.connect()
	return b, nil
}

// connect makes the components, each after those that it asks.
func (b *Balancer) connect() {
	env := &b.environment
	b.endpoints = newEndpointSet(env)
	b.classes = newClassStats(env)
	b.quotas = newQuotaTracker(env)
	b.traffic = newRequestRate(env)
	b.latency = newLatencyTracker(env)
	b.watch = newWatchScheduler(env)
	b.slowStart = newSlowStart(env, &b.endpoints)
	b.limiter = newConcurrencyLimiter(env, &b.endpoints, &b.slowStart, &b.traffic, &b.latency, &b.classes)
	b.retries = newRetryPolicy(env, &b.endpoints)
	b.queue = newAdmissionQueue(env, &b.classes, &b.quotas, &b.latency)
	b.subset = newEndpointSubset(env, &b.endpoints, &b.traffic)
	b.eligible = newEligibility(env, &b.classes, &b.slowStart, &b.limiter, &b.latency, &b.retries)
	b.selector = newSelector(env, &b.endpoints, &b.subset, &b.eligible, &b.slowStart, &b.latency)
	b.outliers = newOutlierDetector(env, &b.endpoints, &b.subset, &b.classes, &b.watch)
	b.local = newLocalFailureLimiter(env, &b.endpoints, &b.outliers)
}

// Start returns the first actions of a new agent at the time nowMs, appended to out.
func (b *Balancer) Start(nowMs float64, out []Action) []Action {
	b.now, b.actions = nowMs, out
	b.traffic.start()
	b.slowStart.start()
	b.watch.start()
	return b.actions
}

// Handle takes one event at the time nowMs and appends the actions it calls for to out.
// Events for what is finished or unknown are ignored.
func (b *Balancer) Handle(nowMs float64, event Event, out []Action) []Action {
	b.now, b.actions = nowMs, out
	switch event := event.(type) {
	case *RequestArrived:
		b.onRequestArrived(event)
	case *AttemptEnded:
		b.onAttemptEnded(event)
	case *ResponseStarted:
		b.onResponseStarted(event)
	case *ClientDisconnected:
		b.onClientDisconnected(event)
	case *EndpointsUpdated:
		b.onEndpointsUpdated(event)
	case *DiscoveryFailed:
		b.watch.onFailed()
	case *WatchEnded:
		b.watch.onEnded()
	case *HealthCheckEnded:
		b.onHealthCheckEnded(event)
	case *TimerFired:
		b.onTimerFired(event)
	}
	b.dispatch()
	b.setTick()
	return b.actions
}

// Decided returns the actions that the latest call of Handle has decided on so far: after a panic
// in it they have to be carried out, as the Balancer counts on them.
func (b *Balancer) Decided() []Action { return b.actions }

// setTick keeps one timer running while requests wait or attempts are in flight.
func (b *Balancer) setTick() {
	if !b.ticking && (len(b.queue.queued) > 0 || b.limiter.inFlight > 0) {
		b.ticking = true
		b.do(SetTimer(max(2*b.set.RoundMs, minTickMs), timerTick))
	}
}

// onTimerFired does what a timer of the token was set for.
func (b *Balancer) onTimerFired(event *TimerFired) {
	switch event.Token {
	case timerWatch:
		b.watch.openWatch()
	case timerTick:
		b.ticking = false
		b.ejectSilent()
		b.cancelLate()
		b.expire()
	}
}

// Work returns how many listed endpoints, entries of lists and queued requests the decisions have
// looked at so far: what a decision costs, without a clock. Its growth with the size of the
// list can be tested where times can't.
func (b *Balancer) Work() uint64 { return b.work }
