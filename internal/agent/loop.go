package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/internal/discovery"
	"ploverreel/internal/fielderror"
	"ploverreel/policy"
)

// readyWithin is how long after its start an agent that knows no backend waits for discovery
// before it is ready all the same. To one that isn't, its application sends nothing at all for as
// long as discovery is down; one that is queues the requests for as long as they may wait for a
// list, and rejects the others with a Retry-After. Restarted agents have to be ready within 6 s
// where little time is left, and 10 s in general.
const readyWithin = 5 * time.Second

// loop owns the Balancer: one goroutine, that of run, hands it what happens, in order, and
// carries out what it decides. Nothing in it blocks, and its fields belong to that goroutine but
// for inputs, ctx and ready.hasEndpoint, which any may use.
//
// The loop starts a goroutine for each attempt and each call to discovery. All of them, and run,
// end with ctx, which belongs to whoever made the loop: Agent.stop ends that of an agent.
type loop struct {
	// The module, and what it is given and gives.
	balancer  *policy.Balancer
	config    *config.Config // in force
	clock     moduleClock
	decidedAt time.Time       // before the module's clock was read for the event at hand: its spans count from then
	actions   []policy.Action // decided for the event at hand; reused

	// What comes in.
	ctx       context.Context
	inputs    chan input
	followUps []input                                 // what the loop itself gave rise to, to be handled next
	after     func(time.Duration, func()) *time.Timer // time.AfterFunc, but for tests

	// Open requests and the backends that they go to.
	requests map[policy.RequestID]*request
	nextID   policy.RequestID
	seenIDs  *seenIDs
	backends map[policy.Addr]*listedBackend
	pool     *backend.Pool

	watch watchState
	ready readyState

	log    *slog.Logger
	tracer *tracer // nil: off
}

// watchState is what the loop knows of discovery and of the endpoint list in force.
type watchState struct {
	discovery   *discovery.Client // the one that is called now
	generation  int               // number of discoveries before it, which tells its results from theirs
	watching    bool              // a watch is open or being opened
	fetching    bool              // a fetch is under way
	listVersion int64             // version of the list in force; 0 after a change of discovery
	startTimes  *startTimes
	onApplied   func(seq int64, whole bool) // is notified of each list in force; may be nil
}

// isCurrent reports whether the discovery of this generation is the one that is called now.
func (w *watchState) isCurrent(generation int) bool { return generation == w.generation }

// readyState is what /ready answers by.
type readyState struct {
	hasEndpoint atomic.Bool // a backend can be sent to, or none was known for readyWithin
	waitOver    bool        // readyWithin is over
}

