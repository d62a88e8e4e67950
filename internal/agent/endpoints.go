package agent

import (
	"ploverreel/policy"
)

// onEndpointsFetched applies a whole list that was fetched, or notifies the module that the fetch
// failed.
func (l *loop) onEndpointsFetched(in *endpointsFetched) {
	l.watch.fetching = false
	switch {
	case in.err != nil:
		l.log.Warn("discovery: fetch failed", "err", in.err)
		l.notify(&policy.Event{Kind: policy.EventEndpointList, List: policy.ListFailed})
	case in.list.Seq >= l.watch.listVersion: // the watch may have delivered more meanwhile
		l.applyEndpointList(policy.ListFull, &in.list)
		l.watch.startTimes.fetched(l.nowMs())
	}
}

// onWatchEvent applies a list that a watch delivered.
func (l *loop) onWatchEvent(list *List) {
	switch {
	case list.Whole:
		l.applyEndpointList(policy.ListFull, list)
	case list.Seq > l.watch.listVersion:
		l.applyEndpointList(policy.ListDelta, list)
	default: // nothing new, and yet a sign that discovery is there
		l.notify(&policy.Event{Kind: policy.EventEndpointList, List: policy.ListDelta})
	}
	l.watch.startTimes.watched()
}

// onWatchEnded notifies the module of the end of a watch; the module says when the next one is
// opened.
func (l *loop) onWatchEnded(in *watchEnded) {
	l.watch.watching = false
	l.watch.startTimes.unwatched(l.nowMs(), float64(l.watch.discovery.silence.Milliseconds()))
	l.log.Warn("discovery: watch ended", "err", in.err)
	how := policy.ListFailed
	if in.endedAfterNotice {
		how = policy.ListWatchEnded
	}
	l.notify(&policy.Event{Kind: policy.EventEndpointList, List: how})
}

// turn turns to another discovery: the old one's calls end and their results no
// longer count, the new one is asked for all that it knows, at once. Until it tells, the
// list at hand and all connections stay. Its versions have nothing to do with the old.
func (l *loop) switchDiscovery(addr string) {
	if addr == l.watch.discovery.addr {
		return
	}
	l.log.Info("discovery: changed", "from", l.watch.discovery.addr, "to", addr)
	l.watch.discovery.close()
	first := l.watch.discovery.firstWordTimeout
	l.watch.discovery = newDiscovery(l.ctx, addr, l.watch.discovery.generation+1, l.post)
	l.watch.discovery.firstWordTimeout = first
	l.watch.listVersion, l.watch.fetching, l.watch.watching = 0, true, true
	l.watch.startTimes.unwatched(l.nowMs(), 0)
	go l.watch.discovery.fetch(true)
	go l.watch.discovery.watch(0, true)
}

// learn applies a list: to the connections first, then the module is told.
func (l *loop) applyEndpointList(kind policy.ListKind, list *List) {
	l.watch.listVersion = list.Seq
	entries := make([]policy.Entry, len(list.Hosts))
	named := map[policy.Addr]bool{}
	for i := range list.Hosts {
		h := &list.Hosts[i]
		entries[i] = l.config.Names.entry(h)
		addr := entries[i].Server
		named[addr] = true
		b := l.backends[addr]
		if b == nil {
			if entries[i].Health == policy.HealthGone {
				continue
			}
			b = &backend{addr: addr, attempts: map[*attempt]struct{}{}}
			l.backends[addr] = b
		}
		if entries[i].Health != policy.HealthGone && (b.conns == nil || b.conns.dial != h.Dial || b.bornMs != h.BornMs) {
			// Connections to another address or to the process before are of no use, and
			// what has not begun there must not.
			if b.conns != nil {
				b.withdraw()
				b.conns.close()
			}
			b.bornMs, b.conns = h.BornMs, l.pool.newBackendConns(h.Dial)
		}
		b.usable = entries[i].Health == policy.HealthReady
	}
	l.watch.startTimes.translate(entries, l.nowMs())
	l.watch.startTimes.forget(l.backends)
	for addr, b := range l.backends {
		if kind != policy.ListDelta && !named[addr] {
			b.usable = false
		}
		if !b.usable {
			b.withdraw()
		}
		l.removeBackend(b)
	}
	l.notify(&policy.Event{Kind: policy.EventEndpointList, List: kind, Entries: entries})
	usable := false
	for _, b := range l.backends {
		usable = usable || b.usable
	}
	l.ready.hasEndpoint.Store(usable || l.ready.waitOver)
	if l.watch.onApplied != nil {
		l.watch.onApplied(l.watch.listVersion, kind == policy.ListFull)
	}
}

// drop forgets a backend that is not to be sent to and has no attempt out.
func (l *loop) removeBackend(b *backend) {
	if !b.usable && len(b.attempts) == 0 {
		b.conns.close()
		if l.backends[b.addr] == b {
			delete(l.backends, b.addr)
		}
	}
}

// withdraw stops the attempts of which no byte has gone out, and closes the connections
// that stand idle: a backend that drains, is gone or is another now gets nothing more.
func (b *backend) withdraw() {
	for a := range b.attempts {
		if a.withdraw() {
			a.cancel(errEndpointDraining)
		}
	}
	b.conns.closeIdle()
}
