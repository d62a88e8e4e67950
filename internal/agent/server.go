package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// minSockets is the least that an agent can work with; otherSockets are kept for
	// discovery, the listener and the runtime.
	minSockets, otherSockets = 64, 16
	// guardMargin is how long before the client's time is up the last guard answers. The
	// module is told of that much less time and wordMargin more, so that its own last word,
	// which tells when to come back, is out by then whatever round the settings give.
	guardMargin, wordMargin = 2 * time.Millisecond, 3 * time.Millisecond
	// acceptFor is how long connections are taken after SIGTERM: they go on coming for
	// up to 0.4 s. settleFor is left to what was accepted last to be read. What comes whole
	// after refuseAfter is refused: SIGKILL may come before its answer could.
	shutdownAcceptTime, shutdownSettleTime = 450 * time.Millisecond, 50 * time.Millisecond
	shutdownRejectAfter                    = 600 * time.Millisecond
	// killedAfter is how long after SIGTERM SIGKILL may come at the earliest where the settings
	// have deadlines as long or longer, but for 0.7 s that are added to it.
	killedAfter          = 3 * time.Second
	shutdownPollInterval = 5 * time.Millisecond // how often who leaves looks through the connections
	// headFor and bodyFor are how long a request's head and body may take to come: bad
	// clients are owed an error or a close within 3 s of connecting.
	headTimeout, bodyTimeout = 1500 * time.Millisecond, time.Second
	// leastBodyFor is what a body has to come in at least, however short the deadline: an
	// answer earns nothing after it, but is not lost for half a second.
	leastBodyFor = 100 * time.Millisecond
	// keepIdle is how long a client's connection stays open between requests when its
	// place is not needed.
	clientKeepAlive = 15 * time.Second
	// unreadFor is how long a client may take to read its answer.
	responseWriteTimeout = 5 * time.Second
	// maxHead bounds a request's head. leastTimeout is up to where any deadline makes sense,
	// whatever the classes' own are.
	maxHead      = 16 << 10
	leastTimeout = time.Minute
	maxWord      = 256 // bytes of a Request-Id or a Host
)

// backendSockets is the part of the descriptors for connections to backends;
// clientSockets that for clients', who hold a third of all at most for requests.
func backendSockets(all int) int { return (all - otherSockets) * 2 / 5 }

func clientSockets(all int) int { return all - otherSockets - backendSockets(all) }

// keptSockets is how many of the clients' connections are kept between requests: half of
// what the clients hold.
func keptSockets(all int) int { return all / 6 }

// openRequests is how many requests may be held at once, told to the module, which
// refuses what is over it. The places left are for those that are told so.
func openRequests(all int) int {
	places := clientSockets(all)
	return places - max(places/8, 8)
}

// Agent is one agent: the loop with the decisions and the server for the clients.
type Agent struct {
	loop          *loop
	server        *http.Server
	config        atomic.Pointer[Config]
	startDeadline time.Duration // the longest deadline at the start, which bounds the server's writes
	maxDeadline   atomic.Int64  // the longest deadline that there has been, in ns
	log           *slog.Logger
	shutdownAt    atomic.Pointer[time.Time] // since when; nil: not
	bodyBytes     atomic.Int64              // bytes of the bodies held
	clients       *clientTable
	stop          context.CancelFunc
	// lastCall is closed when what is still held has to be answered before SIGKILL.
	lastCall chan struct{}
	after    func(time.Duration, func()) *time.Timer // time.AfterFunc, but for tests
}

