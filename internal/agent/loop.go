package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"molepaddle/policy"
)

// inKind tells what happened.
type inKind uint8

// What may come in to the loop.
const (
	inRequest    inKind = iota // req
	inDropped                  // req: its handler answers or waits no longer
	inOutcome                  // att, res
	inTimer                    // token
	inFetched                  // list or err, gen
	inWatched                  // list, gen
	inWatchEnded               // err, lost, gen
	inReload                   // conf, done
	inWaited                   // the agent is ready, whether or not it knows a backend
	inTrace                    // every, done: log the module's state from now on
	inTraceDue                 // the next line of that
)

// readyWithin is how long after its start an agent that knows no backend waits for discovery
// before it is ready all the same. One that never is has its application send nothing at all
// for as long as discovery is down; one that is ready holds the requests for the list as long
// as they may wait, and tells those that it refuses when to come back. Restarted agents have
// to be ready within 6 s where little time is left, and 10 s in general.
const readyWithin = 5 * time.Second

// input is one thing that happened, on its way to the loop.
type input struct {
	kind  inKind
	req   *request
	att   *attempt
	res   result
	token uint32
	list  List
	err   error
	lost  bool // the watch had lived before it ended
	gen   int  // of the discovery that was asked
	conf  *Config
	done  chan error // room for the one that is sent
	every time.Duration
}

// loop owns the Balancer: one goroutine hands it what happens, in order, and
// carries out what it decides. Nothing in it blocks.
type loop struct {
	bal      *policy.Balancer
	conf     *Config // in force
	log      *slog.Logger
	in       chan input
	todo     []input // what the loop itself gave rise to, to be handled next
	time     moduleClock
	starts   *startTimes
	pool     *pool
	disc     *discovery
	decided  time.Time // before the module's clock was read for the event at hand: its spans count from then
	requests map[policy.RequestID]*request
	backends map[policy.Addr]*backend
	nextID   policy.RequestID
	ids      *idMemory
	seq      int64 // version of the list at hand; 0 after a change of discovery
	watching bool
	fetching bool
	actions  []policy.Action
	ready    atomic.Bool                             // a backend can be sent to, or none was known for long enough
	waited   bool                                    // readyWithin is over
	after    func(time.Duration, func()) *time.Timer // time.AfterFunc, but for tests
	ctx      context.Context
	learned  func(seq int64, whole bool) // told of each list in force; may be nil
	tracer   *tracer                     // nil: off
}