// newLoop makes a loop, whose module knows the list of the configuration. Its error is that of a
// configuration that the module doesn't take.
func newLoop(ctx context.Context, conf *config.Config, log *slog.Logger) (*loop, error) {
	settings := conf.ModuleSettings()
	balancer, err := policy.New(settings, conf.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{
		balancer: balancer,
		config:   conf,
		clock:    newModuleClock(conf.Clock),
		ctx:      ctx,
		// Room for all that can be under way at once: a handler must not wait here before the
		// timer that answers for the loop is set.
		inputs:   make(chan input, 4*conf.Limits.Sockets),
		after:    time.AfterFunc,
		requests: map[policy.RequestID]*request{},
		seenIDs:  newSeenIDs(0),
		backends: map[policy.Addr]*listedBackend{},
		pool:     backend.NewPool((&net.Dialer{KeepAlive: -1}).DialContext, backend.Settings{}),
		watch:    watchState{startTimes: newStartTimes()},
		log:      log,
	}
	l.applyLimits()
	placement := discovery.Shared
	if settings.Membership == policy.MembershipWatched {
		placement = discovery.Local
	}
	l.watch.discovery = discovery.New(ctx, conf.Discovery, placement, l.discoveryResults(0))
	l.actions = l.balancer.Start(l.nowMs(), l.actions[:0])
	l.perform()
	l.applyEndpointList(policy.ListCached, &conf.Known)
	return l, nil
}

// applyLimits takes the bounds of connections and memory from the configuration in force.
func (l *loop) applyLimits() {
	settings := &l.config.Settings
	connectTimeout := config.Milliseconds(settings.Limits.ConnectTimeoutMs)
	if connectTimeout <= 0 {
		connectTimeout = time.Second
	}
	// Where the settings price connections, waiting some milliseconds for one that comes to rest
	// costs less than a new one: an answer within its latency objective is worth no less for it.
	newConnsAreFree := settings.Prices.Handshake == 0 && settings.Prices.Connection == 0
	l.pool.Configure(backend.Settings{
		ConnectTimeout: connectTimeout,
		IdleTimeout:    config.Milliseconds(settings.Limits.KeepaliveMs / 2),
		MaxConns:       l.config.Limits.BackendSockets(),
		ExtraConns:     newConnsAreFree,
	})
	l.seenIDs.keep = max(l.seenIDs.keep, l.config.MaxDeadline()+time.Second) // longer than any request is open
	l.watch.startTimes.tolerance = settings.Contract.StartToleranceMs()
}

// post queues an input. It waits while the queue is full and returns at once when the loop has
// ended. The loop's own goroutine must not call it: it has followUps.
func (l *loop) post(in input) {
	select {
	case l.inputs <- in:
	case <-l.ctx.Done():
	}
}

// run handles the inputs, each with its follow-ups, until ctx ends.
func (l *loop) run() {
	l.after(readyWithin, func() { l.post(readyWaitOver{}) })
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
// handler's timer answers it: one bad event must not end all other requests.
func (l *loop) handle(in input) {
	defer l.recoverInput(in)
	switch in := in.(type) {
	case requestArrived:
		l.onRequest(in.request)
	case clientDisconnected:
		l.onClientDisconnected(in.request)
	case attemptEnded:
		l.onOutcome(in.attempt, &in.result)
	case timerFired:
		l.notify(&policy.TimerFired{Token: in.token})
	case endpointsFetched:
		if l.watch.isCurrent(in.generation) {
			l.onEndpointsFetched(&in)
		}
	case watchEvent:
		if l.watch.isCurrent(in.generation) {
			l.onWatchEvent(&in.list)
		}
	case watchEnded:
		if l.watch.isCurrent(in.generation) {
			l.onWatchEnded(&in)
		}
	case reloadRequested:
		in.done <- l.reload(in.config)
	case traceRequested:
		in.done <- l.startTrace(in.every)
	case traceDue:
		l.trace()
	case readyWaitOver:
		l.onReadyWaitOver()
	}
}

// onReadyWaitOver makes an agent that knows no backend ready all the same.
func (l *loop) onReadyWaitOver() {
	l.ready.waitOver = true
	if !l.ready.hasEndpoint.Swap(true) {
		l.log.Warn("ready without a known backend", "duration", readyWithin)
	}
}

// reload puts another configuration in force, all or nothing. Its error is a fielderror.Error where a
// field is not taken. Somebody waits for the result, so a panic is one.
func (l *loop) reload(conf *config.Config) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	if err := l.config.Names.CheckReload(&conf.Names); err != nil {
		return err
	}
	if err := l.balancer.Reconfigure(conf.ModuleSettings()); err != nil {
		return fielderror.OfSettings(err)
	}
	l.config = conf
	l.applyLimits()
	l.switchDiscovery(conf.Discovery)
	return nil
}

// recoverInput logs a panic while an input was handled, if there is one, with the type of the input,
// and lets the loop go on. It is to be deferred.
func (l *loop) recoverInput(in input) {
	if p := recover(); p != nil {
		l.log.Error("panic in event loop", "input", fmt.Sprintf("%T", in), "panic", p, "stack", string(debug.Stack()))
	}
}