// New makes an agent, which is told the list of its configuration.
func New(c *Config, log *slog.Logger) (*Agent, error) {
	ctx, stop := context.WithCancel(context.Background())
	l, err := newLoop(ctx, c, log)
	if err != nil {
		stop()
		return nil, err
	}
	a := &Agent{loop: l, log: log, stop: stop, startDeadline: c.maxDeadline(),
		lastCall: make(chan struct{}), after: time.AfterFunc}
	a.config.Store(c)
	a.maxDeadline.Store(int64(a.startDeadline))
	a.clients = newClientTable(clientSockets(c.Limits.Sockets), keptSockets(c.Limits.Sockets))
	a.server = &http.Server{
		Handler:           a,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       clientKeepAlive,
		MaxHeaderBytes:    maxHead,
		WriteTimeout:      a.startDeadline + responseWriteTimeout,
		// 'OPTIONS *' is no request of the settings' classes: read refuses it.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:                    a.clients.onConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return a, nil
}

type connKey struct{}

// Reload puts another configuration in force while the agent runs: all of it or, with an
// error that names what can't change without a restart, nothing. Requests that are open go on
// under the terms that they were taken with; the list, the connections and what was learnt of
// servers stay. The seed and the list in the file belong to a start, and are passed over.
func (a *Agent) Reload(c *Config) error {
	old := a.config.Load()
	switch {
	case c.Name != old.Name:
		return fmt.Errorf("config: name: can't change without a restart, is %q and would be %q", old.Name, c.Name)
	case c.Listen != old.Listen:
		return fmt.Errorf("config: listen: can't change without a restart, is %q and would be %q", old.Listen, c.Listen)
	}
	done := make(chan error, 1)
	a.loop.post(input{kind: inputReload, config: c, done: done})
	select {
	case err := <-done:
		if err != nil {
			return fmt.Errorf("config: %w", err)
		}
	case <-a.loop.ctx.Done():
		return errors.New("config: the agent has ended")
	}
	a.maxDeadline.Store(max(a.maxDeadline.Load(), int64(c.maxDeadline())))
	a.clients.resize(clientSockets(c.Limits.Sockets), keptSockets(c.Limits.Sockets))
	a.config.Store(c) // what is read from here on carries the new classes
	return nil
}

// Serve answers on the listener until the context ends, then finishes what it holds.
func (a *Agent) Serve(ctx context.Context, ln net.Listener) error {
	defer a.stop()
	go a.loop.run()
	go a.reapIdleClients(ctx)
	failed := make(chan error, 1)
	placed := newClientListener(ln, a.clients, a.log)
	go func() { failed <- a.server.Serve(placed) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return a.shutdown(placed)
}

// tidy looks after the clients' idle connections until the context ends.
func (a *Agent) reapIdleClients(ctx context.Context) {
	tick := time.NewTicker(reapInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			a.clients.reapIdle(now)
		case <-ctx.Done():
			return
		}
	}
}

// lastAnswerAfter is how long after SIGTERM the last answer is given. What comes until
// refuseAfter may take the longest deadline of the settings, but SIGKILL doesn't wait for one
// over killedAfter.
func (a *Agent) lastAnswerAfter() time.Duration {
	longest := time.Duration(0)
	classes := a.config.Load().Settings.Classes
	for i := range classes {
		longest = max(longest, millis(classes[i].DeadlineMs))
	}
	return min(longest, killedAfter) + shutdownRejectAfter
}

// leave ends the agent in order: clients go on coming for a while after the signal, so
// idle connections are closed first, while what crosses that can still come on a new one;
// then the listener; then all that is held is answered. A request counts as soon as it was
// written to a connection that was accepted, read or not, so the agent ends only when no
// connection is left: those that are silent are closed, those that hold half a request end
// by the times in which a request has to come.
func (a *Agent) shutdown(ln net.Listener) error {
	began := time.Now()
	a.shutdownAt.Store(&began)
	defer a.after(a.lastAnswerAfter(), func() { close(a.lastCall) }).Stop()
	last := shutdownAcceptTime + shutdownSettleTime + headTimeout + bodyTimeout + time.Duration(a.maxDeadline.Load()) + shutdownSettleTime
	for {
		since := time.Since(began)
		settled := since >= shutdownAcceptTime+shutdownSettleTime
		if since >= shutdownAcceptTime {
			ln.Close()
		}
		a.clients.closeIdle(settled)
		if settled && (a.clients.count() == 0 || since >= last) {
			break
		}
		time.Sleep(shutdownPollInterval)
	}
	return a.server.Close() // what is left is over its deadline, or does not read its answer
}
