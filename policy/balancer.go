// This file holds the Balancer: it creates the components and dispatches events to them.

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
// and the actions of the current event. Each component embeds a pointer to the Balancer's
// environment.
type environment struct {
	settings Settings
	rng      *rand.Rand // the only source of randomness; another order of draws changes decisions
	now      float64    // time of the current event, in ms
	actions  []Action   // decided on for the current event
	work     uint64     // see Balancer.Work
}

// emit appends an action to those of the current event.
func (env *environment) emit(action Action) { env.actions = append(env.actions, action) }

// countWork adds an iteration over the endpoints to the work counter.
func (env *environment) countWork(endpoints []*endpoint) { env.work += uint64(len(endpoints)) }

// Balancer makes the load-balancing decisions of one agent. It is not safe for concurrent use.
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
	localFailure localFailureLimiter
	outcomes     OutcomeCounts
	tickPending  bool // a timer with the token timerTick is running
}

// New returns the Balancer of one agent, or an error that names the first invalid setting. The seed
// determines all random decisions.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{environment: environment{settings: settings,
		rng: rand.New(rand.NewPCG(seed, splitmix64(seed)))}}
	b.initComponents()
	return b, nil
}

// initComponents creates the components, each after the components that it depends on.
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
	b.localFailure = newLocalFailureLimiter(env, &b.endpoints, &b.outliers)
}

// Start starts the agent at the time nowMs and appends its first actions to out. It is called once,
// before Handle.
func (b *Balancer) Start(nowMs float64, out []Action) []Action {
	b.now, b.actions = nowMs, out
	b.requestRate.start()
	b.slowStart.start()
	b.watch.start()
	return b.actions
}

// Handle processes one event at the time nowMs and appends the resulting actions to out. It ignores
// events about finished or unknown requests, attempts and endpoints.
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

// scheduleTick keeps one timer with the token timerTick running while requests are queued or attempts
// are in flight. Its delay is two event rounds, but at least minTickMs.
func (b *Balancer) scheduleTick() {
	if !b.tickPending && (len(b.queue.queued) > 0 || b.limiter.inFlight > 0) {
		b.tickPending = true
		b.emit(SetTimer(max(2*b.settings.RoundMs, minTickMs), timerTick))
	}
}

// onTimerFired runs the task of the timer that fired.
func (b *Balancer) onTimerFired(event *TimerFired) {
	switch event.Token {
	case timerWatch:
		b.watch.openWatch()
	case timerTick:
		b.tickPending = false
		b.ejectSilent()
		b.cancelLate()
		b.expireQueued()
	}
}

// Work returns how many endpoints, endpoint list entries and queued requests the decisions have
// visited so far. It measures the cost of decisions without a clock: a test can check how it grows
// with the size of the list, which measured times are too noisy for.
func (b *Balancer) Work() uint64 { return b.work }
