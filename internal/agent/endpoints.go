package agent

import (
	"ploverreel/policy"
)

func (l *loop) onDiscovery(in *input) {
	switch in.kind {
	case inputFetched:
		l.fetching = false
		switch {
		case in.err != nil:
			l.log.Warn("discovery: fetch failed", "err", in.err)
			l.notify(&policy.Event{Kind: policy.EventEndpointList, List: policy.ListFailed})
		case in.list.Seq >= l.listVersion: // the watch may have told more meanwhile
			l.applyEndpointList(policy.ListFull, &in.list)
			l.startTimes.fetched(l.nowMs())
		}
	case inputWatchEvent:
		switch {
		case in.list.Whole:
			l.applyEndpointList(policy.ListFull, &in.list)
		case in.list.Seq > l.listVersion:
			l.applyEndpointList(policy.ListDelta, &in.list)
		default: // nothing new, and yet a sign that discovery is there
			l.notify(&policy.Event{Kind: policy.EventEndpointList, List: policy.ListDelta})
		}
		l.startTimes.watched()
	case inputWatchEnded:
		l.watching = false
		l.startTimes.unwatched(l.nowMs(), float64(l.discovery.silence.Milliseconds()))
		l.log.Warn("discovery: watch ended", "err", in.err)
		how := policy.ListFailed
		if in.endedAfterNotice {
			how = policy.ListWatchEnded
		}
		l.notify(&policy.Event{Kind: policy.EventEndpointList, List: how})
	}
}

// turn turns to another discovery: the old one's calls end and their results no
// longer count, the new one is asked for all that it knows, at once. Until it tells, the
// list at hand and all connections stay. Its versions have nothing to do with the old.
func (l *loop) switchDiscovery(addr string) {
	if addr == l.discovery.addr {
		return
	}
	l.log.Info("discovery: changed", "from", l.discovery.addr, "to", addr)
	l.discovery.close()
	first := l.discovery.firstWordTimeout
	l.discovery = newDiscovery(l.ctx, addr, l.discovery.generation+1, l.post)
	l.discovery.firstWordTimeout = first
	l.listVersion, l.fetching, l.watching = 0, true, true
	l.startTimes.unwatched(l.nowMs(), 0)
	go l.discovery.fetch(true)
	go l.discovery.watch(0, true)
}

// learn applies a list: to the connections first, then the module is told.
func (l *loop) applyEndpointList(kind policy.ListKind, list *List) {
	l.listVersion = list.Seq
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
	l.startTimes.translate(entries, l.nowMs())
	l.startTimes.forget(l.backends)
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
	l.hasEndpoint.Store(usable || l.readyWaitOver)
	if l.onEndpointList != nil {
		l.onEndpointList(l.listVersion, kind == policy.ListFull)
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
