package agent

import (
	"ploverreel/internal/backend"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// listedBackend is one backend of the endpoint list. It belongs to the loop, but its connections are
// shared with the goroutines of its attempts.
type listedBackend struct {
	addr     policy.Addr
	bornMs   float64 // born_ms of the list: the start time by the backend's wall clock
	usable   bool    // listed as ready, so attempts may be sent to it
	gone     bool    // not listed any more, but attempts are in flight
	conns    *backend.Conns
	attempts map[*attempt]struct{} // in flight
}

// connectsTo reports whether the backend's connections are to the address and the process of host.
func (b *listedBackend) connectsTo(host *endpointlist.Host) bool {
	return b.conns != nil && !b.gone && b.conns.Addr() == host.Dial && b.bornMs == host.BornMs
}

// reconnect replaces the backend's connections by new ones to the address and the process of host.
// The old connections are of no use any more and are closed, and attempts that have not begun to
// send on them are withdrawn.
func (b *listedBackend) reconnect(pool *backend.Pool, host *endpointlist.Host) {
	if b.conns != nil {
		b.withdraw()
		b.conns.Close()
	}
	b.gone, b.bornMs, b.conns = false, host.BornMs, pool.NewConns(host.Dial)
}

// leave records that the backend is not listed any more. Its connections are closed, those in use
// when their attempts end: if the backend is listed again, another process may be at its address.
func (b *listedBackend) leave() {
	if b.gone {
		return
	}
	b.usable, b.gone = false, true
	b.withdraw()
	b.conns.Close()
}

// withdraw cancels the attempts of which no byte was written, and closes the idle connections. A
// backend that drains, is gone or was restarted must receive no further request.
func (b *listedBackend) withdraw() {
	for attempt := range b.attempts {
		attempt.Withdraw(backend.ErrEndpointDraining)
	}
	b.conns.CloseIdle()
}

// isRemovable reports whether the backend is unusable and has no attempt in flight.
func (b *listedBackend) isRemovable() bool { return !b.usable && len(b.attempts) == 0 }
