package agent

import (
	"ploverreel/internal/backend"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// listedBackend is one server of the endpoint list. The loop owns it. Its connections are shared with
// the goroutines of its attempts.
type listedBackend struct {
	addr     policy.Addr
	bornMs   float64 // the start time that discovery gave, by the servers' clock
	usable   bool    // it is listed as ready: attempts may be sent to it
	conns    *backend.Conns
	attempts map[*attempt]struct{} // in flight
}

// connectsTo reports whether the connections are those to the host's address and process.
func (b *listedBackend) connectsTo(host *endpointlist.Host) bool {
	return b.conns != nil && b.conns.Addr() == host.Dial && b.bornMs == host.BornMs
}

// reconnect replaces the backend's connections by new ones to the host's address and process. The former ones are
// of no use any more, and an attempt that has not begun on them must not.
func (b *listedBackend) reconnect(pool *backend.Pool, host *endpointlist.Host) {
	if b.conns != nil {
		b.withdraw()
		b.conns.Close()
	}
	b.bornMs, b.conns = host.BornMs, pool.NewConns(host.Dial)
}

// withdraw cancels the attempts of which no byte was written, and closes the idle connections: a
// backend that drains, is gone or has been restarted gets nothing more.
func (b *listedBackend) withdraw() {
	for attempt := range b.attempts {
		attempt.Withdraw(backend.ErrEndpointDraining)
	}
	b.conns.CloseIdle()
}

// isRemovable reports whether nothing may be sent to the backend and no attempt is in flight.
func (b *listedBackend) isRemovable() bool { return !b.usable && len(b.attempts) == 0 }
