package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"ploverreel/policy"
)

// inKind tells what happened.
type inputKind uint8

// What may come in to the loop.
const (
	inputRequest       inputKind = iota // req
	inputClientGone                     // req: its handler answers or waits no longer
	inputOutcome                        // att, res
	inputTimer                          // token
	inputFetched                        // list or err, gen
	inputWatchEvent                     // list, gen
	inputWatchEnded                     // err, lost, gen
	inputReload                         // conf, done
	inputReadyWaitOver                  // the agent is ready, whether or not it knows a backend
	inputTraceStart                     // every, done: log the module's state from now on
	inputTraceDue                       // the next line of that
)

// readyWithin is how long after its start an agent that knows no backend waits for discovery
// before it is ready all the same. One that never is has its application send nothing at all
// for as long as discovery is down; one that is ready holds the requests for the list as long
// as they may wait, and tells those that it refuses when to come back. Restarted agents have
// to be ready within 6 s where little time is left, and 10 s in general.
const readyWithin = 5 * time.Second

// input is one thing that happened, on its way to the loop.
type input struct {
	kind             inputKind
	request          *request
	attempt          *attempt
	result           result
	token            uint32
	list             List
	err              error
	endedAfterNotice bool // the watch had lived before it ended
	discoveryGen     int  // of the discovery that was asked
	config           *Config
	done             chan error // room for the one that is sent
	every            time.Duration
}

// loop owns the Balancer: one goroutine hands it what happens, in order, and
// carries out what it decides. Nothing in it blocks.
type loop struct {
	balancer       *policy.Balancer
	config         *Config // in force
	log            *slog.Logger
	inputs         chan input
	followUps      []input // what the loop itself gave rise to, to be handled next
	clock          moduleClock
	startTimes     *startTimes
	pool           *pool
	discovery      *discovery
	decidedAt      time.Time // before the module's clock was read for the event at hand: its spans count from then
	requests       map[policy.RequestID]*request
	backends       map[policy.Addr]*backend
	nextID         policy.RequestID
	seenIDs        *seenIDs
	listVersion    int64 // version of the list at hand; 0 after a change of discovery
	watching       bool
	fetching       bool
	actions        []policy.Action
	hasEndpoint    atomic.Bool                             // a backend can be sent to, or none was known for long enough
	readyWaitOver  bool                                    // readyWithin is over
	after          func(time.Duration, func()) *time.Timer // time.AfterFunc, but for tests
	ctx            context.Context
	onEndpointList func(seq int64, whole bool) // told of each list in force; may be nil
	tracer         *tracer                     // nil: off
}

