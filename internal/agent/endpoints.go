package agent

import (
	"ploverreel/internal/backend"
	"ploverreel/internal/discovery"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// discoveryResults returns the function that posts the results of one discovery's calls to the loop.
func (l *loop) discoveryResults(generation int) func(discovery.Result) {
	return func(result discovery.Result) {
		switch result := result.(type) {
		case discovery.Fetched:
			l.post(endpointsFetched{generation: generation, list: result.List, err: result.Err})
		case discovery.WatchEvent:
			l.post(watchEvent{generation: generation, list: result.List})
		case discovery.WatchEnded:
			l.post(watchEnded{generation: generation, err: result.Err, endedAfterNotice: result.EndedAfterNotice})
		}
	}
}

// onEndpointsFetched applies a whole list that was fetched, or notifies the module that the fetch
// failed.
func (l *loop) onEndpointsFetched(in *endpointsFetched) {
	l.watch.fetching = false
	switch {
	case in.err != nil:
		l.log.Warn("endpoint list fetch failed", "err", in.err, "discovery", l.watch.discovery.Addr())
		l.notify(&policy.DiscoveryFailed{})
	case in.list.Seq >= l.watch.listVersion: // the watch may have delivered more meanwhile
		l.applyEndpointList(policy.ListFull, &in.list)
		l.watch.startTimes.fetched(l.nowMs())
	}
}

// onWatchEvent applies a list that a watch delivered.
func (l *loop) onWatchEvent(list *endpointlist.List) {
	switch {
	case list.Whole:
		l.applyEndpointList(policy.ListFull, list)
	case list.Seq > l.watch.listVersion:
		l.applyEndpointList(policy.ListDelta, list)
	default: // nothing new, and yet a sign that discovery is there
		l.notify(&policy.EndpointsUpdated{Kind: policy.ListDelta})
	}
	l.watch.startTimes.watched()
}

// onWatchEnded notifies the module of the end of a watch; the module says when the next one is
// opened.
func (l *loop) onWatchEnded(in *watchEnded) {
	l.watch.watching = false
	l.watch.startTimes.unwatched(l.nowMs(), float64(discovery.WatchSilence.Milliseconds()))
	if in.endedAfterNotice {
		l.log.Warn("endpoint list watch ended", "err", in.err, "discovery", l.watch.discovery.Addr())
		l.notify(&policy.WatchEnded{})
	} else {
		l.log.Warn("endpoint list watch failed", "err", in.err, "discovery", l.watch.discovery.Addr())
		l.notify(&policy.DiscoveryFailed{})
	}
}

// openWatch opens a watch for what changed after the list in force, unless one is open.
func (l *loop) openWatch() {
	if !l.watch.watching {
		l.watch.watching = true
		go l.watch.discovery.Watch(l.watch.listVersion, discovery.NoRetry)
	}
}

// startFetch fetches the whole list, unless a fetch is under way.
func (l *loop) startFetch() {
	if !l.watch.fetching {
		l.watch.fetching = true
		go l.watch.discovery.Fetch(discovery.NoRetry)
	}
}

// switchDiscovery turns to the discovery at another address: the calls of the one before end and
// their results no longer count, and the whole list and a watch are asked of the new one at once.
// Until it answers, the list in force and all connections stay. Its versions have nothing to do with
// those of the one before.
func (l *loop) switchDiscovery(addr string) {
	former := l.watch.discovery
	if addr == former.Addr() {
		return
	}
	l.log.Info("discovery address changed", "previous", former.Addr(), "discovery", addr)
	former.Close()
	l.watch.generation++
	current := discovery.New(l.ctx, addr, former.Placement(), l.discoveryResults(l.watch.generation))
	l.watch.discovery = current
	l.watch.listVersion, l.watch.fetching, l.watch.watching = 0, true, true
	l.watch.startTimes.unwatched(l.nowMs(), 0)
	go current.Fetch(discovery.RetryNew)
	go current.Watch(0, discovery.RetryNew)
}

// applyEndpointList puts a list in force: for the connections first, so that nothing new goes to
// what is no longer ready, then for the module.
func (l *loop) applyEndpointList(kind policy.ListKind, list *endpointlist.List) {
	l.watch.listVersion = list.Seq
	entries := make([]policy.Entry, len(list.Hosts))
	listed := map[policy.Addr]bool{}
	for i := range list.Hosts {
		entries[i] = l.config.Names.Entry(&list.Hosts[i])
		listed[entries[i].Server] = true
		l.updateBackend(&entries[i], &list.Hosts[i])
	}
	l.watch.startTimes.translate(entries, l.nowMs())
	l.watch.startTimes.forget(l.backends)
	for addr, target := range l.backends {
		if kind != policy.ListDelta && !listed[addr] {
			target.usable = false
		}
		if !target.usable {
			target.withdraw()
		}
		l.removeBackend(target)
	}
	l.notify(&policy.EndpointsUpdated{Kind: kind, Entries: entries})
	usable := false
	for _, target := range l.backends {
		usable = usable || target.usable
	}
	l.ready.hasEndpoint.Store(usable || l.ready.waitOver)
	if l.watch.onApplied != nil {
		l.watch.onApplied(l.watch.listVersion, kind == policy.ListFull)
	}
}

// updateBackend brings the backend of one entry up to date, and adds it if it is new.
func (l *loop) updateBackend(entry *policy.Entry, host *endpointlist.Host) {
	gone := entry.Health == policy.HealthGone
	current := l.backends[entry.Server]
	if current == nil {
		if gone {
			return
		}
		current = &listedBackend{addr: entry.Server, attempts: map[*attempt]struct{}{}}
		l.backends[entry.Server] = current
	}
	if !gone && (current.conns == nil || current.conns.Addr() != host.Dial || current.bornMs != host.BornMs) {
		// Connections to another address or to the process before are of no use, and what has not
		// begun there must not.
		if current.conns != nil {
			current.withdraw()
			current.conns.Close()
		}
		current.bornMs, current.conns = host.BornMs, l.pool.NewConns(host.Dial)
	}
	current.usable = entry.Health == policy.HealthReady
}

// removeBackend forgets a backend that is not to be sent to and has no attempt in flight.
func (l *loop) removeBackend(target *listedBackend) {
	if !target.usable && len(target.attempts) == 0 {
		target.conns.Close()
		if l.backends[target.addr] == target {
			delete(l.backends, target.addr)
		}
	}
}

// withdraw stops the attempts of which no byte has gone out, and closes the connections that are
// idle: a backend that drains, is gone or is another process now gets nothing more.
func (b *listedBackend) withdraw() {
	for attempt := range b.attempts {
		attempt.Withdraw(backend.ErrEndpointDraining)
	}
	b.conns.CloseIdle()
}