func newLoop(ctx context.Context, c *Config, log *slog.Logger) (*loop, error) {
	set := c.module()
	first := callFirst
	if set.Membership == policy.Watched {
		first = localFirst
	}
	bal, err := policy.New(set, c.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{bal: bal, conf: c, log: log, ctx: ctx,
		// Room for all that can be under way at once: a handler must not wait here
		// while its guard is not yet set.
		in: make(chan input, 4*c.Limits.Sockets), time: newModuleClock(c.clock), starts: newStartTimes(),
		requests: map[policy.RequestID]*request{}, backends: map[policy.Addr]*backend{}, after: time.AfterFunc,
		pool: newPool((&net.Dialer{KeepAlive: -1}).DialContext, 0, 0, 0), ids: newIDMemory(0)}
	l.bound()
	l.disc = newDiscovery(ctx, c.Discovery, 0, l.post)
	l.disc.first = first
	l.actions = l.bal.Start(l.clock(), l.actions[:0])
	l.act()
	l.learn(policy.ListCached, &c.Known)
	return l, nil
}

// bound takes the bounds of connections and memory from the configuration in force.
func (l *loop) bound() {
	limits := &l.conf.Settings.Limits
	connect := ms(limits.ConnectTimeoutMs)
	if connect <= 0 {
		connect = time.Second
	}
	// An answer within its aim is worth no less for a rest of some milliseconds: where the
	// settings price connections, it costs less to wait.
	prices := &l.conf.Settings.Prices
	l.pool.configure(connect, ms(limits.KeepaliveMs/2), backendSockets(l.conf.Limits.Sockets),
		prices.Handshake == 0 && prices.Connection == 0)
	l.ids.keep = max(l.ids.keep, l.conf.longest()+time.Second) // longer than any request is open
	l.starts.tolerance = l.conf.Settings.Contract.StartToleranceMs()
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// post hands the loop something that happened. It waits while the queue is full and
// returns at once when the loop has ended.
func (l *loop) post(in input) {
	select {
	case l.in <- in:
	case <-l.ctx.Done():
	}
}

// run handles what comes in until the context ends.
func (l *loop) run() {
	l.after(readyWithin, func() { l.post(input{kind: inWaited}) })
	for {
		select {
		case in := <-l.in:
			l.handle(in)
			for len(l.todo) > 0 {
				in, l.todo = l.todo[0], l.todo[1:]
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
	case inRequest:
		l.onRequest(in.req)
	case inDropped:
		if r := in.req; r.id != 0 && !r.answered {
			l.close(r)
			l.tell(&policy.Event{Kind: policy.EvDropped, Request: r.id})
			l.forget(r)
		}
	case inOutcome:
		l.onOutcome(in.att, &in.res)
	case inTimer:
		l.tell(&policy.Event{Kind: policy.EvTimer, Token: in.token})
	case inReload:
		in.done <- l.reload(in.conf)
	case inTrace:
		in.done <- l.startTrace(in.every)
	case inTraceDue:
		l.trace()
	case inWaited:
		l.waited = true
		if !l.ready.Swap(true) {
			l.log.Warn("ready though no backend is known", "after", readyWithin)
		}
	case inFetched, inWatched, inWatchEnded:
		if in.gen == l.disc.gen { // else of a discovery that is asked no more
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
	if err := l.conf.Names.keeps(&c.Names); err != nil {
		return err
	}
	if err := l.bal.Reconfigure(c.module()); err != nil {
		return err
	}
	l.conf = c
	l.bound()
	l.turn(c.Discovery)
	return nil
}

// tell hands the module one event and carries out what it decides.
func (l *loop) tell(ev *policy.Event) {
	l.decided = time.Now()
	l.actions = l.decide(l.clock(), ev)
	l.act()
}

// decide hands the module one event. What it had decided before a panic counts: it waits for
// the ends of those attempts.
func (l *loop) decide(now float64, ev *policy.Event) (actions []policy.Action) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic in the module", "event", ev.Kind, "panic", p, "stack", string(debug.Stack()))
			actions = l.bal.Decided()
		}
	}()
	return l.bal.Handle(now, ev, l.actions[:0])
}

// act carries out the module's actions in their order.
func (l *loop) act() {
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
	case policy.ActSend:
		if r != nil {
			l.send(r, act)
		}
	case policy.ActCancel:
		if r != nil && act.Attempt >= 0 && act.Attempt < len(r.attempts) {
			if a := r.attempts[act.Attempt]; a != nil {
				a.withdraw() // else its first byte could still cross this
				a.cancel(errCancelled)
			}
		}
	case policy.ActRefuse:
		if r != nil {
			l.answer(r, answer{status: policy.Full, retryAfter: ms(act.Ms)})
			l.forget(r)
		}
	case policy.ActFail:
		if r != nil {
			l.answer(r, answer{status: policy.Error})
			l.forget(r)
		}
	case policy.ActTimer:
		token := act.Token
		time.AfterFunc(ms(act.Ms), func() { l.post(input{kind: inTimer, token: token}) })
	case policy.ActFollow:
		if !l.watching {
			l.watching = true
			go l.disc.watch(l.seq, false)
		}
	case policy.ActFetch:
		if !l.fetching {
			l.fetching = true
			go l.disc.fetch(false)
		}
	case policy.ActClose:
		if b := l.backends[act.Server]; b != nil {
			b.group.closeIdle()
		}
	case policy.ActLog:
		l.log.Info(act.Text)
	}
}

// recovered logs a panic, if there is one, and lets the loop go on. It is to be deferred.
func (l *loop) recovered(what string, kind int) {
	if p := recover(); p != nil {
		l.log.Error("panic in the loop", what, kind, "panic", p, "stack", string(debug.Stack()))
	}
}