func newLoop(ctx context.Context, c *Config, log *slog.Logger) (*loop, error) {
	set := c.module()
	first := firstWordTimeout
	if set.Membership == policy.MembershipWatched {
		first = localFirstWordTimeout
	}
	bal, err := policy.New(set, c.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{balancer: bal, config: c, log: log, ctx: ctx,
		// Room for all that can be under way at once: a handler must not wait here
		// while its guard is not yet set.
		inputs: make(chan input, 4*c.Limits.Sockets), clock: newModuleClock(c.clock), startTimes: newStartTimes(),
		requests: map[policy.RequestID]*request{}, backends: map[policy.Addr]*backend{}, after: time.AfterFunc,
		pool: newPool((&net.Dialer{KeepAlive: -1}).DialContext, 0, 0, 0), seenIDs: newSeenIDs(0)}
	l.applyLimits()
	l.discovery = newDiscovery(ctx, c.Discovery, 0, l.post)
	l.discovery.firstWordTimeout = first
	l.actions = l.balancer.Start(l.nowMs(), l.actions[:0])
	l.perform()
	l.applyEndpointList(policy.ListCached, &c.Known)
	return l, nil
}

// bound takes the bounds of connections and memory from the configuration in force.
func (l *loop) applyLimits() {
	limits := &l.config.Settings.Limits
	connect := millis(limits.ConnectTimeoutMs)
	if connect <= 0 {
		connect = time.Second
	}
	// An answer within its aim is worth no less for a rest of some milliseconds: where the
	// settings price connections, it costs less to wait.
	prices := &l.config.Settings.Prices
	l.pool.configure(connect, millis(limits.KeepaliveMs/2), backendSockets(l.config.Limits.Sockets),
		prices.Handshake == 0 && prices.Connection == 0)
	l.seenIDs.keep = max(l.seenIDs.keep, l.config.maxDeadline()+time.Second) // longer than any request is open
	l.startTimes.tolerance = l.config.Settings.Contract.StartToleranceMs()
}

func millis(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// post hands the loop something that happened. It waits while the queue is full and
// returns at once when the loop has ended.
func (l *loop) post(in input) {
	select {
	case l.inputs <- in:
	case <-l.ctx.Done():
	}
}

// run handles what comes in until the context ends.
func (l *loop) run() {
	l.after(readyWithin, func() { l.post(input{kind: inputReadyWaitOver}) })
	for {
		select {
		case in := <-l.inputs:
			l.handle(in)
			for len(l.followUps) > 0 {
				in, l.followUps = l.followUps[0], l.followUps[1:]
				l.handle(in)
			}
		case <-l.ctx.Done():
			return
		}
	}
}

// handle takes one input. A panic costs the request at hand its decision, and its
// guard answers it: one bad event must not take down all that the agent holds.
func (l *loop) handle(in input) {
	defer l.recovered("input", int(in.kind))
	switch in.kind {
	case inputRequest:
		l.onRequest(in.request)
	case inputClientGone:
		if r := in.request; r.id != 0 && !r.answered {
			l.close(r)
			l.notify(&policy.Event{Kind: policy.EventClientGone, Request: r.id})
			l.forget(r)
		}
	case inputOutcome:
		l.onOutcome(in.attempt, &in.result)
	case inputTimer:
		l.notify(&policy.Event{Kind: policy.EventTimer, Token: in.token})
	case inputReload:
		in.done <- l.reload(in.config)
	case inputTraceStart:
		in.done <- l.startTrace(in.every)
	case inputTraceDue:
		l.trace()
	case inputReadyWaitOver:
		l.readyWaitOver = true
		if !l.hasEndpoint.Swap(true) {
			l.log.Warn("ready though no backend is known", "after", readyWithin)
		}
	case inputFetched, inputWatchEvent, inputWatchEnded:
		if in.discoveryGen == l.discovery.generation { // else of a discovery that is asked no more
			l.onDiscovery(&in)
		}
	}
}

// reload puts another configuration in force, all or nothing. Who asked for it waits for the
// result, so a panic is one.
func (l *loop) reload(c *Config) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	if err := l.config.Names.keeps(&c.Names); err != nil {
		return err
	}
	if err := l.balancer.Reconfigure(c.module()); err != nil {
		return err
	}
	l.config = c
	l.applyLimits()
	l.switchDiscovery(c.Discovery)
	return nil
}

// tell hands the module one event and carries out what it decides.
func (l *loop) notify(ev *policy.Event) {
	l.decidedAt = time.Now()
	l.actions = l.decide(l.nowMs(), ev)
	l.perform()
}

// decide hands the module one event. What it had decided before a panic counts: it waits for
// the ends of those attempts.
func (l *loop) decide(now float64, ev *policy.Event) (actions []policy.Action) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic in the module", "event", ev.Kind, "panic", p, "stack", string(debug.Stack()))
			actions = l.balancer.Decided()
		}
	}()
	return l.balancer.Handle(now, ev, l.actions[:0])
}

// act carries out the module's actions in their order.
func (l *loop) perform() {
	for i := range l.actions {
		l.carryOut(&l.actions[i])
	}
}

// carryOut carries out one action. A panic costs that action alone: those behind it belong to
// other requests, and the module counts on them.
func (l *loop) carryOut(act *policy.Action) {
	defer l.recovered("action", int(act.Kind))
	r := l.requests[act.Request]
	switch act.Kind {
	case policy.ActionSend:
		if r != nil {
			l.send(r, act)
		}
	case policy.ActionCancel:
		if r != nil && act.Attempt >= 0 && act.Attempt < len(r.attempts) {
			if a := r.attempts[act.Attempt]; a != nil {
				a.withdraw() // else its first byte could still cross this
				a.cancel(errCancelled)
			}
		}
	case policy.ActionReject:
		if r != nil {
			l.answer(r, response{status: policy.StatusRejected, retryAfter: millis(act.DelayMs)})
			l.forget(r)
		}
	case policy.ActionFail:
		if r != nil {
			l.answer(r, response{status: policy.StatusServerError})
			l.forget(r)
		}
	case policy.ActionTimer:
		token := act.Token
		time.AfterFunc(millis(act.DelayMs), func() { l.post(input{kind: inputTimer, token: token}) })
	case policy.ActionWatch:
		if !l.watching {
			l.watching = true
			go l.discovery.watch(l.listVersion, false)
		}
	case policy.ActionFetch:
		if !l.fetching {
			l.fetching = true
			go l.discovery.fetch(false)
		}
	case policy.ActionCloseIdle:
		if b := l.backends[act.Server]; b != nil {
			b.conns.closeIdle()
		}
	case policy.ActionLog:
		l.log.Info(act.Text)
	}
}

// recovered logs a panic, if there is one, and lets the loop go on. It is to be deferred.
func (l *loop) recovered(what string, kind int) {
	if p := recover(); p != nil {
		l.log.Error("panic in the loop", what, kind, "panic", p, "stack", string(debug.Stack()))
	}
}
