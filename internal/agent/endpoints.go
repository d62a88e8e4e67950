package agent

import (
	"ploverreel/internal/discovery"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// watchState holds the discovery that is called and the version of the endpoint list in force.
type watchState struct {
	discovery   *discovery.Client // the one that is called now
	generation  int               // number of discoveries before it, which tells its results from theirs
	watching    bool              // a watch is open or being opened
	fetching    bool              // a fetch is in progress
	listVersion int64             // version of the list in force; 0 after a change of discovery
}

// isCurrent reports whether the discovery of this generation is the one that is called now.
func (w *watchState) isCurrent(generation int) bool { return generation == w.generation }

// discoveryAddr returns the address of the discovery that is called now.
func (w *watchState) discoveryAddr() string { return w.discovery.Addr() }

// discoveryResults returns the function that posts the results of one discovery's calls to the loop.
func (l *loop) discoveryResults(generation int) func(discovery.Result) {
	return func(result discovery.Result) {
		switch result := result.(type) {
		case discovery.Fetched:
			l.post(endpointsFetched{generation: generation, list: result.List, err: result.Err})
		case discovery.WatchEvent:
			l.post(watchEvent{generation: generation, list: result.List})
		case discovery.WatchEnded:
			l.post(watchEnded{generation: generation, err: result.Err, endedAfterNotice: result.Established})
		}
	}
}

// onEndpointsFetched applies a whole list that was fetched, unless the list in force is newer, or
// notifies the module that the fetch failed.
func (l *loop) onEndpointsFetched(in *endpointsFetched) {
	l.watch.fetching = false
	switch {
	case in.err != nil:
		l.log.Warn("endpoint list fetch failed", "err", in.err, "discovery", l.watch.discoveryAddr())
		l.notify(&policy.DiscoveryFailed{})
	case in.list.Seq >= l.watch.listVersion: // the watch may have delivered more meanwhile
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
	default: // nothing new, and yet a sign that discovery works
		l.notify(&policy.EndpointsUpdated{Kind: policy.ListDelta})
	}
	l.startTimes.onWatchEvent()
}

// onWatchEnded notifies the module of the end of a watch; the module says when the next one is
// opened.
func (l *loop) onWatchEnded(in *watchEnded) {
	l.watch.watching = false
	l.startTimes.onWatchEnded(l.nowMs(), float64(discovery.WatchIdleTimeout.Milliseconds()))
	if in.endedAfterNotice {
		l.log.Warn("endpoint list watch ended", "err", in.err, "discovery", l.watch.discoveryAddr())
		l.notify(&policy.WatchEnded{})
	} else {
		l.log.Warn("endpoint list watch failed", "err", in.err, "discovery", l.watch.discoveryAddr())
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

// startFetch fetches the whole list, unless a fetch is in progress.
func (l *loop) startFetch() {
	if !l.watch.fetching {
		l.watch.fetching = true
		go l.watch.discovery.Fetch(discovery.NoRetry)
	}
}

// switchDiscovery turns to the discovery at another address, if it is another. The calls to the former
// one end, and their results no longer count. The new one is fetched from and watched at once; until it
// answers, the list in force and all connections stay. Its list versions have nothing to do with those
// of the former one.
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
	l.startTimes.onWatchEnded(l.nowMs(), 0)
	go current.Fetch(discovery.RetryNewDiscovery)
	go current.Watch(0, discovery.RetryNewDiscovery)
}

// applyEndpointList puts a list in force: for the connections first, so that nothing new goes to
// what is no longer ready, then for the module.
func (l *loop) applyEndpointList(kind policy.ListKind, list *endpointlist.List) {
	l.watch.listVersion = list.Seq
	entries := make([]policy.Entry, len(list.Hosts))
	for i := range list.Hosts {
		entries[i] = l.config.Names.Entry(&list.Hosts[i])
		l.updateBackend(&entries[i], &list.Hosts[i])
	}
	l.startTimes.translate(entries, l.nowMs())
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
	if !gone && !current.connectsTo(host) {
		current.reconnect(l.pool, host)
	}
	current.usable = entry.Health == policy.HealthReady
}

// disableUnlisted marks the backends that a whole list doesn't have as not usable.
func (l *loop) disableUnlisted(entries []policy.Entry) {
	listed := make(map[policy.Addr]bool, len(entries))
	for i := range entries {
		listed[entries[i].Server] = true
	}
	for addr, target := range l.backends {
		if !listed[addr] {
			target.usable = false
		}
	}
}

// withdrawUnusable withdraws the backends that may not be sent to, and removes those that are done.
func (l *loop) withdrawUnusable() {
	for _, target := range l.backends {
		if !target.usable {
			target.withdraw()
		}
		l.removeBackend(target)
	}
}

// hasUsableBackend reports whether a backend can be sent to.
func (l *loop) hasUsableBackend() bool {
	for _, target := range l.backends {
		if target.usable {
			return true
		}
	}
	return false
}

// removeBackend removes a backend if it is done.
func (l *loop) removeBackend(target *listedBackend) {
	if target.isDone() {
		target.conns.Close()
		if l.backends[target.addr] == target {
			delete(l.backends, target.addr)
		}
	}
}
