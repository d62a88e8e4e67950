package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"time"

	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/internal/discovery"
	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fielderror"
	"ploverreel/policy"
)

const (
	// defaultConnectTimeout is the connect timeout if the settings have none.
	defaultConnectTimeout = time.Second
	// inputsPerSocket multiplies the socket limit. The product is the capacity of the input queue.
	// The queue has room for the inputs of everything that can be in progress at once, so that a
	// handler doesn't wait for space in it.
	inputsPerSocket = 4
	// idleTimeoutDivisor divides the keep-alive time of the settings. The quotient is the time after
	// which an idle connection to a backend is closed.
	idleTimeoutDivisor = 2
	// seenIDMargin is added to the longest deadline. Request ids are stored for the sum, which is
	// longer than any request is open.
	seenIDMargin = time.Second
)

// loop is the event loop of an agent. It owns the policy.Balancer, which is the decision module. The
// goroutine of run passes the inputs to the module in order and executes the actions that the module
// decides. It never blocks. The fields belong to that goroutine, except for inputs, ctx and
// ready.isReady, which any goroutine may use.
//
// The loop starts a goroutine for each attempt and for each call to discovery. They and run end with
// ctx, which the creator of the loop cancels. For an agent, Agent.stop does so.
type loop struct {
	// The decision module and its last decision.
	balancer  *policy.Balancer
	config    *config.Config // current configuration
	clock     moduleClock
	decidedAt time.Time       // read just before the module's clock for the current event; timeouts of actions count from it
	actions   []policy.Action // decided for the current event; reused

	// Inputs, and the timers that post them.
	ctx       context.Context
	inputs    chan input
	followUps []input                                 // inputs that the loop itself caused; handled before those in the queue
	afterFunc func(time.Duration, func()) *time.Timer // time.AfterFunc; replaced by tests

	// Open requests and backends.
	requests map[policy.RequestID]*request
	lastID   policy.RequestID // the id that was assigned last
	seenIDs  *seenIDs
	backends map[policy.Addr]*listedBackend
	pool     *backend.Pool

	// The endpoint list.
	watch         watchState
	addressClaims *endpointlist.AddressClaims
	startTimes    *startTimes
	onListApplied func(seq int64, whole bool) // called after each list is applied; may be nil

	ready readyState

	log    *slog.Logger
	tracer *tracer // nil until a trace is started
}

// newLoop returns a loop whose module has the endpoint list of the configuration. It returns an
// error if the module rejects the settings.
func newLoop(ctx context.Context, conf *config.Config, log *slog.Logger) (*loop, error) {
	settings := conf.ModuleSettings()
	balancer, err := policy.New(settings, conf.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{
		balancer:      balancer,
		config:        conf,
		clock:         newModuleClock(conf.Clock),
		ctx:           ctx,
		inputs:        make(chan input, inputsPerSocket*conf.Limits.Sockets),
		afterFunc:     time.AfterFunc,
		requests:      map[policy.RequestID]*request{},
		seenIDs:       newSeenIDs(0),
		backends:      map[policy.Addr]*listedBackend{},
		pool:          backend.NewPool((&net.Dialer{KeepAlive: -1}).DialContext, backend.Settings{}), // without TCP keep-alive probes
		addressClaims: endpointlist.NewAddressClaims(),
		startTimes:    newStartTimes(),
		log:           log,
	}
	l.applyLimits()
	l.watch.discovery = discovery.New(ctx, conf.Discovery, placementOf(&settings), l.discoveryResults(0))
	l.actions = l.balancer.Start(l.nowMs(), l.actions[:0])
	l.executeActions()
	l.applyEndpointList(policy.ListCached, &conf.InitialList)
	return l, nil
}

// placementOf returns where discovery runs. With watched membership it runs on the agent's own
// machine.
func placementOf(settings *policy.Settings) discovery.Placement {
	if settings.Membership == policy.MembershipWatched {
		return discovery.Local
	}
	return discovery.Shared
}

// applyLimits applies the limits of the current configuration to connections, request ids and start
// times.
func (l *loop) applyLimits() {
	l.pool.Configure(backendSettings(l.config))
	l.seenIDs.extendRetention(l.config.MaxDeadline() + seenIDMargin)
	l.startTimes.setTolerance(l.config.Settings.Contract.StartToleranceMs())
}

// backendSettings returns the settings of the connection pool for backends.
func backendSettings(conf *config.Config) backend.Settings {
	settings := &conf.Settings
	connectTimeout := config.Milliseconds(settings.Limits.ConnectTimeoutMs)
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	return backend.Settings{
		ConnectTimeout: connectTimeout,
		IdleTimeout:    config.Milliseconds(settings.Limits.KeepaliveMs / idleTimeoutDivisor),
		MaxConns:       conf.Limits.BackendSockets(),
		// If connections have a price in the settings, opening another one costs more than waiting
		// some milliseconds for one to settle. The wait doesn't lower the value of a response that
		// stays within its latency objective.
		ExtraConns: settings.Prices.Handshake == 0 && settings.Prices.Connection == 0,
	}
}

// post adds an input to the queue. It blocks while the queue is full, and returns at once after the
// loop has ended. The loop's own goroutine must not call it and uses followUps instead.
func (l *loop) post(in input) {
	select {
	case l.inputs <- in:
	case <-l.ctx.Done():
	}
}

// run handles each input and its follow-ups until ctx ends.
func (l *loop) run() {
	l.afterFunc(readyTimeout, func() { l.post(readyTimeoutExpired{}) })
	for {
		select {
		case in := <-l.inputs:
			l.handle(in)
			l.handleFollowUps()
		case <-l.ctx.Done():
			return
		}
	}
}

// handleFollowUps handles the inputs that the loop itself caused until none remains.
func (l *loop) handleFollowUps() {
	for len(l.followUps) > 0 {
		var in input
		in, l.followUps = l.followUps[0], l.followUps[1:]
		l.handle(in)
	}
}

// handle handles one input and recovers a panic, so that the other requests don't fail with it. Only
// the request of that input gets no decision, and its HTTP handler responds without the loop.
func (l *loop) handle(in input) {
	defer l.recoverInput(in)
	switch in := in.(type) {
	case requestArrived:
		l.onRequest(in.request)
	case clientDisconnected:
		l.onClientDisconnected(in.request)
	case attemptEnded:
		l.onAttemptEnded(in.attempt, &in.result)
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
		in.done <- l.startTrace(in.interval)
	case traceDue:
		l.trace()
	case readyTimeoutExpired:
		l.onReadyTimeout()
	}
}

// reload applies another configuration, as a whole or not at all. Its error is a
// *fielderror.Error if a field can't be changed. A panic is returned as an error too, because the
// caller waits for a result.
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
		return fielderror.FromSettings(err)
	}
	l.config = conf
	l.applyLimits()
	l.switchDiscovery(conf.Discovery)
	return nil
}

// recoverInput recovers from a panic in the handling of an input, and logs it with the type of the
// input. It must be deferred.
func (l *loop) recoverInput(in input) {
	if p := recover(); p != nil {
		l.log.Error("panic in event loop", "input", fmt.Sprintf("%T", in), "panic", p, "stack", string(debug.Stack()))
		if arrived, ok := in.(requestArrived); ok && arrived.request != nil && arrived.request.id == 0 {
			arrived.request.memory.release() // the loop has lost the request
		}
	}
}
