package agent

import (
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// onEndpointsFetched applies a whole list that was fetched, or notifies the module that the fetch
// failed.
func (l *loop) onEndpointsFetched(in *endpointsFetched) {
	l.watch.fetching = false
	switch {
	case in.err != nil:
		l.log.Warn("discovery: fetch failed", "err", in.err)
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
	l.watch.startTimes.unwatched(l.nowMs(), float64(l.watch.discovery.silence.Milliseconds()))
	l.log.Warn("discovery: watch ended", "err", in.err)
	if in.endedAfterNotice {
		l.notify(&policy.WatchEnded{})
	} else {
		l.notify(&policy.DiscoveryFailed{})
	}
}

// openWatch opens a watch for what changed after the list in force, unless one is open.
func (l *loop) openWatch() {
	if !l.watch.watching {
		l.watch.watching = true
		go l.watch.discovery.watch(l.watch.listVersion, false)
	}
}

// startFetch fetches the whole list, unless a fetch is under way.
func (l *loop) startFetch() {
	if !l.watch.fetching {
		l.watch.fetching = true
		go l.watch.discovery.fetch(false)
	}
}

// switchDiscovery turns to the discovery at another address: the calls of the one before end and
// their results no longer count, and the whole list and a watch are asked of the new one at once.
// Until it answers, the list in force and all connections stay. Its versions have nothing to do with
// those of the one before.
func (l *loop) switchDiscovery(addr string) {
	former := l.watch.discovery
	if addr == former.addr {
		return
	}
	l.log.Info("discovery: changed", "from", former.addr, "to", addr)
	former.close()
	current := newDiscovery(l.ctx, addr, former.generation+1, l.post)
	current.firstWordTimeout, current.hedgeAfter = former.firstWordTimeout, former.hedgeAfter
	l.watch.discovery = current
	l.watch.listVersion, l.watch.fetching, l.watch.watching = 0, true, true
	l.watch.startTimes.unwatched(l.nowMs(), 0)
	go current.fetch(true)
	go current.watch(0, true)
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
	for addr, backend := range l.backends {
		if kind != policy.ListDelta && !listed[addr] {
			backend.usable = false
		}
		if !backend.usable {
			backend.withdraw()
		}
		l.removeBackend(backend)
	}
	l.notify(&policy.EndpointsUpdated{Kind: kind, Entries: entries})
	usable := false
	for _, backend := range l.backends {
		usable = usable || backend.usable
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
		current = &backend{addr: entry.Server, attempts: map[*attempt]struct{}{}}
		l.backends[entry.Server] = current
	}
	if !gone && (current.conns == nil || current.conns.dial != host.Dial || current.bornMs != host.BornMs) {
		// Connections to another address or to the process before are of no use, and what has not
		// begun there must not.
		if current.conns != nil {
			current.withdraw()
			current.conns.close()
		}
		current.bornMs, current.conns = host.BornMs, l.pool.newBackendConns(host.Dial)
	}
	current.usable = entry.Health == policy.HealthReady
}

// removeBackend forgets a backend that is not to be sent to and has no attempt in flight.
func (l *loop) removeBackend(backend *backend) {
	if !backend.usable && len(backend.attempts) == 0 {
		backend.conns.close()
		if l.backends[backend.addr] == backend {
			delete(l.backends, backend.addr)
		}
	}
}

// withdraw stops the attempts of which no byte has gone out, and closes the connections that are
// idle: a backend that drains, is gone or is another process now gets nothing more.
func (b *backend) withdraw() {
	for attempt := range b.attempts {
		if attempt.withdraw() {
			attempt.cancel(errEndpointDraining)
		}
	}
	b.conns.closeIdle()
}
