// This file holds the Balancer: its components and what each event leads to.

package policy

import (
	"math/rand/v2"
)

// Tokens of the Balancer's timers. timerTick runs the periodic check of queued requests and of
// attempts in flight, timerWatch starts the next watch or fetch of the endpoint list.
const (
	timerTick, timerWatch = 1, 2
)

// minTickMs is the minimum delay of timerTick, in ms.
const minTickMs = 5.0

// environment holds what all components share: the settings, the source of randomness, and the time
// and the actions of the event in hand. Each component embeds a pointer to the Balancer's.
type environment struct {
	settings Settings
	rng      *rand.Rand // the only randomness; the order of its draws is part of the behaviour
	now      float64    // time of the event in hand, in ms
	actions  []Action   // decided on for that event
	work     uint64     // see Balancer.Work
}

// do decides on an action.
func (env *environment) emit(action Action) { env.actions = append(env.actions, action) }

// countWork counts a walk over endpoints as work.
func (env *environment) countWork(endpoints []*endpoint) { env.work += uint64(len(endpoints)) }

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	environment
	endpoints    endpointSet
	queue        admissionQueue
	selector     selector
	retries      retryPolicy
	limiter      concurrencyLimiter
	subset       endpointSubset
	eligibility  eligibility
	slowStart    slowStart
	outliers     outlierDetector
	latency      latencyTracker
	classes      classStats
	quotas       quotaTracker
	watch        watchScheduler
	requestRate  requestRate
	localFailure localFailure
	outcomes     OutcomeCounts
	tickPending  bool // the timer of timerTick is set
}

// New returns the Balancer of one agent, or an error that names the setting that makes no sense.
// All its randomness comes from the seed.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{environment: environment{settings: set,
		rng: rand.New(rand.NewPCG(seed, splitmix64(seed)))}}
	b.initComponents()
	return b, nil
}

// connect makes the components, each after those that it asks.
func (b *Balancer) initComponents() {
	env := &b.environment
	b.endpoints = newEndpointSet(env)
	b.classes = newClassStats(env)
	b.quotas = newQuotaTracker(env)
	b.requestRate = newRequestRate(env)
	b.latency = newLatencyTracker(env)
	b.watch = newWatchScheduler(env)
	b.slowStart = newSlowStart(env, &b.endpoints)
	b.limiter = newConcurrencyLimiter(env, &b.endpoints, &b.slowStart, &b.requestRate, &b.latency, &b.classes)
	b.retries = newRetryPolicy(env, &b.endpoints)
	b.queue = newAdmissionQueue(env, &b.classes, &b.quotas, &b.latency)
	b.subset = newEndpointSubset(env, &b.endpoints, &b.requestRate)
	b.eligibility = newEligibility(env, &b.classes, &b.slowStart, &b.limiter, &b.latency, &b.retries)
	b.selector = newSelector(env, &b.endpoints, &b.subset, &b.eligibility, &b.slowStart, &b.latency)
	b.outliers = newOutlierDetector(env, &b.endpoints, &b.subset, &b.classes, &b.watch)
	b.localFailure = newLocalFailure(env, &b.endpoints, &b.outliers)
}

// Start returns the first actions of a new agent at the time nowMs, appended to out.
func (b *Balancer) Start(nowMs float64, out []Action) []Action {
	b.now, b.actions = nowMs, out
	b.requestRate.start()
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
	b.scheduleTick()
	return b.actions
}

// Actions returns the actions that the latest call of Handle has decided on so far. After a panic in
// that call the caller must carry them out: the Balancer's state already includes them.
func (b *Balancer) Actions() []Action { return b.actions }

// setTick keeps one timer running while requests wait or attempts are in flight.
func (b *Balancer) scheduleTick() {
	if !b.tickPending && (len(b.queue.queued) > 0 || b.limiter.inFlight > 0) {
		b.tickPending = true
		b.emit(SetTimer(max(2*b.settings.RoundMs, minTickMs), timerTick))
	}
}

// onTimerFired does what a timer of the token was set for.
func (b *Balancer) onTimerFired(event *TimerFired) {
	switch event.Token {
	case timerWatch:
		b.watch.begin()
	case timerTick:
		b.tickPending = false
		b.ejectSilent()
		b.cancelLate()
		b.expireQueued()
	}
}

// Work returns how many listed endpoints, entries of lists and queued requests the decisions have
// looked at so far: what a decision costs, without a clock. Its growth with the size of the
// list can be tested where times can't.
func (b *Balancer) Work() uint64 { return b.work }
