package agent

import (
	"ploverreel/internal/discovery"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// watchState holds the discovery client and the version of the current endpoint list.
type watchState struct {
	discovery   *discovery.Client // of the current discovery address
	generation  int               // number of earlier clients; results with a lower number are ignored
	watching    bool              // a watch is open or being opened
	fetching    bool              // a fetch is in progress
	listVersion int64             // version of the current list; 0 after a change of discovery
}

// isCurrent reports whether the generation is that of the current discovery client.
func (w *watchState) isCurrent(generation int) bool { return generation == w.generation }

// discoveryAddr returns the address of the current discovery client.
func (w *watchState) discoveryAddr() string { return w.discovery.Addr() }

// discoveryResults returns a function that posts the results of one discovery client to the loop.
func (l *loop) discoveryResults(generation int) func(discovery.Result) {
	return func(result discovery.Result) {
		switch result := result.(type) {
		case discovery.Fetched:
			l.post(endpointsFetched{generation: generation, list: result.List, err: result.Err})
		case discovery.WatchEvent:
			l.post(watchEvent{generation: generation, list: result.List})
		case discovery.WatchEnded:
			l.post(watchEnded{generation: generation, err: result.Err, established: result.Established})
		}
	}
}

// onEndpointsFetched applies a list that was fetched, unless the current list is newer. If the
// fetch failed, it notifies the module.
func (l *loop) onEndpointsFetched(in *endpointsFetched) {
	l.watch.fetching = false
	switch {
	case in.err != nil:
		l.log.Warn("endpoint list fetch failed", "err", in.err, "discovery", l.watch.discoveryAddr())
		l.notify(&policy.DiscoveryFailed{})
	case in.list.Seq >= l.watch.listVersion: // the watch may have delivered a newer list meanwhile
		l.applyEndpointList(policy.ListFull, &in.list)
		l.startTimes.onFetched(l.nowMs())
	}
}

// onWatchEvent applies a list that a watch delivered.
func (l *loop) onWatchEvent(list *endpointlist.List) {
	switch {
	case list.Whole:
		l.applyEndpointList(policy.ListFull, list)
	case list.Seq > l.watch.listVersion:
		l.applyEndpointList(policy.ListDelta, list)
	default: // the list is not newer, but it shows the module that discovery works
		l.notify(&policy.EndpointsUpdated{Kind: policy.ListDelta})
	}
	l.startTimes.onWatchEvent()
}

// onWatchEnded notifies the module of the end of a watch. The module decides when to open the next
// one.
func (l *loop) onWatchEnded(in *watchEnded) {
	l.watch.watching = false
	l.startTimes.onWatchEnded(l.nowMs(), float64(discovery.WatchIdleTimeout.Milliseconds()))
	if in.established {
		l.log.Warn("endpoint list watch ended", "err", in.err, "discovery", l.watch.discoveryAddr())
		l.notify(&policy.WatchEnded{})
	} else {
		l.log.Warn("endpoint list watch failed", "err", in.err, "discovery", l.watch.discoveryAddr())
		l.notify(&policy.DiscoveryFailed{})
	}
}

// openWatch opens a watch for the changes after the current list, unless a watch is open.
func (l *loop) openWatch() {
	if !l.watch.watching {
		l.watch.watching = true
		go l.watch.discovery.Watch(l.watch.listVersion, discovery.NoRetry)
	}
}

// startFetch fetches the whole list, unless a fetch is in progress.
func (l *loop) startFetch() {
	if !l.watch.fetching {
		l.watch.fetching = true
		go l.watch.discovery.Fetch(discovery.NoRetry)
	}
}

// switchDiscovery changes the discovery address, unless it is the same. The calls to the previous
// address end, and their results are ignored. A fetch from the new address and a watch of it start
// at once. The current list and all connections are kept until the new address delivers a list. List
// versions of the two addresses can't be compared, so the current version is reset.
func (l *loop) switchDiscovery(addr string) {
	previous := l.watch.discovery
	if addr == previous.Addr() {
		return
	}
	l.log.Info("discovery address changed", "previous", previous.Addr(), "discovery", addr)
	previous.Close()
	l.watch.generation++
	next := discovery.New(l.ctx, addr, previous.Placement(), l.discoveryResults(l.watch.generation))
	l.watch.discovery = next
	l.watch.listVersion, l.watch.fetching, l.watch.watching = 0, true, true
	l.startTimes.onWatchEnded(l.nowMs(), 0)
	go next.Fetch(discovery.RetryNewDiscovery)
	go next.Watch(0, discovery.RetryNewDiscovery)
}

// applyEndpointList applies a list. Hosts at whose address a newer process is listed count as gone.
// It updates the backends first, so that no new attempt is sent to a backend that is no longer
// ready, and then notifies the module.
func (l *loop) applyEndpointList(kind policy.ListKind, list *endpointlist.List) {
	l.watch.listVersion = list.Seq
	hosts := l.addressClaims.Resolve(list, kind != policy.ListDelta)
	entries := make([]policy.Entry, len(hosts))
	for i := range hosts {
		entries[i] = l.config.Names.Entry(&hosts[i])
		l.updateBackend(&entries[i], &hosts[i])
	}
	l.startTimes.toModuleClock(entries, l.nowMs())
	l.startTimes.prune(l.backends)
	if kind != policy.ListDelta {
		l.disableUnlisted(entries)
	}
	l.withdrawUnusable()
	l.notify(&policy.EndpointsUpdated{Kind: kind, Entries: entries})
	l.ready.update(l.hasUsableBackend())
	if l.onListApplied != nil {
		l.onListApplied(list.Seq, kind == policy.ListFull)
	}
}

// updateBackend updates the backend of one entry, or adds the backend if it is new.
func (l *loop) updateBackend(entry *policy.Entry, host *endpointlist.Host) {
	current := l.backends[entry.Server]
	if entry.Health == policy.HealthGone {
		if current != nil {
			current.leave()
		}
		return
	}
	if current == nil {
		current = &listedBackend{addr: entry.Server, attempts: map[*attempt]struct{}{}}
		l.backends[entry.Server] = current
	}
	if !current.connectsTo(host) {
		current.reconnect(l.pool, host)
	}
	current.usable = entry.Health == policy.HealthReady
}

// disableUnlisted marks the backends that are not in a whole list as unusable.
func (l *loop) disableUnlisted(entries []policy.Entry) {
	listed := make(map[policy.Addr]bool, len(entries))
	for i := range entries {
		listed[entries[i].Server] = true
	}
	for addr, target := range l.backends {
		if !listed[addr] {
			target.leave()
		}
	}
}

// withdrawUnusable withdraws those attempts to unusable backends that have not begun to send, and
// removes the unusable backends that have no attempt in flight.
func (l *loop) withdrawUnusable() {
	for _, target := range l.backends {
		if !target.usable {
			target.withdraw()
		}
		l.removeBackend(target)
	}
}

// hasUsableBackend reports whether any backend is usable.
func (l *loop) hasUsableBackend() bool {
	for _, target := range l.backends {
		if target.usable {
			return true
		}
	}
	return false
}

// removeBackend closes and removes a backend if isRemovable allows it.
func (l *loop) removeBackend(target *listedBackend) {
	if target.isRemovable() {
		target.conns.Close()
		if l.backends[target.addr] == target {
			delete(l.backends, target.addr)
		}
	}
}
